package model

import (
	"time"

	"github.com/bronzemast/bronzemast/config"
)

// Balancer chooses targets. The plug-in "balancing" provides it.
type Balancer interface {
	// Pick chooses a target for an attempt; ok is false if there is none. Each
	// successful pick requires one call of Observe.
	Pick(r PickRequest) (m *Member, ok bool)
	// RetryAfter returns the time until the earliest retry-after delay that a target has
	// set for the caller expires, and the reason for that delay; 0 if no target has
	// set one.
	RetryAfter(r PickRequest) (time.Duration, Reason)
	// Observe records the result of the attempt at the picked target.
	Observe(o TargetObservation)
}

// PickRequest describes an attempt that needs a target.
type PickRequest struct {
	Service *config.Service
	Caller  string
	// Exclude holds the targets that earlier attempts of the call have tried.
	Exclude []HostID
	Now     time.Time
}

// TargetObservation is the result of one attempt as observed by the entry node.
type TargetObservation struct {
	Host    HostID
	Service string
	Caller  string
	Outcome Outcome
	Reason  Reason
	// Failed is set when the target or its node failed, as opposed to the request.
	Failed  bool
	Latency time.Duration
	// Load is the load that the target-side node reported with its response, nil if
	// it reported none.
	Load *Load
	// RetryAfter is the minimum delay, from Now on, that the target-side node set
	// before the caller's next request to it.
	RetryAfter time.Duration
	Now        time.Time
}
