// Package invariant checks the promises of the system. Tests, experiments and the demo
// pass it their observations of nodes, callers and targets; it reports each violation of
// a promise with its evidence.
package invariant

import "fmt"

// Promise is an invariant that the system guarantees.
type Promise uint8

// The promises.
const (
	// NeverBackwards: no host applies a release older than one that it has applied.
	NeverBackwards Promise = iota
	// NoDanglingRoute: no route refers to a resource that its node does not have.
	NoDanglingRoute
	// AllOrNothing: a node applies a release completely or not at all.
	AllOrNothing
	// OwnWholeAnswer: a response is complete and belongs to its request.
	OwnWholeAnswer
	// TruthfulNotRun: a call reported as not run was not executed.
	TruthfulNotRun
	// AtMostOnce: a call that is not idempotent is executed at most once.
	AtMostOnce
	// NoWorkWhileLeaving: a leaving target starts no call after the grace period.
	NoWorkWhileLeaving
	// GracefulShutdown: a graceful shutdown interrupts no call in flight.
	GracefulShutdown
	// InForceEverywhere: an accepted release is in force on every reachable
	// node within the bound and is not reverted.
	InForceEverywhere
	// PermittedOnly: a target executes only calls that a release permits.
	PermittedOnly
	promiseCount
)

var promiseNames = [...]string{
	NeverBackwards:     "never-backwards",
	NoDanglingRoute:    "no-dangling-route",
	AllOrNothing:       "all-or-nothing",
	OwnWholeAnswer:     "own-whole-answer",
	TruthfulNotRun:     "truthful-not-run",
	AtMostOnce:         "at-most-once",
	NoWorkWhileLeaving: "no-work-while-leaving",
	GracefulShutdown:   "graceful-shutdown",
	InForceEverywhere:  "in-force-everywhere",
	PermittedOnly:      "permitted-only",
}

// String returns the name of the promise.
func (p Promise) String() string {
	if int(p) < len(promiseNames) {
		return promiseNames[p]
	}
	return "invalid"
}

// MarshalText writes the name of the promise.
func (p Promise) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// Promises returns all promises in order.
func Promises() []Promise {
	all := make([]Promise, promiseCount)
	for i := range all {
		all[i] = Promise(i)
	}
	return all
}

// Violation describes a broken promise with its evidence.
type Violation struct {
	Promise  Promise `json:"promise"`
	Evidence string  `json:"evidence"`
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Promise, v.Evidence)
}
