package admission

import (
	"math"
	"slices"
	"time"
)

// demand is the demand of one caller.
type demand struct {
	// weight is the caller's share, above 0.
	weight float64
	// rate is the cost per second of its offered calls.
	rate float64
}

// unlimited is the fair level while the total demand is within the capacity.
var unlimited = math.Inf(1)

// fairLevel returns the level of the weighted max-min fair allocation: the fair
// share of each caller is min(rate, level x weight), and these add up to capacity.
// It is unlimited if the total demand is within capacity. fairLevel reorders
// demands.
func fairLevel(demands []demand, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b demand) int {
		return compare(a.rate*b.weight, b.rate*a.weight)
	})
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	left := capacity
	for _, d := range demands {
		level := left / weights
		if d.rate > level*d.weight {
			return level
		}
		left -= d.rate
		weights -= d.weight
	}
	return unlimited
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// allowance is a token bucket that marks the calls within a caller's fair share. It
// fills at the fair level times the caller's weight.
type allowance struct {
	tokens     float64
	refilledAt time.Time
}

const (
	// allowanceWindow is the time for which an unused fair share accumulates.
	allowanceWindow = 500 * time.Millisecond
	// minAllowanceCalls is the least depth of the bucket, in calls.
	minAllowanceCalls = 2
)

// take takes cost from a bucket that fills at rate and reports whether there were
// enough tokens.
func (a *allowance) take(now time.Time, rate, cost float64) bool {
	if math.IsInf(rate, 1) {
		a.tokens = math.MaxFloat64
		a.refilledAt = now
		return true
	}
	depth := max(rate*allowanceWindow.Seconds(), minAllowanceCalls*cost)
	a.tokens = min(depth, a.tokens+rate*secondsSince(a.refilledAt, now))
	a.refilledAt = now
	if a.tokens < cost {
		return false
	}
	a.tokens -= cost
	return true
}

// secondsSince returns the seconds from then to now, 0 if the clock went back or
// then is zero.
func secondsSince(then, now time.Time) float64 {
	if then.IsZero() {
		return 0
	}
	return max(now.Sub(then).Seconds(), 0)
}

// durationOf converts seconds to a duration of at most a day.
func durationOf(s float64) time.Duration {
	const longest = 24 * time.Hour
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
