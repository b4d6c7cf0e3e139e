package pace

import "time"

// minGain is the least increase of the probability to meet the objective for which a request is
// sent on to another target. A further attempt costs both nodes work, and the caller a round trip.
const minGain = 0.25

// Diversion describes a request at a target whose machine is slow at the moment.
type Diversion struct {
	// Usual is the expected run time at the target's usual pace, and Now at that of this
	// moment.
	Usual, Now time.Duration
	// ObjectiveRemaining is the time left to meet the objective.
	ObjectiveRemaining time.Duration
	// Alternative is set if the entry node knows of another target with a free slot.
	Alternative bool
}

// Worthwhile reports whether the request is to be sent on. miss returns the probability that a
// request misses its objective if its expected latency is a multiple of the remaining time.
func (d Diversion) Worthwhile(miss func(ratio float64) float64) bool {
	if !d.Alternative || d.ObjectiveRemaining <= 0 || d.Now <= d.Usual {
		return false
	}
	remaining := float64(d.ObjectiveRemaining)
	return miss(float64(d.Now)/remaining)-miss(float64(d.Usual)/remaining) >= minGain
}
