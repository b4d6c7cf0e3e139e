package ratelimit

import "time"

// Announced is the limit of a target according to its answers, which may arrive in another
// order than the target sent them. The zero value knows of no answer. It is not safe for
// concurrent use.
type Announced struct {
	limited bool
	// rate is in requests per second.
	rate float64
	// namedAt is when the latest answer that names a limit arrived.
	namedAt time.Time
	// answered is set once an answer has arrived.
	answered bool
}

// Limit returns the limit in requests per second; limited is false if there is none.
func (a *Announced) Limit() (rate float64, limited bool) { return a.rate, a.limited }

// Answered reports whether the limit is known from an answer of the target.
func (a *Announced) Answered() bool { return a.answered }

// Name records an answer that names a limit. The request was sent at sentAt and its answer
// arrived at now. An answer that overlaps an earlier one may be the older of the two, so it
// can lower the limit but not raise it.
func (a *Announced) Name(rate float64, sentAt, now time.Time) {
	if !a.limited || !a.answered || rate < a.rate || a.follows(sentAt) {
		a.rate = rate
	}
	a.limited, a.answered = true, true
	a.namedAt = now
}

// End records an answer without a limit, which ends the limit unless the answer overlaps one
// that named it.
func (a *Announced) End(sentAt time.Time) {
	if a.limited && !a.follows(sentAt) {
		return
	}
	a.limited, a.answered = false, true
}

// follows reports whether a request was sent after the latest limit was named.
func (a *Announced) follows(sentAt time.Time) bool { return !sentAt.Before(a.namedAt) }

// Learn records a limit that another node has heard. It counts until the target has answered
// this node.
func (a *Announced) Learn(rate float64) {
	if a.answered || a.limited && rate >= a.rate {
		return
	}
	a.limited, a.rate = true, rate
}
