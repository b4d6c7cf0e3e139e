// Package placement chooses the target of a request from what the node has seen
// of each target. It answers uneven load and uneven targets: the one expected to
// answer first gets the request, nearer ones before others, and one that fails or
// does not answer gets little. It does no I/O.
package placement

import (
	"math"
	"time"
)

// Candidate is a target as the node sees it.
type Candidate struct {
	// Occupied is the estimated number of requests that run or wait there.
	Occupied float64
	// Slots is the number of requests that it works on at once.
	Slots int
	// Work is how long it is expected to work on the request.
	Work time.Duration
	// Distance is the time that the way there and back takes.
	Distance time.Duration
	// Failing is the share of requests that it fails, from 0 to 1.
	Failing float64
	// Away is set when its node did not answer lately.
	Away bool
}

// crowding is by how much a target slows down towards its last slot, as a part of
// its work.
const crowding = 0.3

// failureCost is the cost of a failed request in units of its work, on top of the
// work that is lost.
const failureCost = 8

// awayCost makes targets that do not answer the last choice.
const awayCost = time.Hour

// Cost is the expected time of a request at the candidate, with what its
// failures cost.
func (c Candidate) Cost() time.Duration {
	slots := float64(max(c.Slots, 1))
	share := c.Occupied / slots
	work := float64(c.Work)
	expected := work * (1 + crowding*math.Min(share*share, 1))
	if waiting := c.Occupied + 1 - slots; waiting > 0 {
		expected += work * waiting / slots
	}
	expected += c.Failing * failureCost * work
	cost := time.Duration(expected) + c.Distance
	if c.Away {
		cost += awayCost
	}
	return cost
}

// Free reports whether the candidate seems to have a free slot.
func (c Candidate) Free() bool {
	return !c.Away && c.Occupied < float64(c.Slots)
}

// Choose returns the index of the candidate with the lowest cost, -1 if there is
// none. Candidates that cost nearly the same share the requests: random is from 0
// to 1.
func Choose(candidates []Candidate, random float64) int {
	best := -1
	lowest := time.Duration(math.MaxInt64)
	for i, c := range candidates {
		if cost := c.Cost(); cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return best
	}
	return among(candidates, lowest+time.Duration(float64(candidates[best].Work)*evenPart), random)
}

// evenPart is the difference in cost, as a part of the work, within which
// candidates count as equal.
const evenPart = 0.05

// among picks one of the candidates that cost at most limit.
func among(candidates []Candidate, limit time.Duration, random float64) int {
	var equal []int
	for i, c := range candidates {
		if c.Cost() <= limit {
			equal = append(equal, i)
		}
	}
	return equal[min(int(random*float64(len(equal))), len(equal)-1)]
}
