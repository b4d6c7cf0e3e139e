// Package retrybudget limits the retries of a fleet, so that the retries of requests to failing
// targets don't overload the healthy ones. Each node keeps a budget of its own for each service;
// the nodes exchange nothing.
//
// The bound for the fleet, in any window: at most Ratio retries for each request of that window
// or of the one before it, whichever has more, plus a reserve that all nodes share. A node's
// budget holds a quarter of the ratio for the requests of its last window and gains the other
// three quarters with each new one. Its retries in a window are then at most the ratio times a
// weighted mean of the requests of both windows. Such means add up over all nodes, however the
// load is distributed among them, and a mean of two windows is at most the greater one. A node
// that restarts begins with an empty budget, so that restarts add nothing.
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
	startedAt  time.Time
	refilledAt time.Time
	requests   windowCounter
}

// burstShare is the share of a window's retries that may be made at once. The rest is gained
// over the window, so failures that go on can use no more than that.
const burstShare = 0.25

// Deposit records a request.
func (b *Budget) Deposit(now time.Time) {
	b.requests.add(now, b.Window)
	b.tokens += b.Ratio * (1 - burstShare)
	b.refill(now)
}

// Withdraw takes one retry. It returns false if the budget is exhausted.
func (b *Budget) Withdraw(now time.Time, urgent bool) bool {
	if !b.Allows(now, urgent) {
		return false
	}
	b.tokens--
	return true
}

// Allows reports whether the budget has a retry left. A part of the budget is kept for urgent
// requests, so that these are retried first while it does not suffice for all.
func (b *Budget) Allows(now time.Time, urgent bool) bool {
	b.refill(now)
	required := 1.0
	if !urgent {
		required += min(maxUrgentReserve, b.capacity(now)*urgentShare)
	}
	return b.tokens >= required
}

const (
	// urgentShare is the share of the capacity that is kept for urgent requests, and
	// maxUrgentReserve its bound, in retries.
	urgentShare      = 0.25
	maxUrgentReserve = 1
)

// refill adds the reserve that is gained over a window; the rest of it is part of the capacity.
func (b *Budget) refill(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt, b.refilledAt = now, now
	}
	if b.reserveActive(now) {
		b.tokens += float64(now.Sub(b.refilledAt)) / float64(b.Window) * b.Reserve * (1 - burstShare)
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, b.capacity(now))
}

// reserveActive reports whether the reserve counts. It does not in the first window of a node,
// in which an earlier process on the host may have used it.
func (b *Budget) reserveActive(now time.Time) bool {
	return now.Sub(b.startedAt) >= b.Window
}

// capacity returns the maximum number of tokens.
func (b *Budget) capacity(now time.Time) float64 {
	capacity := b.Ratio * b.requests.within(now, b.Window)
	if b.reserveActive(now) {
		capacity += b.Reserve
	}
	return capacity * burstShare
}
