package balancing

import (
	"math/rand/v2"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// distance is the topological distance of a target from the node.
type distance uint8

// The distances, in ascending order.
const (
	sameDomain distance = iota
	sameRegion
	otherRegion

	distances = int(otherRegion) + 1
)

// distanceOf returns the distance between two hosts.
func distanceOf(self, other *model.Host) distance {
	switch {
	case self.Region == other.Region && self.Domain == other.Domain:
		return sameDomain
	case self.Region == other.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// candidate is a target that may get the attempt.
type candidate struct {
	member   *model.Member
	distance distance
	// load is the target's load with the attempt, as a fraction of its limit.
	load float64
}

// choose picks the less loaded of two random candidates (power of two choices)
// among the nearest. If its load is above spillThreshold, it competes with two
// candidates of the next distance, and so on. ok is false if there are no
// candidates.
func choose(candidates []candidate, spillThreshold float64, random *rand.Rand) (picked candidate, ok bool) {
	var byDistance [distances][]candidate
	for _, c := range candidates {
		byDistance[c.distance] = append(byDistance[c.distance], c)
	}
	for _, group := range byDistance {
		if len(group) == 0 {
			continue
		}
		best := lessLoadedOfTwo(group, random)
		if !ok || best.load < picked.load {
			picked = best
		}
		ok = true
		if picked.load <= spillThreshold {
			return picked, true
		}
	}
	return picked, ok
}

func lessLoadedOfTwo(candidates []candidate, random *rand.Rand) candidate {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].load < candidates[first].load {
		return candidates[second]
	}
	return candidates[first]
}

const (
	// loadHalfLife is the age at which a load report has half its weight.
	loadHalfLife = 500 * time.Millisecond
	// minSlowStartFactor is the fraction of its capacity that a target in slow
	// start gets at first.
	minSlowStartFactor = 0.1
)

// loadOf estimates the load of a target with one more call, as a fraction of its
// limit, which slow start reduces. The load is the greater of the reported load,
// decaying with the report's age, and the node's own calls in flight.
func loadOf(t *targetState, slots int, slowStart time.Duration, now time.Time) float64 {
	limit := float64(max(slots, 1))
	reported := 0.0
	if !t.reportedAt.IsZero() {
		if t.reported.Limit > 0 {
			limit = float64(t.reported.Limit)
		}
		busy := float64(t.reported.InFlight+t.reported.Queued) + float64(t.picksSinceReport)
		reported = busy * reportWeight(now.Sub(t.reportedAt))
	}
	busy := max(reported, float64(t.outstanding))
	return (busy + 1) / (limit * slowStartFactor(t.appearedAt, slowStart, now))
}

// reportWeight returns the weight, 0 to 1, of a load report of the given age.
func reportWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(loadHalfLife) / float64(loadHalfLife+age)
}

// slowStartFactor returns the fraction of its capacity that a target gets, which
// grows linearly over slowStart from its appearance.
func slowStartFactor(appearedAt time.Time, slowStart time.Duration, now time.Time) float64 {
	if slowStart <= 0 || appearedAt.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(appearedAt)) / float64(slowStart)
	return min(max(fraction, minSlowStartFactor), 1)
}

// ejectionTime returns the duration of a target's n-th ejection since its last
// success.
func ejectionTime(n int, first, longest time.Duration) time.Duration {
	d := first
	for i := 1; i < n && d < longest; i++ {
		d *= 2
	}
	return min(d, longest)
}

// maxEjected returns the number of n targets that may be ejected at once.
func maxEjected(n int, maxFraction float64) int {
	if n < 2 || maxFraction <= 0 {
		return 0
	}
	return max(1, int(float64(n)*maxFraction))
}
