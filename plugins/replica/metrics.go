package replica

import "expvar"

// metrics holds the counters of the plug-in.
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
