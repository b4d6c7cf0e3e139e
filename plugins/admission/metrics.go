package admission

import (
	"cmp"
	"expvar"
	"slices"
)

// maxCallerMetrics is the number of callers with metrics of their own.
const maxCallerMetrics = 64

// addMetrics publishes the state of the gate.
func addMetrics(m *expvar.Map, g *lockedGate) {
	m.Set("load", expvar.Func(func() any { return g.load() }))
	m.Set("capacity", expvar.Func(func() any { return g.capacity() }))
	m.Set("callers", expvar.Func(func() any { return g.callers(maxCallerMetrics) }))
}

// capacityStatus is the gate's estimate of the target's capacity.
type capacityStatus struct {
	Slots int     `json:"slots"`
	Limit float64 `json:"limit"`
	// Current and Nominal are capacities in cost per second.
	Current float64 `json:"now_per_s"`
	Nominal float64 `json:"usual_per_s"`
	// RateNodes is the number of nodes that the rates are divided over.
	RateNodes int `json:"rate_nodes"`
}

func (l *lockedGate) capacity() capacityStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gate
	current, _ := g.limiter.capacity()
	nominal, _ := g.limiter.nominalCapacity()
	return capacityStatus{
		Slots:     g.limiter.slots,
		Limit:     g.limiter.limit,
		Current:   current,
		Nominal:   nominal,
		RateNodes: g.nodes,
	}
}

// callers returns the counters of the limit callers that offered the most calls.
// Those of all others are summed under the empty name.
func (l *lockedGate) callers(limit int) map[string]callerCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*caller, 0, len(l.gate.callers))
	for _, c := range l.gate.callers {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *caller) int {
		return cmp.Or(cmp.Compare(b.counts.Offered, a.counts.Offered), cmp.Compare(a.name, b.name))
	})
	out := make(map[string]callerCounts, min(len(all), limit+1))
	for i, c := range all {
		if i < limit {
			out[c.name] = c.counts
			continue
		}
		others := out[""]
		others.add(c.counts)
		out[""] = others
	}
	return out
}

func (c *callerCounts) add(o callerCounts) {
	c.Offered += o.Offered
	c.Admitted += o.Admitted
	c.Shed += o.Shed
	c.RateLimited += o.RateLimited
	c.OverShare += o.OverShare
}
