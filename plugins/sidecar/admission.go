package sidecar

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
)

// admission records how a request was admitted, for its log line.
type admission struct {
	// nested is set if the request appears to be a call made by a target.
	nested bool
	// late, expected and startWithin are taken from the request's ticket: whether its
	// objective can't be met any more, its expected run time, and the time from arrival by
	// which it must start.
	late        bool
	expected    time.Duration
	startWithin time.Duration
	// loadAtArrival is the target's load when the request arrived, and waited the time
	// that it waited for a slot.
	loadAtArrival load
	waited        time.Duration
}

// fullAnswer returns the answer of a request that got no slot in time; retryAfter is the time
// after which a slot is expected.
func (s *targetSide) fullAnswer(ctx context.Context, inst *instance, h *handover, adm *admission, retryAfter time.Duration) *answer {
	a := notRunAnswer(inst.fullReason())
	a.RetryAfter = retryAfter
	a.FullFor = max(retryAfter-adm.startWithin, 0)
	if a.Reason == model.ReasonTargetLimited {
		a.FullFor = inst.pauseAfterRejection(h.sender, retryAfter)
	}
	switch {
	case ctx.Err() != nil:
		a.Reason = model.ReasonCanceled
	case s.hasLeft(h):
		a.Reason = model.ReasonDraining
	}
	return a
}

// newTicket returns the queue ticket of a request, nil if less than half of the expected
// run time remains until its deadline. An idle target that is estimated as too slow still
// gets the request, since only a run can show that it has recovered.
func newTicket(h *handover, adm *admission, now time.Time) *slotqueue.Ticket {
	if h.Remaining <= adm.expected/2 {
		if adm.loadAtArrival.Running > 0 {
			return nil
		}
		return &slotqueue.Ticket{Rank: h.Rank, ExpectedRunTime: adm.expected, StartBy: now}
	}
	t := &slotqueue.Ticket{Nested: adm.nested, Rank: h.Rank, ExpectedRunTime: adm.expected}
	switch slack := h.ObjectiveRemaining - adm.expected; {
	case adm.nested:
		t.StartBy = now.Add(h.Remaining / 2)
	case slack > 0:
		t.StartBy = now.Add(min(slack, h.Remaining-adm.expected/2))
	default:
		t.Late = true
		t.StartBy = now.Add(min(h.Objective/4, (h.Remaining-adm.expected/2)/2))
	}
	return t
}
