package membership

import (
	"expvar"
)

// metrics holds the counters of the plug-in.
type metrics struct {
	// transitions counts entries into each state.
	transitions  expvar.Map
	notices      expvar.Int
	freshNotices expvar.Int
	originated   expvar.Int
	refutations  expvar.Int
	pauses       expvar.Int
	views        expvar.Int
}

// publish adds the counters to the node's metrics.
func (m *metrics) publish(to *expvar.Map) {
	to.Set("transitions", &m.transitions)
	to.Set("notices_received", &m.notices)
	to.Set("notices_fresh", &m.freshNotices)
	to.Set("notices_originated", &m.originated)
	to.Set("refutations", &m.refutations)
	to.Set("pauses", &m.pauses)
	to.Set("views", &m.views)
}
