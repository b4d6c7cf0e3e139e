package admission

import (
	"slices"
	"time"
)

// ticket is a call that waits for a slot or holds one.
type ticket struct {
	caller *caller
	cost   float64
	// arrived is the time of the offer, startBy the latest time to start.
	arrived time.Time
	startBy time.Time
	// excess is set if the call or its caller's demand exceeds the caller's fair
	// share of the current capacity, overShare if both exceed that of the
	// nominal capacity.
	excess    bool
	overShare bool
	// demandOverShare is set if the caller's demand exceeds its fair share of
	// the nominal capacity. Rejections of its calls are then attributed to it.
	demandOverShare bool
	// startTag orders queued calls: virtual time, or the number of the arrival
	// for policyFirstCome.
	startTag float64
	waiting  bool
	// ready receives the decision on a queued call.
	ready chan decision
}

// fairQueue holds the queued calls of one class by start-time fair queuing: each
// caller's calls are spaced by cost over weight in virtual time, and the call
// with the lowest start tag goes first. Calls of one caller keep their order of
// arrival.
type fairQueue struct {
	virtualTime float64
	tickets     []*ticket
	cost        float64
}

// nextStartTag returns the start tag of the caller's next call.
func (q *fairQueue) nextStartTag(t *ticket, class int) float64 {
	return max(q.virtualTime, t.caller.finishTag[class])
}

// charge adds the call to its caller's finish tag and returns its start tag.
func (q *fairQueue) charge(t *ticket, class int) float64 {
	startTag := q.nextStartTag(t, class)
	t.caller.finishTag[class] = startTag + t.cost/t.caller.weight
	return startTag
}

// refundTag reverts charge for a call that did not start.
func refundTag(t *ticket, class int) {
	t.caller.finishTag[class] -= t.cost / t.caller.weight
}

// position returns the index at which to insert a start tag, after equal ones.
func (q *fairQueue) position(startTag float64) int {
	at, _ := slices.BinarySearchFunc(q.tickets, startTag, func(t *ticket, startTag float64) int {
		if t.startTag <= startTag {
			return -1
		}
		return 1
	})
	return at
}

// costAhead returns the cost of the calls ahead of a position.
func (q *fairQueue) costAhead(position int) float64 {
	sum := 0.0
	for _, t := range q.tickets[:position] {
		sum += t.cost
	}
	return sum
}

func (q *fairQueue) insert(t *ticket) {
	q.tickets = slices.Insert(q.tickets, q.position(t.startTag), t)
	q.cost += t.cost
	t.waiting = true
}

func (q *fairQueue) removeAt(i int) *ticket {
	t := q.tickets[i]
	q.tickets = slices.Delete(q.tickets, i, i+1)
	q.cost -= t.cost
	t.waiting = false
	return t
}

// next removes the first call and advances virtual time to its start tag.
func (q *fairQueue) next() *ticket {
	t := q.removeAt(0)
	q.virtualTime = max(q.virtualTime, t.startTag)
	return t
}

// last returns the call that would start last, nil if the queue is empty.
func (q *fairQueue) last() *ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[len(q.tickets)-1]
}

func (q *fairQueue) remove(t *ticket) {
	if i := slices.Index(q.tickets, t); i >= 0 {
		q.removeAt(i)
	}
}
