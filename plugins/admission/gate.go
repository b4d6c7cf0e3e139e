package admission

import (
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
)

// The priority classes of queued calls. Calls of callers within their fair share go
// first; all others divide the remaining capacity by weight.
const (
	classWithinShare = iota
	classExcess
	classCount
)

// policy selects the order in which queued calls start.
type policy string

const (
	// policyFair divides the capacity of an overloaded target by the callers'
	// shares.
	policyFair policy = "fair"
	// policyFirstCome starts calls in the order of arrival.
	policyFirstCome policy = "first-come"
)

// gateSettings are the fixed parameters of a gate.
type gateSettings struct {
	policy policy
	// queueWait is the longest wait for a slot. The mean service time applies
	// instead if it is longer.
	queueWait time.Duration
	// queuePerSlot is the number of calls that may wait per slot of the limit.
	queuePerSlot float64
}

// gate decides which calls start at one target. It is a state machine without a
// clock, locks or goroutines; its owner passes the time and serializes calls.
type gate struct {
	settings gateSettings
	limiter  limiter
	inFlight int
	queues   [classCount]fairQueue
	callers  map[string]*caller
	nodes    int
	// shed counts the calls that were rejected because no slot was free.
	shed uint64

	// currentLevel and nominalLevel are the fair levels for the current and for
	// the nominal capacity, in cost per second and unit of weight.
	currentLevel, nominalLevel float64
	windowStart                time.Time
	// sequence numbers calls in the order of arrival for policyFirstCome.
	sequence float64
	demands  []demand
}

// offer describes a call offered to the gate.
type offer struct {
	caller   string
	grant    *config.Grant
	cost     float64
	deadline time.Time
}

// decision is the admission decision for a call: it started, it waits, or it is
// rejected.
type decision struct {
	started   bool
	waiting   bool
	rejection model.Rejection
}

func newGate(s gateSettings, slots int) *gate {
	return &gate{
		settings:     s,
		limiter:      newLimiter(slots),
		callers:      map[string]*caller{},
		nodes:        1,
		currentLevel: unlimited,
		nominalLevel: unlimited,
	}
}

// setNodes sets the number of nodes that the rates are divided over.
func (g *gate) setNodes(nodes int) {
	g.nodes = max(nodes, 1)
}

// offer decides on a call. A call that waits gets its decision later: from
// ticket.ready, or from expire.
func (g *gate) offer(now time.Time, o offer) (*ticket, decision) {
	g.advance(now)
	c := g.callerFor(now, o)
	c.counts.Offered++
	if !now.Before(o.deadline) {
		return nil, g.reject(now, c, model.ReasonDeadline, false, o.cost)
	}
	if ok, wait := c.rate.take(now); !ok {
		c.counts.RateLimited++
		return nil, decision{rejection: model.Rejection{Reason: model.ReasonRateLimited, RetryAfter: wait}}
	}
	c.windowCost += o.cost
	t := g.newTicket(now, c, o)
	if g.inFlight < g.limiter.value() {
		g.start(t)
		return t, decision{started: true}
	}
	g.limiter.markSaturated()
	if !g.enqueue(now, t) {
		refundTokens(t)
		return nil, g.reject(now, c, overloadReason(g.settings.policy, t), t.demandOverShare, o.cost)
	}
	return t, decision{waiting: true}
}

func (g *gate) newTicket(now time.Time, c *caller, o offer) *ticket {
	t := &ticket{
		caller:  c,
		cost:    o.cost,
		arrived: now,
	}
	current, nominal := g.currentLevel*c.weight, g.nominalLevel*c.weight
	t.excess = !c.currentAllowance.take(now, current, o.cost) || c.currentExcess.observe(now, c.demand, current)
	t.demandOverShare = c.nominalExcess.observe(now, c.demand, nominal)
	t.overShare = !c.nominalAllowance.take(now, nominal, o.cost) && t.demandOverShare
	if g.settings.policy == policyFirstCome {
		t.excess = false
	}
	t.startBy = earlier(o.deadline, now.Add(g.maxWait(t)))
	return t
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func classOf(t *ticket) int {
	if t.excess {
		return classExcess
	}
	return classWithinShare
}

// start admits a call that has not waited.
func (g *gate) start(t *ticket) {
	class := classOf(t)
	queue := &g.queues[class]
	t.startTag = g.charge(t, class)
	queue.virtualTime = max(queue.virtualTime, t.startTag)
	g.begin(t)
}

func (g *gate) charge(t *ticket, class int) float64 {
	queue := &g.queues[class]
	if g.settings.policy == policyFirstCome {
		g.sequence++
		return g.sequence
	}
	return queue.charge(t, class)
}

func (g *gate) begin(t *ticket) {
	g.inFlight++
	t.caller.counts.Admitted++
	if t.overShare {
		t.caller.counts.OverShare++
	}
	if g.inFlight >= g.limiter.value() {
		g.limiter.markSaturated()
	}
}

// finish ends a started call and starts queued ones.
func (g *gate) finish(now time.Time, t *ticket, r model.AdmissionResult) {
	g.inFlight--
	g.limiter.observe(now, result{
		cost:        t.cost,
		serviceTime: r.ServiceTime,
		shed:        r.Shed,
		failed:      r.Failed,
	})
	g.advance(now)
	g.startQueued(now)
}

// cancel ends a started call that was not sent to the target.
func (g *gate) cancel(now time.Time, t *ticket) {
	g.inFlight--
	t.caller.rate.refund()
	g.advance(now)
	g.startQueued(now)
}

// advance updates the demands, the fair levels and the limit when a window ends.
func (g *gate) advance(now time.Time) {
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	elapsed := now.Sub(g.windowStart)
	if elapsed < demandWindow {
		return
	}
	g.windowStart = now
	g.limiter.advance(now, elapsed)
	g.updateDemands(now, elapsed)
	g.currentLevel = g.levelFor(g.limiter.capacity())
	g.nominalLevel = g.levelFor(g.limiter.nominalCapacity())
	g.startQueued(now) // the limit may have risen
}

func (g *gate) levelFor(capacity float64, known bool) float64 {
	if !known {
		return unlimited
	}
	return fairLevel(g.demands, capacity)
}

// load returns the load of the target.
func (g *gate) load() model.Load {
	return model.Load{
		InFlight: uint32(g.inFlight),
		Queued:   uint32(g.queued()),
		Limit:    uint32(g.limiter.value()),
	}
}
