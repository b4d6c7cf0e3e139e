package operator

import "expvar"

// metrics holds the metrics of the plug-in.
type metrics struct {
	requests expvar.Int
	errors   expvar.Int
}

func newMetrics(m *expvar.Map) *metrics {
	c := &metrics{}
	m.Set("requests", &c.requests)
	m.Set("errors", &c.errors)
	return c
}
