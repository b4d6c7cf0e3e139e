// Package slotqueue is the admission queue of one target. It limits the running requests to
// the target's slots, and the rate of starts to the one that the target names, orders waiting
// requests by priority, and rejects those that would wait too long to be useful. Under
// overload, a long queue would only make every answer late. It does no I/O.
package slotqueue

import (
	"sort"
	"time"

	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
)

// Decision is the admission decision for a request.
type Decision uint8

// The admission decisions.
const (
	// Start lets the request run now.
	Start Decision = iota
	// Wait keeps the request in the queue.
	Wait
	// Reject rejects the request.
	Reject
)

// Ticket is a request for a slot.
type Ticket struct {
	// Nested is set for requests that targets make while they run another one. They have
	// the highest priority, since their failure wastes the parent's whole run.
	Nested bool
	// Rank is the priority class; 0 is the highest priority.
	Rank int
	// Late is set when the objective can't be met any more. Late requests go after the
	// others of their rank.
	Late bool
	// StartBy is the latest time at which the request may start. It expires afterwards.
	StartBy time.Time
	// ExpectedRunTime is the expected run time of the request.
	ExpectedRunTime time.Duration
	// Owner is an opaque reference for the user of the queue.
	Owner any

	startedAt time.Time
}

// before reports whether t goes before u: nested requests first, then by rank, then those
// that are not late, then by StartBy.
func (t *Ticket) before(u *Ticket) bool {
	switch {
	case t.Nested != u.Nested:
		return t.Nested
	case t.Rank != u.Rank:
		return t.Rank < u.Rank
	case t.Late != u.Late:
		return !t.Late
	default:
		return t.StartBy.Before(u.StartBy)
	}
}

// Queue holds the running and waiting requests of one target. It is not safe for concurrent
// use.
type Queue struct {
	limit   int
	running map[*Ticket]struct{}
	// waiting is sorted by Ticket.before.
	waiting []*Ticket
	// rate limits the starts, and turns keeps it from starving a priority class.
	rate  ratelimit.Bucket
	turns turns
}

// New returns a queue for a target with limit slots.
func New(limit int) *Queue {
	return &Queue{limit: limit, running: map[*Ticket]struct{}{}, turns: turns{}}
}

// SetLimit changes the number of slots. It returns the tickets that start now.
func (q *Queue) SetLimit(limit int, now time.Time) []*Ticket {
	q.limit = limit
	return q.Fill(now)
}

// Limit returns the number of slots.
func (q *Queue) Limit() int { return q.limit }

// SetRate limits the starts to the rate that the target names, in requests per second. It
// returns the tickets that start now.
func (q *Queue) SetRate(limit float64, now time.Time) []*Ticket {
	q.rate.SetRate(ratelimit.Usable(limit), now)
	return q.Fill(now)
}

// ClearRate removes the limit on the rate of starts. It returns the tickets that start now.
func (q *Queue) ClearRate(now time.Time) []*Ticket {
	q.rate.Clear()
	clear(q.turns)
	return q.Fill(now)
}

// RateBinds reports whether only the rate keeps a new request from starting.
func (q *Queue) RateBinds(now time.Time) bool {
	return len(q.running) < q.limit && q.rate.Until(len(q.waiting)+1, now) > 0
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer starts, queues or rejects a request. It rejects one whose expected wait exceeds
// maxWait or extends beyond its StartBy, and then returns that expected wait.
func (q *Queue) Offer(t *Ticket, maxWait time.Duration, now time.Time) (Decision, time.Duration) {
	if q.rate.Limited() {
		q.turns.offered(t.class())
	}
	if len(q.running) < q.limit && len(q.waiting) == 0 && q.rate.Take(now) {
		q.start(t, now)
		return Start, 0
	}
	wait := q.expectedWait(t, now)
	if wait > maxWait || now.Add(wait).After(t.StartBy) {
		return Reject, wait
	}
	at := sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = t
	return Wait, 0
}

// expectedWait estimates how long a request would wait.
func (q *Queue) expectedWait(t *Ticket, now time.Time) time.Duration {
	if q.limit < 1 {
		return t.ExpectedRunTime
	}
	ahead := sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
	if q.rate.Limited() && q.turns.due(t.class()) {
		ahead = 0
	}
	return q.waitBehind(q.waiting[:ahead], now)
}

// waitBehind estimates the wait of a request that starts after those ahead of it: until a slot
// is free, plus the run times of the requests ahead spread over all slots, and until the rate
// allows for all of them.
func (q *Queue) waitBehind(ahead []*Ticket, now time.Time) time.Duration {
	var runTimes time.Duration
	for _, w := range ahead {
		runTimes += w.ExpectedRunTime
	}
	forSlot := q.untilFree(now) + runTimes/time.Duration(q.limit)
	return max(forSlot, q.rate.Until(len(ahead)+1, now))
}

// untilFree estimates the time until the first running request ends: their mean remaining
// run time divided by their number, as if their ends were evenly spread.
func (q *Queue) untilFree(now time.Time) time.Duration {
	if len(q.running) < q.limit {
		return 0
	}
	var left time.Duration
	for t := range q.running {
		// A request that exceeds its expected run time is assumed to take as long again.
		rest := t.ExpectedRunTime - now.Sub(t.startedAt)
		if rest <= 0 {
			rest = t.ExpectedRunTime
		}
		left += rest
	}
	n := time.Duration(max(len(q.running), 1))
	return left / n / n
}

// ExpectedWait estimates how long a new request would wait if it joined the end of the queue,
// as most do.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	if q.limit < 1 {
		return 0
	}
	return q.waitBehind(q.waiting, now)
}

// Done frees the slot of a started request. It returns the tickets that start now.
func (q *Queue) Done(t *Ticket, now time.Time) []*Ticket {
	delete(q.running, t)
	return q.Fill(now)
}

// Clear removes and returns all waiting requests.
func (q *Queue) Clear() []*Ticket {
	waiting := q.waiting
	q.waiting = nil
	return waiting
}

// Remove removes a request from the queue. It reports whether the request was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Expire removes and returns the waiting requests whose StartBy has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if now.After(t.StartBy) {
			expired = append(expired, t)
		} else {
			kept = append(kept, t)
		}
	}
	q.waiting = kept
	return expired
}

// NextChange returns the time at which the next waiting request expires, or may start because
// the rate allows for it; ok is false if none waits.
func (q *Queue) NextChange(now time.Time) (at time.Time, ok bool) {
	for _, t := range q.waiting {
		if !ok || t.StartBy.Before(at) {
			at, ok = t.StartBy, true
		}
	}
	if !ok || !q.rate.Limited() || len(q.running) >= q.limit {
		return at, ok
	}
	if allowed := now.Add(q.rate.Until(1, now)); allowed.Before(at) {
		at = allowed
	}
	return at, true
}

// Fill starts waiting requests while slots are free and the rate allows for it, and returns
// them. Expired ones are left for Expire.
func (q *Queue) Fill(now time.Time) []*Ticket {
	var started []*Ticket
	for len(q.running) < q.limit {
		i := q.next(now)
		if i < 0 || !q.rate.Take(now) {
			break
		}
		t := q.waiting[i]
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.start(t, now)
		started = append(started, t)
	}
	return started
}

// next returns the index of the waiting request that starts next, -1 if there is none: the
// first one that has not expired, unless a class that a rate limit has passed over is due.
func (q *Queue) next(now time.Time) int {
	first := -1
	for i, t := range q.waiting {
		if now.After(t.StartBy) {
			continue
		}
		if q.rate.Limited() && q.turns.due(t.class()) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

func (q *Queue) start(t *Ticket, now time.Time) {
	t.startedAt = now
	q.running[t] = struct{}{}
	if q.rate.Limited() {
		q.turns.started(t.class())
	}
}
