// Package slotqueue decides which requests one target works on: at most as many
// at once as it has slots, the most urgent ones first, and none that would have to
// wait longer than it is worth. It answers load above the target's capacity, for
// which a long queue would only turn every answer late. It does no I/O.
package slotqueue

import (
	"sort"
	"time"
)

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Start lets the request run now.
	Start Verdict = iota
	// Wait keeps the request in the queue.
	Wait
	// Refuse sends the request away.
	Refuse
)

// Ticket is a request that asks for a slot.
type Ticket struct {
	// Nested requests are made by targets while they work on another one, whose
	// whole run is lost with them. They go first.
	Nested bool
	// Rank orders requests; 0 goes first.
	Rank int
	// Late is set when the answer cannot be on time any more. Late requests go
	// after the others of their rank.
	Late bool
	// StartBy is the latest time at which starting is still worth it.
	StartBy time.Time
	// Expected is how long the target is expected to work on the request.
	Expected time.Duration
	// Owner is the caller's own reference to the request.
	Owner any

	began time.Time
}

// before reports whether t goes before u. Within a rank the one that must start
// first goes first.
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

// Queue holds the requests of one target. It is not safe for concurrent use.
type Queue struct {
	limit   int
	running map[*Ticket]struct{}
	// waiting is sorted by Ticket.before.
	waiting []*Ticket
}

// New returns a queue for a target with limit slots.
func New(limit int) *Queue {
	return &Queue{limit: limit, running: map[*Ticket]struct{}{}}
}

// SetLimit changes the number of slots. It returns the tickets that start now.
func (q *Queue) SetLimit(limit int, now time.Time) []*Ticket {
	q.limit = limit
	return q.fill(now)
}

// Limit returns the number of slots.
func (q *Queue) Limit() int { return q.limit }

// Running returns the number of requests that the target works on.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer takes in a request. It is refused if it would have to wait longer than its
// patience, or than it is worth, and then comes with the time after which the queue
// expects room for it.
func (q *Queue) Offer(t *Ticket, patience time.Duration, now time.Time) (Verdict, time.Duration) {
	if len(q.running) < q.limit && len(q.waiting) == 0 {
		q.start(t, now)
		return Start, 0
	}
	wait := q.expectedWait(t, now)
	if wait > patience || now.Add(wait).After(t.StartBy) {
		return Refuse, wait
	}
	at := sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = t
	return Wait, 0
}

// expectedWait estimates how long a request would wait: until a slot is free, and
// for the work of the requests before it, spread over all slots.
func (q *Queue) expectedWait(t *Ticket, now time.Time) time.Duration {
	if q.limit < 1 {
		return t.Expected
	}
	var ahead time.Duration
	for _, w := range q.waiting {
		if t.before(w) {
			break
		}
		ahead += w.Expected
	}
	return q.untilFree(now) + ahead/time.Duration(q.limit)
}

// untilFree estimates the time until the first running request ends: the mean of
// what is left of them, divided by their number, as if they ended evenly spread.
func (q *Queue) untilFree(now time.Time) time.Duration {
	if len(q.running) < q.limit {
		return 0
	}
	var left time.Duration
	for t := range q.running {
		// One that is over its expected time is taken to last that long again.
		rest := t.Expected - now.Sub(t.began)
		if rest <= 0 {
			rest = t.Expected
		}
		left += rest
	}
	n := time.Duration(max(len(q.running), 1))
	return left / n / n
}

// ExpectedWait estimates how long a new request of the most frequent kind would
// wait: behind all that wait now.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	if q.limit < 1 {
		return 0
	}
	var ahead time.Duration
	for _, w := range q.waiting {
		ahead += w.Expected
	}
	return q.untilFree(now) + ahead/time.Duration(q.limit)
}

// Done ends a request that was started. It returns the tickets that start now.
func (q *Queue) Done(t *Ticket, now time.Time) []*Ticket {
	delete(q.running, t)
	return q.fill(now)
}

// Leave takes a request out of the queue. It reports whether it was waiting.
func (q *Queue) Leave(t *Ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Expire takes out and returns the requests whose time to start has passed.
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

// NextExpiry returns when the next waiting request must have started; ok is false
// if none waits.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	for _, t := range q.waiting {
		if !ok || t.StartBy.Before(at) {
			at, ok = t.StartBy, true
		}
	}
	return at, ok
}

// fill starts waiting requests while slots are free. Those whose time has passed
// are left for Expire.
func (q *Queue) fill(now time.Time) []*Ticket {
	var started []*Ticket
	for i := 0; i < len(q.waiting) && len(q.running) < q.limit; {
		t := q.waiting[i]
		if now.After(t.StartBy) {
			i++
			continue
		}
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.start(t, now)
		started = append(started, t)
	}
	return started
}

func (q *Queue) start(t *Ticket, now time.Time) {
	t.began = now
	q.running[t] = struct{}{}
}
