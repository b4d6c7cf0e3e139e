package model

import (
	"net/http"
	"time"
)

// Exchange converts between model types and the HTTP headers and status codes that
// callers and targets use. A platform-specific plug-in provides it, so that no other
// package depends on header names.
type Exchange interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) RequestHead
	// SetTarget sets the headers of a request to a target. It replaces any values
	// that the caller sent under the same names.
	SetTarget(h http.Header, t TargetHead)
	// ParseResponse parses the status and headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseHead
	// ParseHealth parses the headers of a target's response to a health check. ok is false
	// if they do not say which target responds, or are malformed.
	ParseHealth(h http.Header) (head HealthHead, ok bool)
	// WriteLocalReply sets the headers of a response that the node generates itself
	// and returns its status.
	WriteLocalReply(h http.Header, r LocalReply) int
}

// RequestHead holds the request metadata that a caller sends in headers.
type RequestHead struct {
	// ID identifies this attempt of the caller; empty if the caller set none.
	ID string
	// Remaining is the time left until the caller's deadline, 0 if it set none.
	Remaining time.Duration
}

// TargetHead holds the request metadata that a node sends to a target in headers.
type TargetHead struct {
	ID        string
	Remaining time.Duration
	// Target is the incarnation that must run the request; any other rejects it.
	Target TargetID
	// CallerService is the service on the host where the request originated.
	CallerService string
}

// ResponseHead holds the response metadata that a target sends in headers.
type ResponseHead struct {
	// ID identifies the request that this response answers; empty if the target set
	// none.
	ID string
	// NotRun is set when the target reports that it did not run the request.
	NotRun bool
	// ClaimsNotRun is set when the status tells callers that the request has not run, but NotRun
	// is not set.
	ClaimsNotRun bool
	// WrongTarget is set when the target rejected the request because it was meant
	// for another incarnation.
	WrongTarget bool
	// Signed is set when the response carries the target's signature.
	Signed bool
	// Encoded is set when the body has a content encoding, so that its bytes are not
	// those that the target produced.
	Encoded bool
	// Load is the load that the target reports for itself, nil if it reports none.
	Load *TargetLoad
	// InvalidLoad is the text of a load report that cannot be read; empty otherwise.
	InvalidLoad string
	// RetryAfter is the minimum delay that a target asks for that did not run the request,
	// 0 if it asks for none.
	RetryAfter time.Duration
	// Limit is the request rate that the target accepts from all nodes together.
	Limit RateLimit
	// Leaving is set when the target announces its shutdown.
	Leaving bool
	// UnknownHeaders holds the names of headers that only the target's protocol defines and
	// that this program does not know.
	UnknownHeaders []string
}

// HealthHead holds the metadata that a target sends in the response to a health check.
type HealthHead struct {
	// Target is the incarnation that responds.
	Target TargetID
	// WarmupRemaining is how much longer the target is cold, 0 if it is not.
	WarmupRemaining time.Duration
}

// RateLimit is the limit on its requests that a target names in an answer. The zero value
// is an answer that names none.
type RateLimit struct {
	// Named is set if the answer names a limit of Rate requests per second.
	Named bool
	Rate  float64
	// Invalid is the text of a limit that is not a rate; empty otherwise.
	Invalid string
}

// TargetLoad is the load that a target reports for itself: the requests that it runs,
// those in its queue, and the number of requests that it can run concurrently.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine at this moment, relative to usual;
	// 0 if the target does not report it.
	Pace float64
}

// LocalReply describes a response that the node generates in place of a target.
type LocalReply struct {
	ID      string
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the minimum delay before the caller retries. It is sent only if
	// the request has not run.
	RetryAfter time.Duration
}
