// Package placement selects the target of a request from the node's estimates of each
// target. It balances uneven load and targets of different speed: the request goes to the
// target where it is least likely to miss its objective, within its own failure domain unless
// that delays the caller, and rarely to a target that fails or is unreachable. It does no
// I/O.
package placement

import (
	"math"
	"time"
)

// Candidate is the estimated state of a target for one request.
type Candidate struct {
	// Occupied is the estimated number of requests that run or wait at the target.
	Occupied float64
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// RunTime is the expected run time of the request, before contention between requests.
	RunTime time.Duration
	// ObjectiveRemaining is the time left until the request's objective is missed.
	ObjectiveRemaining time.Duration
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// LinkWait is the time for which the answer is expected to wait for the target's link.
	LinkWait time.Duration
	// RemoteCost is the cost of the bytes that leave the failure domain, 0 if the target
	// is in the node's own. Like all costs, it is in units of a request that misses its
	// objective.
	RemoteCost float64
	// FailureRate is the share of requests that the target fails, from 0 to 1.
	FailureRate float64
	// Unavailable is set while the target is leaving or in cooldown.
	Unavailable bool
	// Rejected is set when the target has already rejected this request as full.
	Rejected bool
	// Throttled is set when the node has used up its share of the rate that the target
	// accepts.
	Throttled bool
}

// The costs below are in units of a request that misses its objective.
const (
	// latencyCost is the cost of an expected latency equal to the remaining objective. It
	// decides between targets whose probabilities of a miss are about equal.
	latencyCost = 0.02
	// failureCost is the cost of a failed request. It applies to the failure rate above
	// toleratedFailureRate, so that isolated failures don't divert requests.
	failureCost          = 2
	toleratedFailureRate = 0.1
	// rejectedCost is the cost of retrying a target that has already rejected the request.
	rejectedCost = 0.1
	// throttledCost is the cost of sending more than the node's share of a target's rate.
	// The target's node may still have room that other nodes don't use.
	throttledCost = 0.5
	// unavailableCost makes targets that are leaving or in cooldown the last choice.
	unavailableCost = 1000
)

// contention is the increase of the run time on a target whose slots are all in use, as a
// share of the run time without load.
const contention = 0.3

// ExpectedLatency returns the expected time from sending the request to its answer.
func (c Candidate) ExpectedLatency() time.Duration {
	slots := float64(max(c.Slots, 1))
	utilization := c.Occupied / slots
	runTime := float64(c.RunTime)
	expected := runTime * (1 + contention*math.Min(utilization*utilization, 1))
	if waiting := c.Occupied + 1 - slots; waiting > 0 {
		expected += runTime * waiting / slots
	}
	return time.Duration(expected) + c.LinkWait + c.RoundTrip
}

// Cost returns the expected cost of placing the request on the candidate.
func (c Candidate) Cost() float64 {
	ratio := float64(c.ExpectedLatency()) / float64(max(c.ObjectiveRemaining, time.Millisecond))
	cost := MissProbability(ratio) + latencyCost*ratio + failureCost*max(c.FailureRate-toleratedFailureRate, 0) + c.RemoteCost
	if c.Rejected {
		cost += rejectedCost
	}
	if c.Throttled {
		cost += throttledCost
	}
	if c.Unavailable {
		cost += unavailableCost
	}
	return cost
}

// MissProbability returns the probability that a request misses its objective if its expected
// latency is the given multiple of the remaining time. Latencies are assumed to be half of
// their mean plus an exponentially distributed part.
func MissProbability(ratio float64) float64 {
	const minShare = 0.5
	if ratio <= 0 {
		return 0
	}
	excess := 1/ratio - minShare
	if excess <= 0 {
		return 1
	}
	return math.Exp(-excess / (1 - minShare))
}

// hasFreeSlot reports whether the candidate is estimated to have a free slot.
func (c Candidate) hasFreeSlot() bool {
	return !c.Unavailable && !c.Rejected && !c.Throttled && c.Occupied < float64(c.Slots)
}

// HasAlternative reports whether a candidate other than the chosen one is estimated to have a
// free slot at a cost within alternativeCostMargin, so that the request need not wait at the
// chosen one.
func HasAlternative(candidates []Candidate, chosen int) bool {
	limit := candidates[chosen].Cost() + alternativeCostMargin
	for i := range candidates {
		c := &candidates[i]
		if i != chosen && c.hasFreeSlot() && c.Cost() <= limit {
			return true
		}
	}
	return false
}

// alternativeCostMargin is the cost by which another target may exceed the chosen one and
// still be tried before the request waits for a slot.
const alternativeCostMargin = 0.3

// Placer chooses targets. It uses its memory again for each choice and is not safe for concurrent
// use. The zero value is ready to use.
type Placer struct {
	costs []float64
}

// Choose returns the index of the candidate with the lowest cost, -1 if there is none.
// random, a uniform value from 0 to 1, selects among candidates of nearly equal cost.
func (p *Placer) Choose(candidates []Candidate, random float64) int {
	p.costs = p.costs[:0]
	lowest := math.Inf(1)
	for i := range candidates {
		cost := candidates[i].Cost()
		p.costs = append(p.costs, cost)
		lowest = min(lowest, cost)
	}
	limit := lowest + equalCostMargin
	cheapest := 0
	for _, cost := range p.costs {
		if cost <= limit {
			cheapest++
		}
	}
	skip := min(int(random*float64(cheapest)), cheapest-1)
	for i, cost := range p.costs {
		if cost > limit {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return -1
}

// equalCostMargin is the difference in cost within which candidates count as equal.
const equalCostMargin = 0.005
