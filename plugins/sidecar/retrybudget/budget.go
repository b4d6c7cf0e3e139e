// Package retrybudget limits the retries of a fleet, so that the retries of requests to failing
// targets don't overload the healthy ones. Each node keeps a budget of its own for each service;
// the nodes exchange nothing.
//
// The bound for the fleet, in any window: at most Ratio retries for each request of that window
// or of the one before it, whichever has more, plus a reserve that all nodes share. A node's
// budget holds a quarter of the ratio for the requests of its last window and gains the other
// three quarters with each new one. Its retries in a window are then at most the ratio times a
// weighted mean of the requests of both windows. Such means add up over all nodes, however the
// load is distributed among them, and a mean of two windows is at most the greater one. Of its
// share of the reserve a node holds a quarter, gains half in each window, and leaves a quarter to
// the process that may take its place: a restart of each node in a window is within the bound.
package retrybudget

import "time"

// Budget is a node's budget of retries for one service. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that the fleet may make for each request.
	Ratio float64
	// Reserve is the node's share of the retries that each window allows regardless of
	// requests.
	Reserve float64
	// Window is the period over which retries are limited.
	Window time.Duration

	tokens     float64
	refilledAt time.Time
	requests   windowCounter
}

const (
	// burstShare is the share of a window's retries that may be made at once. The rest is
	// gained over the window, so failures that go on can use no more than that.
	burstShare = 0.25
	// reserveGain is the share of the reserve that is gained over a window. What is left is
	// for the burst of a process that takes the place of this one.
	reserveGain = 1 - 2*burstShare
)

// Deposit records a request.
func (b *Budget) Deposit(now time.Time) {
	b.requests.add(now, b.Window)
	b.tokens += b.Ratio * (1 - burstShare)
	b.refill(now)
}

// Urgency orders the retries for which a budget does not suffice.
type Urgency uint8

const (
	// Deferrable is the first retry of a request that has not run, at a service that targets
	// call: its caller can come back by itself, and the targets that call cannot.
	Deferrable Urgency = iota
	// Normal is any other retry of a caller's request.
	Normal
	// Urgent is the retry of a call that a target makes, whose failure wastes a whole run.
	Urgent
)

// Withdraw takes one retry. It returns false if the budget is exhausted.
func (b *Budget) Withdraw(now time.Time, urgency Urgency) bool {
	if !b.Allows(now, urgency) {
		return false
	}
	b.tokens--
	return true
}

// Allows reports whether the budget has a retry left. A part of the budget is kept for retries
// of higher urgency, so that these are made first while it does not suffice for all.
func (b *Budget) Allows(now time.Time, urgency Urgency) bool {
	b.refill(now)
	required := 1.0
	switch urgency {
	case Normal:
		required += min(maxUrgentReserve, b.capacity(now)*urgentShare)
	case Deferrable:
		required += b.capacity(now) * deferShare
	}
	return b.tokens >= required
}

const (
	// urgentShare is the share of the capacity that is kept for urgent requests, and
	// maxUrgentReserve its bound, in retries.
	urgentShare      = 0.25
	maxUrgentReserve = 1
	// deferShare is the share of the capacity below which deferrable retries are not made.
	deferShare = 0.5
)

// refill adds what is gained of the reserve since the last call.
func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens += b.Reserve * burstShare
	} else {
		b.tokens += float64(now.Sub(b.refilledAt)) / float64(b.Window) * b.Reserve * reserveGain
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, b.capacity(now))
}

// capacity returns the maximum number of tokens.
func (b *Budget) capacity(now time.Time) float64 {
	return burstShare * (b.Reserve + b.Ratio*b.requests.within(now, b.Window))
}
