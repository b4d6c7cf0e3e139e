package model

import "time"

// Outcome states whether the target executed a call.
type Outcome uint8

// The outcomes of a call. The zero value is OutcomeUnknown, which guarantees nothing.
const (
	OutcomeUnknown Outcome = iota
	OutcomeRan
	OutcomeNotRun
)

var outcomeNames = [...]string{"unknown", "ran", "not-run"}

// String returns the name of the outcome as sent in HeaderOutcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[OutcomeUnknown]
}

// ParseOutcome parses the name of an outcome; any other text yields OutcomeUnknown.
func ParseOutcome(text string) Outcome {
	for i, name := range outcomeNames {
		if name == text {
			return Outcome(i)
		}
	}
	return OutcomeUnknown
}

// CombineOutcomes returns the outcome of a call from the combined outcome of its earlier
// attempts and the outcome of its last attempt. The call has not run only if no attempt
// has.
func CombineOutcomes(earlier, last Outcome) Outcome {
	switch {
	case earlier == OutcomeRan || last == OutcomeRan:
		return OutcomeRan
	case earlier == OutcomeNotRun:
		return last
	default:
		return OutcomeUnknown
	}
}

// Reason is a stable identifier of why a call did not run or has an unknown outcome.
type Reason string

// The reasons reported to callers.
const (
	ReasonNone            Reason = ""
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonStaleConfiguration is a configuration that may have been replaced since the
	// node last heard of changes.
	ReasonStaleConfiguration Reason = "stale-configuration"
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonNotPermitted       Reason = "not-permitted"
	ReasonNoService          Reason = "no-service"
	ReasonNoRoute            Reason = "no-route"
	ReasonNoTarget           Reason = "no-target"
	ReasonRateLimited        Reason = "rate-limited"
	ReasonOverShare          Reason = "over-share"
	ReasonOverloaded         Reason = "overloaded"
	ReasonDeadline           Reason = "deadline"
	ReasonDraining           Reason = "draining"
	ReasonUnreachable        Reason = "unreachable"
	// ReasonStaleToken is an attempt whose fencing token is invalid or too old,
	// ReasonFenced one that was revoked before it started, and ReasonDuplicate one
	// that the target-side node had already received.
	ReasonStaleToken    Reason = "stale-token"
	ReasonFenced        Reason = "fenced"
	ReasonDuplicate     Reason = "duplicate"
	ReasonCanceled      Reason = "canceled"
	ReasonTooLarge      Reason = "too-large"
	ReasonBadRequest    Reason = "bad-request"
	ReasonTargetRefused Reason = "target-refused"
	// ReasonTargetLimited is a request beyond the rate that the targets have named.
	ReasonTargetLimited Reason = "target-limited"
	ReasonTargetLost    Reason = "target-lost"
	// ReasonTargetCrashed is a target that has ended while it ran the request.
	ReasonTargetCrashed Reason = "target-crashed"
	// ReasonQuarantined is a request that is kept from targets because they have crashed while
	// they ran it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonLinkFull is a request whose answer cannot be sent in time, since the link of the
	// target's host is full.
	ReasonLinkFull Reason = "link-full"
	// ReasonEvacuated is a target in a failure domain that an operator evacuates.
	ReasonEvacuated Reason = "evacuated"
	// ReasonNoMemory is a request for which the node has no memory left.
	ReasonNoMemory Reason = "no-memory"
	// ReasonSlowCaller is a request of which the caller has not sent the whole body in time.
	ReasonSlowCaller  Reason = "slow-caller"
	ReasonPeerLost    Reason = "peer-lost"
	ReasonRetryBudget Reason = "retry-budget"
)

// The headers that are part of the interface to callers.
const (
	// HeaderOutcome carries the outcome of a call.
	HeaderOutcome = "Bronzemast-Outcome"
	// HeaderReason carries the reason of an outcome other than ran.
	HeaderReason = "Bronzemast-Reason"
	// HeaderRequestID identifies the call; the node generates it if the caller set
	// none.
	HeaderRequestID = "Bronzemast-Request-Id"
	// HeaderDeadline carries the remaining time of a call in milliseconds.
	HeaderDeadline = "Bronzemast-Deadline-Ms"
	// HeaderRelease carries the number of the release that was applied to the call.
	HeaderRelease = "Bronzemast-Release"
	// HeaderDepth counts the entry nodes that a chain of nested calls has passed.
	HeaderDepth = "Bronzemast-Depth"
)

// CallRecord holds the data of one finished call for metrics and reports.
type CallRecord struct {
	// At is the time at which the call ended.
	At      time.Time
	Service string
	Route   string
	Caller  string
	Team    string
	// Role is the node's role in the call.
	Role    Role
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Latency is the total time that the call spent in the node, and ServiceTime the
	// part of it that was spent at the target.
	Latency     time.Duration
	ServiceTime time.Duration
	// OverShare is set when the caller exceeded its share at the time of the call.
	OverShare bool
	Retries   int
}

// Role is a role of a node in a call.
type Role uint8

// The roles of a node.
const (
	RoleEntry Role = iota
	RoleTarget
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	if r == RoleTarget {
		return "target-side"
	}
	return "entry"
}
