package admission

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

const (
	// minQueueLength is the least bound of the queue length, in calls.
	minQueueLength = 8
	// withinShareFactor multiplies the bounds of the queue length and of the
	// wait for calls within their caller's fair share: they may arrive in
	// bursts, but on average are within the capacity of the target.
	withinShareFactor = 2
)

// maxWait returns the longest time that a call may wait for a slot.
func (g *gate) maxWait(t *ticket) time.Duration {
	wait := max(g.settings.queueWait, durationOf(t.cost*g.limiter.recent.perCost()))
	if t.excess {
		return wait
	}
	return withinShareFactor * wait
}

// enqueue queues a call that is expected to start in time, and reports whether it
// did. If the queue is full, it evicts a call that would start later.
func (g *gate) enqueue(now time.Time, t *ticket) bool {
	class := classOf(t)
	queue := &g.queues[class]
	startTag := g.sequence + 1
	if g.settings.policy == policyFair {
		startTag = queue.nextStartTag(t, class)
	}
	position := queue.position(startTag)
	if now.Add(g.expectedWait(class, position)).After(t.startBy) {
		return false
	}
	if g.queued() >= g.maxQueueLength(class) && !g.makeRoom(now, class, startTag) {
		return false
	}
	t.startTag = g.charge(t, class)
	t.ready = make(chan decision, 1)
	queue.insert(t)
	return true
}

// expectedWait estimates the time until the call at a position starts.
func (g *gate) expectedWait(class, position int) time.Duration {
	ahead := g.queues[class].costAhead(position)
	if class == classExcess {
		ahead += g.queues[classWithinShare].cost
	}
	capacity, known := g.limiter.capacity()
	if !known {
		return 0
	}
	return durationOf(ahead / capacity)
}

func (g *gate) queued() int {
	return len(g.queues[classWithinShare].tickets) + len(g.queues[classExcess].tickets)
}

// maxQueueLength returns the queue length from which a call of a class is only
// queued if it evicts another.
func (g *gate) maxQueueLength(class int) int {
	length := max(int(g.settings.queuePerSlot*float64(g.limiter.value())), minQueueLength)
	if class == classExcess {
		return length
	}
	return withinShareFactor * length
}

// makeRoom evicts the call that would start last, if it would start after the new
// call, and reports whether it did.
func (g *gate) makeRoom(now time.Time, class int, startTag float64) bool {
	victimClass := classExcess
	victim := g.queues[classExcess].last()
	if victim == nil {
		victimClass = classWithinShare
		victim = g.queues[classWithinShare].last()
	}
	if victim == nil || victimClass < class || (victimClass == class && victim.startTag <= startTag) {
		return false
	}
	g.queues[victimClass].removeAt(len(g.queues[victimClass].tickets) - 1)
	g.rejectQueued(now, victim, overloadReason(g.settings.policy, victim))
	return true
}

// rejectQueued ends the wait of a queued call with a rejection.
func (g *gate) rejectQueued(now time.Time, t *ticket, reason model.Reason) {
	g.refundCharges(t)
	t.ready <- g.reject(now, t.caller, reason, t.demandOverShare, t.cost)
}

// refundCharges reverts all charges for a queued call.
func (g *gate) refundCharges(t *ticket) {
	refundTag(t, classOf(t))
	refundTokens(t)
}

// refundTokens returns the tokens that a call that did not start took from its
// caller's rate and current allowance.
func refundTokens(t *ticket) {
	t.caller.rate.refund()
	if !t.excess {
		t.caller.currentAllowance.tokens += t.cost
	}
}

// expire ends the wait of a queued call that has timed out or was canceled. It
// reports false if the decision was already sent.
func (g *gate) expire(now time.Time, t *ticket, reason model.Reason) (decision, bool) {
	g.advance(now)
	if !t.waiting {
		return decision{}, false
	}
	g.queues[classOf(t)].remove(t)
	g.refundCharges(t)
	return g.reject(now, t.caller, reason, t.demandOverShare, t.cost), true
}

func (g *gate) startQueued(now time.Time) {
	for g.inFlight < g.limiter.value() {
		t := g.dequeue()
		if t == nil {
			return
		}
		if now.After(t.startBy) {
			g.rejectQueued(now, t, overloadReason(g.settings.policy, t))
			continue
		}
		g.begin(t)
		t.ready <- decision{started: true}
	}
}

func (g *gate) dequeue() *ticket {
	for class := range g.queues {
		if len(g.queues[class].tickets) > 0 {
			return g.queues[class].next()
		}
	}
	return nil
}
