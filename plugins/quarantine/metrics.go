package quarantine

import "expvar"

// metrics holds the counters of the plug-in.
type metrics struct {
	// crashes counts the crashes of the host's own target.
	crashes expvar.Int
	// sent and received count the messages with reports that were exchanged with peers, and
	// failures the messages that a peer did not answer.
	sent, received, failures expvar.Int
}

func newMetrics(m *expvar.Map) *metrics {
	q := &metrics{}
	m.Set("crashes", &q.crashes)
	m.Set("messages_sent", &q.sent)
	m.Set("messages_received", &q.received)
	m.Set("peer_failures", &q.failures)
	return q
}
