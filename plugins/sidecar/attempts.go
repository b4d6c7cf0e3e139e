package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/retrybudget"
)

// runAttempts makes attempts until one is final or no target is left, and returns the
// answer of the call.
func (e *entry) runAttempts(ctx context.Context, c *call) *answer {
	now := time.Now()
	e.budgets.deposit(c.service, now)
	var last *answer
	for {
		verdict := e.verdict(c)
		if verdict.Action == quarantine.Refuse {
			return quarantinedAnswer(last, verdict)
		}
		c.isolated = verdict.Action == quarantine.Isolate
		chosen := e.choose(c)
		if chosen.target == nil {
			return noTargetAnswer(last, chosen)
		}
		a := e.attempt(ctx, c, chosen)
		final := e.evaluateAttempt(ctx, c, chosen.target, a)
		last = finalAnswer(last, a)
		if final {
			return last
		}
	}
}

// finalAnswer returns which of the answers of two consecutive attempts counts if no
// further attempt is made, and closes the other. An attempt that has not run does not
// override an earlier one that may have run.
func finalAnswer(earlier, last *answer) *answer {
	if earlier == nil {
		return last
	}
	if model.CombineOutcomes(earlier.Outcome, last.Outcome) != last.Outcome {
		last.close()
		return earlier
	}
	earlier.close()
	return last
}

// noTargetAnswer returns the answer of a call for which no eligible target is left: that of
// the last attempt, or a rejection if there was none.
func noTargetAnswer(last *answer, chosen choice) *answer {
	var a *answer
	switch {
	case last != nil:
		return last
	case chosen.fullFor > 0:
		a = notRunAnswer(model.ReasonOverloaded)
		a.RetryAfter = chosen.fullFor
		switch {
		case chosen.limited:
			a.Reason = model.ReasonTargetLimited
		case chosen.linkFull:
			a.Reason = model.ReasonLinkFull
		}
	case chosen.unreachableFor > 0:
		a = notRunAnswer(model.ReasonUnreachable)
		a.RetryAfter = chosen.unreachableFor
	case chosen.evacuated:
		a = notRunAnswer(model.ReasonEvacuated)
		a.RetryAfter = evacuatedRetryAfter
	default:
		a = notRunAnswer(model.ReasonNoTarget)
	}
	return a
}

// evacuatedRetryAfter is the retry delay sent to callers while all targets are in evacuated
// failure domains. An operator ends an evacuation, so that nothing says when.
const evacuatedRetryAfter = time.Second

// evaluateAttempt updates the call after an attempt and reports whether the attempt is
// final. It returns false if the call goes to another target.
func (e *entry) evaluateAttempt(ctx context.Context, c *call, t *model.Target, a *answer) bool {
	if ctx.Err() != nil {
		return true
	}
	next := planAfter(attemptEnd{
		outcome:        a.Outcome,
		reason:         a.Reason,
		reachedTarget:  a.ReachedTarget,
		failed:         a.Failed,
		idempotent:     c.route.Idempotent,
		replayable:     c.body.buffered(),
		targetsReached: c.targetsReached,
		maxTargets:     c.route.Attempts,
		hops:           c.hops,
		remaining:      time.Until(c.deadline),
		expected:       a.RunTime,
	})
	switch next {
	case planFailover:
		switch a.Reason {
		case model.ReasonOverloaded, model.ReasonTargetLimited, model.ReasonLinkFull:
			c.fullTargets[t.ID] = true
			c.fullRetryAfter = a.RetryAfter
		default:
			c.excludedTargets[t.ID] = true
		}
		return false
	case planRetry:
		c.excludedTargets[t.ID] = true
		if e.verdict(c).Action == quarantine.Refuse {
			return true
		}
		if !c.charged.Swap(false) && !e.charge(c, a.Outcome) {
			e.metrics.budgetEmpty.Add(1)
			return true
		}
		e.metrics.retries.Add(1)
		return false
	default:
		return true
	}
}

// charge takes a retry from the budget of the call's service, and from those of the services
// that its run may call, and reports whether each had one left. outcome is that of the attempt so
// far.
func (e *entry) charge(c *call, outcome model.Outcome) bool {
	cost := retryCost{service: c.service, urgency: retrybudget.Normal}
	switch {
	case e.stats.nested(c.route.Name):
		cost.urgency = retrybudget.Urgent
		return e.budgets.withdraw(cost, time.Now())
	case outcome == model.OutcomeNotRun && !c.cameBack && e.stats.called(c.service):
		cost.urgency = retrybudget.Deferrable
	}
	cost.callees = e.stats.callees(c.service)
	return e.budgets.withdraw(cost, time.Now())
}

// choose selects the target of the next attempt and bounds its queue wait. The last
// attempt that maxHops allows may wait for the whole timeout.
func (e *entry) choose(c *call) choice {
	chosen := e.stats.choose(c, e.replica.Targets().ByService[c.service], rand.Float64(), time.Now())
	if c.hops+1 >= maxHops {
		chosen.maxQueueWait = c.route.Timeout
	}
	return chosen
}

// attempt sends the call to one target, updates the target's statistics and adds a log
// line to the call's trace.
func (e *entry) attempt(ctx context.Context, c *call, chosen choice) *answer {
	t := chosen.target
	c.hops++
	start := time.Now()
	h := &handover{
		Version:            handoverVersion,
		ID:                 c.id,
		Method:             c.method,
		Target:             c.target,
		Authority:          c.authority,
		Route:              c.route.Name,
		Service:            c.service,
		Instance:           t.ID,
		CallerService:      e.host.Service,
		Remaining:          c.deadline.Sub(start),
		ObjectiveRemaining: c.objectiveDeadline.Sub(start),
		Objective:          c.route.Objective,
		Rank:               c.route.Rank,
		MaxQueueWait:       chosen.maxQueueWait,
		known:              e.stats.known(t),
	}
	h.setPosition(e.replica.Position())
	e.stats.attemptStarted(t, start)
	a := e.sender.send(ctx, t, h, c, chosen.candidate.ExpectedLatency())
	now := time.Now()
	e.stats.attemptEnded(t, c, a, now.Sub(start), now)
	if a.ReachedTarget {
		c.targetsReached++
	} else {
		c.overhead += now.Sub(start) - a.TimeAtNode
	}
	c.trace = append(c.trace, logLine{event: eventAttempt, fields: event.Fields{
		"request":     c.id,
		"hop":         c.hops,
		"target":      t.ID,
		"occupied":    chosen.candidate.Occupied,
		"slots":       t.Slots,
		"limit":       h.known.loggedLimit(),
		"load_age_ms": chosen.loadAge.Milliseconds(),
		"expected_ms": chosen.candidate.ExpectedLatency().Milliseconds(),
		"cost":        chosen.candidate.Cost(),
		"patience_ms": chosen.maxQueueWait.Milliseconds(),
		"outcome":     a.Outcome.String(),
		"reason":      a.Reason,
		"handed":      a.ReachedTarget,
		"took_ms":     now.Sub(start).Milliseconds(),
	}})
	return a
}
