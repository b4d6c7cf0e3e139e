package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// maxHops bounds the attempts of a call, including those at full or unreachable targets.
const maxHops = 4

// plan is the action after an attempt.
type plan uint8

const (
	// planFinish ends the call with the attempt's answer.
	planFinish plan = iota
	// planFailover tries another target without charging the retry budget, since the
	// request has not reached a target.
	planFailover
	// planRetry tries another target if the retry budget allows it.
	planRetry
)

// attemptEnd is the input of planAfter.
type attemptEnd struct {
	outcome       model.Outcome
	reason        model.Reason
	reachedTarget bool
	failed        bool
	idempotent    bool
	// replayable is set when the body is buffered and can be sent again.
	replayable bool
	// targetsReached is the number of targets that the request has reached, and
	// maxTargets the number that the route allows.
	targetsReached, maxTargets int
	hops                       int
	remaining                  time.Duration
	// expected is the estimated run time of a further attempt, taken from the last one.
	expected time.Duration
}

// planAfter decides what to do after an attempt. Only a request that has not run, or that
// is idempotent, goes to another target.
func planAfter(e attemptEnd) plan {
	if !e.replayable || e.hops >= maxHops || e.remaining <= e.expected/2 {
		return planFinish
	}
	notRun := e.outcome == model.OutcomeNotRun
	switch {
	case e.reason == model.ReasonQuarantined:
		return planFinish
	case notRun && !e.reachedTarget && e.reason != model.ReasonDeadline && e.reason != model.ReasonCanceled:
		return planFailover
	case !e.reachedTarget || e.targetsReached >= e.maxTargets:
		return planFinish
	case notRun:
		return planRetry
	case e.failed && e.idempotent && e.reason != model.ReasonDeadline && e.reason != model.ReasonCanceled:
		return planRetry
	default:
		return planFinish
	}
}
