package burn

import "expvar"

// metrics holds the metrics of the plug-in.
type metrics struct {
	recorded expvar.Int
	dropped  expvar.Int
}

func newMetrics(m *expvar.Map, agg *aggregator) *metrics {
	c := &metrics{}
	m.Set("recorded", &c.recorded)
	m.Set("dropped", &c.dropped)
	m.Set("series", expvar.Func(func() any { return agg.size() }))
	return c
}
