package model

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/config"
)

// Load is the load of a target that its node reports with each response.
type Load struct {
	// InFlight and Queued count calls at the target-side node.
	InFlight uint32
	Queued   uint32
	// Limit is the concurrency limit of admission, in calls.
	Limit uint32
}

// Admitter performs admission control at the target-side node. The plug-in
// "admission" provides it.
type Admitter interface {
	// Admit waits for a slot until the deadline of ctx, or rejects the call without
	// waiting. Exactly one of permit and rejection is not nil.
	Admit(ctx context.Context, r AdmissionRequest) (permit Permit, rejection *Rejection)
	// Load returns the load to report with the next response.
	Load() Load
}

// AdmissionRequest describes a call that requires a slot.
type AdmissionRequest struct {
	Snapshot *config.Snapshot
	Service  *config.Service
	Route    *config.Route
	Caller   *config.Caller
	Grant    *config.Grant
	Deadline time.Time
}

// Permit is a granted slot.
type Permit interface {
	// Done releases the slot and records the result of the call.
	Done(r AdmissionResult)
	// OverShare reports whether the caller exceeded its share when it was admitted.
	OverShare() bool
}

// AdmissionResult is the result of an admitted call at the target.
type AdmissionResult struct {
	// ServiceTime is the time from sending the call to the target until its response
	// was complete.
	ServiceTime time.Duration
	// Shed is set when the target rejected the call because of overload.
	Shed bool
	// Failed is set when the target returned no complete response.
	Failed bool
}

// Rejection describes why admission rejected a call.
type Rejection struct {
	Reason Reason
	// RetryAfter is the minimum delay before the caller retries.
	RetryAfter time.Duration
	OverShare  bool
}
