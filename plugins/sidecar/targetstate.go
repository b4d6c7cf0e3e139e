package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// The states of a target as logged.
const (
	stateHealthy     = "healthy"
	stateSlow        = "slow"
	stateFailing     = "failing"
	stateUnreachable = "unreachable"
)

const (
	// slowThreshold is the slowdown from which a target is logged as slow, and
	// failingThreshold the failure rate from which it is logged as failing.
	slowThreshold    = 2
	failingThreshold = 0.15
	// recoveryFactor lowers the threshold of the current state, so that a target close to
	// a threshold doesn't change state with every answer.
	recoveryFactor = 0.6
)

// currentState returns the state of the target as of now.
func (r *targetRecord) currentState(now time.Time) string {
	slow, failing := float64(slowThreshold), failingThreshold
	switch r.loggedState {
	case stateSlow:
		slow *= recoveryFactor
	case stateFailing:
		failing *= recoveryFactor
	}
	switch {
	case r.peer.unreachable || now.Before(r.cooldownUntil):
		return stateUnreachable
	case r.load.FailureRate >= failing:
		return stateFailing
	case r.load.Slowdown >= slow:
		return stateSlow
	default:
		return stateHealthy
	}
}

// logStateChange logs the target's state if it has changed since it was last logged. The
// caller holds mu; the log does not block.
func (s *targetStats) logStateChange(t *model.Target, r *targetRecord, now time.Time) {
	state := r.currentState(now)
	if state == r.loggedState || r.loggedState == "" && state == stateHealthy {
		return
	}
	r.loggedState = state
	s.log.Emit(eventTargetState, event.Fields{
		"target":         t.ID,
		"state":          state,
		"failure_rate":   r.load.FailureRate,
		"slowdown":       r.load.Slowdown,
		"unreachable_ms": max(r.cooldownUntil.Sub(now), r.peer.nextProbe.Sub(now), 0).Milliseconds(),
	})
}
