package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// maxHops bounds the targets that a call is offered to, those that were full or
// away included.
const maxHops = 4

// plan is what to do after an attempt.
type plan uint8

const (
	// planFinish ends the call with the attempt's answer.
	planFinish plan = iota
	// planMove tries another target, which costs no retry: the request has not
	// reached one.
	planMove
	// planRetry tries another target if the retry budget allows it.
	planRetry
)

// attemptEnd is what the decision after an attempt depends on.
type attemptEnd struct {
	outcome    model.Outcome
	reason     model.Reason
	handed     bool
	failed     bool
	idempotent bool
	// replayable is set when the body can be sent again.
	replayable bool
	// targets is the number of targets that the request has reached, most the
	// number that the route allows.
	targets, most int
	hops          int
	remaining     time.Duration
	// expected is how long a further run may take, as far as the last one tells.
	expected time.Duration
}

// planAfter decides what to do after an attempt. Only what has not run, or may run
// more than once, goes to another target.
func planAfter(e attemptEnd) plan {
	if !e.replayable || e.hops >= maxHops || e.remaining <= e.expected/2 {
		return planFinish
	}
	notRun := e.outcome == model.OutcomeNotRun
	switch {
	case notRun && !e.handed && e.reason != model.ReasonDeadline && e.reason != model.ReasonCanceled:
		return planMove
	case !e.handed || e.targets >= e.most:
		return planFinish
	case notRun:
		return planRetry
	case e.failed && e.idempotent && e.reason != model.ReasonDeadline && e.reason != model.ReasonCanceled:
		return planRetry
	default:
		return planFinish
	}
}
