package replica

import "expvar"

// metrics counts what the node does to keep its copy up to date.
type metrics struct {
	storeCalls    expvar.Int
	storeFailures expvar.Int
	peerFailures  expvar.Int
	refused       expvar.Int
	unreadable    expvar.Int
}

func newMetrics(m *expvar.Map) *metrics {
	s := &metrics{}
	m.Set("store_calls", &s.storeCalls)
	m.Set("store_failures", &s.storeFailures)
	m.Set("peer_failures", &s.peerFailures)
	m.Set("refused_configurations", &s.refused)
	m.Set("unreadable_entries", &s.unreadable)
	return s
}
