package model

import (
	"net/http"
	"time"
)

// Exchange knows the headers and statuses that callers and targets use. A plug-in
// for the platform provides it, so that nothing else depends on their names.
type Exchange interface {
	// Request reads the head of a caller's request.
	Request(h http.Header) RequestHead
	// SetTarget writes what a target needs to know into the head of its request,
	// in place of whatever the caller sent under these names.
	SetTarget(h http.Header, t TargetHead)
	// Answer reads the head of a target's answer.
	Answer(status int, h http.Header) AnswerHead
	// Refuse writes the head of a request's own answer and returns its status.
	Refuse(h http.Header, r RequestRefusal) int
}

// RequestHead is what a caller says of its request.
type RequestHead struct {
	// ID names this attempt of the caller; empty if it gave none.
	ID string
	// Remaining is how long the caller waits; 0 if it does not say.
	Remaining time.Duration
}

// TargetHead is what a target is told of a request.
type TargetHead struct {
	ID        string
	Remaining time.Duration
	// Target is the incarnation that must run the request; any other refuses it.
	Target TargetID
	// CallerService is the service on the host where the request began.
	CallerService string
}

// AnswerHead is what a target says in the head of an answer.
type AnswerHead struct {
	// ID names the request that is answered; empty if the target does not say.
	ID string
	// NotRun is set when the target vouches that it did not run the request.
	NotRun bool
	// WrongTarget is set when another incarnation was expected.
	WrongTarget bool
	// Signed is set when the answer bears the target's signature.
	Signed bool
	// Encoded is set when the body is not the bytes that the target made.
	Encoded bool
	// Load is the target's own load, nil if it does not tell.
	Load *TargetLoad
}

// TargetLoad is the load of a target by its own account.
type TargetLoad struct {
	Running, Waiting, Slots int
}

// RequestRefusal describes an answer that the system gives in place of a target.
type RequestRefusal struct {
	ID      string
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when to come back; it is told if the request has not run.
	RetryAfter time.Duration
}
