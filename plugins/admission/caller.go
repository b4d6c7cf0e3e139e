package admission

import (
	"math"
	"time"
)

const (
	// demandWindow is the interval at which demands and fair levels are
	// recomputed, demandTimeConstant the time constant of a demand's average.
	demandWindow       = 100 * time.Millisecond
	demandTimeConstant = 2 * time.Second
	// surgeTimeConstant is the time constant of a second, faster average that
	// detects surges early. It is scaled by surgeDemandFactor, so that random
	// variation does not count as a surge.
	surgeTimeConstant = 300 * time.Millisecond
	surgeDemandFactor = 0.5
	// shareTolerance is the multiple of its fair share above which a caller's
	// demand is in excess. Entry nodes do not spread a caller's calls evenly,
	// so a caller within its share of all targets may exceed it at some.
	shareTolerance = 1.25
	// excessHold is how long a caller stays in excess after its demand was
	// above excessThreshold times its fair share. Entry nodes hold back the
	// calls of such a caller for a while, which hides part of its demand.
	excessHold      = time.Second
	excessThreshold = 2.0
	// maxCallers is the number of callers above which those idle for longer
	// than callerIdleTimeout are removed.
	maxCallers        = 1024
	callerIdleTimeout = time.Minute
)

// caller is the gate's state of one caller.
type caller struct {
	name     string
	weight   float64
	lastSeen time.Time
	// finishTag is the virtual time, per class, at which the work charged to
	// the caller ends.
	finishTag [classCount]float64
	// windowCost is the cost offered in the current window. smoothedRate and
	// surgeRate are its averages per second over a long and a short time;
	// demand is derived from both.
	windowCost              float64
	smoothedRate, surgeRate float64
	demand                  float64
	// The trackers and allowances exist twice: for the caller's fair share of
	// the current capacity and of the nominal capacity.
	currentExcess, nominalExcess excessTracker
	currentAllowance             allowance
	nominalAllowance             allowance
	rate                         rateBucket
	// nextRetry is the latest retry time given to a rejected call.
	nextRetry time.Time
	counts    callerCounts
}

// callerCounts are the counters of one caller at this node.
type callerCounts struct {
	Offered     uint64 `json:"offered"`
	Admitted    uint64 `json:"admitted"`
	Shed        uint64 `json:"shed"`
	RateLimited uint64 `json:"rate_limited"`
	OverShare   uint64 `json:"over_share"`
}

func (g *gate) callerFor(now time.Time, o offer) *caller {
	c := g.callers[o.caller]
	if c == nil {
		c = &caller{name: o.caller}
		g.callers[o.caller] = c
	}
	c.lastSeen = now
	c.weight = o.grant.Share
	if !(c.weight > 0) {
		c.weight = 1
	}
	c.rate.setQuota(now, newRateQuota(o.grant.Rate, o.grant.Burst, g.nodes))
	return c
}

// excessTracker tracks whether a caller's demand exceeds its fair share.
type excessTracker struct {
	until time.Time
}

// observe reports whether demand is more than shareTolerance times fairShare, or
// was more than excessThreshold times fairShare within the last excessHold.
func (e *excessTracker) observe(now time.Time, demand, fairShare float64) bool {
	if demand > excessThreshold*fairShare {
		e.until = now.Add(excessHold)
	}
	return demand > shareTolerance*fairShare || now.Before(e.until)
}

func (g *gate) updateDemands(now time.Time, elapsed time.Duration) {
	smoothedWeight := ewmaWeight(elapsed, demandTimeConstant)
	surgeWeight := ewmaWeight(elapsed, surgeTimeConstant)
	g.demands = g.demands[:0]
	for name, c := range g.callers {
		idle := now.Sub(c.lastSeen) > callerIdleTimeout
		if idle && len(g.callers) > maxCallers {
			delete(g.callers, name)
		}
		if idle {
			c.resetDemand()
			continue
		}
		c.updateDemand(c.windowCost/elapsed.Seconds(), smoothedWeight, surgeWeight)
		g.demands = append(g.demands, demand{weight: c.weight, rate: c.demand})
	}
}

// ewmaWeight returns the weight of a new value in an exponentially weighted moving
// average.
func ewmaWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

func (c *caller) updateDemand(rate, smoothedWeight, surgeWeight float64) {
	c.smoothedRate += smoothedWeight * (rate - c.smoothedRate)
	c.surgeRate += surgeWeight * (rate - c.surgeRate)
	c.demand = max(c.smoothedRate, surgeDemandFactor*c.surgeRate)
	c.windowCost = 0
}

func (c *caller) resetDemand() {
	c.smoothedRate, c.surgeRate, c.demand, c.windowCost = 0, 0, 0, 0
}
