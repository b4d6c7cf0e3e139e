// Package warmup keeps the requests to a cold target within the rate that it tolerates. A cold
// target that gets more crashes, and takes the requests along that it runs. The load that this
// answers is a fleet that sends at once to a few targets which look idle: those that have just
// started, or a whole failure domain at the end of its evacuation. It does no I/O.
package warmup

import (
	"math"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
)

const (
	// rampSteps is the number of steps by which the rate rises after the end of the warm-up,
	// each to twice the last one, and rampStep the length of each. Afterwards only the slots
	// of the target limit its load.
	rampSteps = 4
	rampStep  = 250 * time.Millisecond
	// countedTime is the time for which requests are counted to tell an overloaded target.
	countedTime = time.Second
	// toleratedShare is the number of requests within countedTime, relative to the rate,
	// that a token bucket may let through.
	toleratedShare = 1.25
)

// Gate holds what the node beside a target knows of its warm-up. All requests to the target
// pass through it. The zero value is a target without a warm-up. It is not safe for concurrent
// use.
type Gate struct {
	warmup ingress.Warmup
	// until is the end of the warm-up.
	until time.Time
	// sent holds the times of the requests within countedTime.
	sent []time.Time
}

// Configure sets the warm-up of the target's service.
func (g *Gate) Configure(w ingress.Warmup) { g.warmup = w }

// Limited reports whether the service limits the rate of cold targets.
func (g *Gate) Limited() bool { return g.warmup.Limited() }

// Assume treats the target as cold for its whole warm-up, as from since on, unless it is known
// to be cold for longer.
func (g *Gate) Assume(since time.Time) { g.Extend(since.Add(g.warmup.Duration)) }

// Extend treats the target as cold until a time, unless it is known to be cold for longer.
func (g *Gate) Extend(until time.Time) {
	if until.After(g.until) {
		g.until = until
	}
}

// Report records how much longer the target is cold according to its own report. If it is not,
// there is no limit, except for the rest of the rise after a warm-up.
func (g *Gate) Report(remaining time.Duration, now time.Time) {
	switch {
	case remaining > 0:
		g.until = now.Add(remaining)
	case g.Cold(now):
		g.until = time.Time{}
	}
}

// Cold reports whether the target is cold.
func (g *Gate) Cold(now time.Time) bool { return g.Limited() && now.Before(g.until) }

// ColdFor returns how much longer the target is cold, 0 if it is not.
func (g *Gate) ColdFor(now time.Time) time.Duration {
	if !g.Cold(now) {
		return 0
	}
	return g.until.Sub(now)
}

// Rate returns the rate of requests that the target gets at a time, per second; limited is
// false if there is no limit.
func (g *Gate) Rate(now time.Time) (rate float64, limited bool) {
	step := g.step(now)
	if step > rampSteps {
		return 0, false
	}
	return g.warmup.Rate * math.Exp2(float64(step)), true
}

// step returns the number of steps by which the rate has risen: 0 while the target is cold, and
// more than rampSteps once there is no limit.
func (g *Gate) step(now time.Time) int {
	switch {
	case !g.Limited() || g.until.IsZero() || !now.Before(g.End()):
		return rampSteps + 1
	case now.Before(g.until):
		return 0
	default:
		return 1 + int(now.Sub(g.until)/rampStep)
	}
}

// End returns the time from which the rate is not limited.
func (g *Gate) End() time.Time { return g.until.Add(rampSteps * rampStep) }

// NextChange returns the time at which the rate changes next, zero if it is not limited.
func (g *Gate) NextChange(now time.Time) time.Time {
	step := g.step(now)
	if step > rampSteps {
		return time.Time{}
	}
	return g.until.Add(time.Duration(step) * rampStep)
}

// Sent records that the target is sent a request.
func (g *Gate) Sent(now time.Time) {
	if !g.Limited() {
		return
	}
	g.prune(now)
	g.sent = append(g.sent, now)
}

// Overloaded reports whether the target is cold and has been sent more than it tolerates, as
// happens if it became cold before the node learned of it. If it crashes then, that is no
// evidence against the requests that it ran.
func (g *Gate) Overloaded(now time.Time) bool {
	g.prune(now)
	return g.Cold(now) && float64(len(g.sent)) > math.Ceil(toleratedShare*g.warmup.Rate)+1
}

// prune drops the requests that no longer count.
func (g *Gate) prune(now time.Time) {
	first := 0
	for first < len(g.sent) && now.Sub(g.sent[first]) >= countedTime {
		first++
	}
	g.sent = append(g.sent[:0], g.sent[first:]...)
}
