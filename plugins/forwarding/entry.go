package forwarding

import (
	"context"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// entry is the role of the node that receives a call from its caller.
type entry struct {
	settings      *Settings
	host          model.HostID
	incarnation   model.Incarnation
	hooks         *kernel.Hooks
	metrics       *metrics
	configuration model.Configuration
	fleet         model.Fleet
	balancer      model.Balancer
	drainer       model.Drainer
	recorder      model.Recorder
	peers         *peers
	budgets       *budgets
	splitter      *ingress.Splitter
	// quarantine keeps calls from targets that crash while they run them.
	quarantine model.Quarantine
}

// ServeHTTP forwards a caller's request to a target and writes the response.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{request: r, startTime: time.Now(), requestID: requestID(r)}
	if e.drainer.Stage() != model.StageServing {
		w.Header()["Connection"] = []string{"close"}
	}
	if !e.drainer.Enter(model.RoleEntry) {
		_ = e.hooks.At(r.Context(), kernel.HookReject) // the call is rejected either way
		e.writeLocalReply(w, c, notRun(model.ReasonDraining))
		return
	}
	defer e.drainer.Leave(model.RoleEntry)
	if err := e.hooks.At(r.Context(), kernel.HookAcceptCall); err != nil {
		e.writeLocalReply(w, c, notRun(model.ReasonNoConfiguration))
		return
	}
	if reason := e.accept(w, c); reason != model.ReasonNone {
		e.writeLocalReply(w, c, notRun(reason))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	e.deliver(w, c, e.runAttempts(ctx, c))
}

// runAttempts makes attempts until one decides the result of the call.
func (e *entry) runAttempts(ctx context.Context, c *call) attemptResult {
	key := c.budgetKey()
	e.budgets.deposit(key, c.service.RetryRatio)
	var last attemptResult
	var sameTarget *model.Member
	earlier := model.OutcomeNotRun
	for {
		verdict := e.verdict(c)
		if verdict.Action == quarantine.Refuse {
			return c.finalResult(quarantinedResult(c, last, verdict))
		}
		c.isolated = verdict.Action == quarantine.Isolate
		m, ok := e.pickTarget(ctx, c, sameTarget)
		if !ok {
			return c.finalResult(e.noTargetResult(c, last))
		}
		startTime := time.Now()
		result := e.attempt(ctx, c, m)
		plan := planAfter(e.retryInputOf(c, result), c.maxAttempts(e.settings.MaxAttempts))
		if plan != planSameTarget {
			e.observe(c, m, result, startTime)
		}
		result.outcome = model.CombineOutcomes(earlier, result.outcome)
		earlier = result.outcome
		sameTarget = nil
		switch plan {
		case planFinish:
			return c.finalResult(result)
		case planSameTarget:
			sameTarget = m
		case planRetry:
			if e.verdict(c).Action == quarantine.Refuse {
				return c.finalResult(result)
			}
			if !result.budgetCharged && !e.budgets.withdraw(key) {
				e.metrics.budgetEmpty.Add(1)
				return c.finalResult(result)
			}
			if !result.connectionFailed {
				c.tried = append(c.tried, m.ID)
			}
		case planFailover:
			c.tried = append(c.tried, m.ID)
		}
		finishResponse(result)
		c.addAttempt(result)
		last = result
	}
}

func (e *entry) pickTarget(ctx context.Context, c *call, sameTarget *model.Member) (*model.Member, bool) {
	if sameTarget != nil {
		return sameTarget, true
	}
	if err := e.hooks.At(ctx, kernel.HookPickTarget); err != nil {
		return nil, false
	}
	exclude := c.tried
	if c.isolated {
		exclude = allButIsolationTarget(c.fingerprint, e.fleet.View().ByService[c.service.Name], c.tried)
	}
	return e.balancer.Pick(model.PickRequest{Service: c.service, Caller: c.caller.Name, Exclude: exclude, Now: time.Now()})
}

// noTargetResult returns the result of a call for which no target is left. If
// there was an attempt, its result is returned, which is more specific. If targets
// have asked the caller to back off, the result has the time until the first retry.
func (e *entry) noTargetResult(c *call, last attemptResult) attemptResult {
	if c.attempts == 0 {
		last = notRun(model.ReasonNoTarget)
	}
	last.response = nil
	retryAfter, reason := e.balancer.RetryAfter(model.PickRequest{Service: c.service, Caller: c.caller.Name, Now: time.Now()})
	if retryAfter > 0 {
		last.retryAfter = retryAfter
	}
	if retryAfter > 0 && c.attempts == 0 {
		last.reason = reason
	}
	return last
}

func (e *entry) retryInputOf(c *call, r attemptResult) retryInput {
	return retryInput{
		outcome:          r.outcome,
		reason:           r.reason,
		answered:         r.response != nil,
		connectionFailed: r.connectionFailed,
		olderRelease:     r.olderRelease,
		idempotent:       c.route.Idempotent,
		replayable:       c.body.replayable(),
		depth:            c.depth,
		attempts:         c.attempts,
		remaining:        time.Until(c.deadline),
	}
}

// attempt makes one attempt and buffers a short response, so that a truncated one
// can still be retried.
func (e *entry) attempt(ctx context.Context, c *call, m *model.Member) attemptResult {
	c.attempts++
	if c.attempts > 1 {
		e.metrics.retries.Add(1)
	}
	p := e.peers.get(m)
	a := &attempt{entry: e, call: c, peer: p, hop: hop{
		Attempt: AttemptID{Entry: e.host, Incarnation: e.incarnation, Sequence: e.peers.sequence.Add(1)},
		Method:  c.request.Method,
		Caller:  c.caller.Name,
		Service: c.service.Name,
		Route:   c.route.Name,
		Release: c.snapshot.Number,
		Depth:   c.depth,
	}}
	startTime := time.Now()
	result := a.run(ctx)
	if result.response != nil {
		p.responseTime.observe(time.Since(startTime))
		result = bufferResponse(result)
	}
	return result
}

func (e *entry) observe(c *call, m *model.Member, result attemptResult, startTime time.Time) {
	now := time.Now()
	e.balancer.Observe(model.TargetObservation{
		Host:       m.ID,
		Service:    c.service.Name,
		Caller:     c.caller.Name,
		Outcome:    result.outcome,
		Reason:     result.reason,
		Failed:     result.failed,
		Latency:    now.Sub(startTime),
		Load:       result.load,
		RetryAfter: result.retryAfter,
		Now:        now,
	})
	evidence, ok := evidenceOf(result)
	if !ok || evidence == model.EvidenceAlive && !e.peers.get(m).aliveReportDue(now) {
		return
	}
	e.fleet.Observe(model.Observation{Host: m.ID, Incarnation: result.incarnation, Evidence: evidence, At: now})
}

// evidenceOf returns the liveness evidence that an attempt gives about the
// target's host, and false if it gives none.
func evidenceOf(result attemptResult) (model.Evidence, bool) {
	switch {
	case result.reason == model.ReasonDraining && result.load != nil:
		return model.EvidenceDraining, true
	case result.load != nil:
		return model.EvidenceAlive, true
	case result.reason == model.ReasonUnreachable && result.failed:
		return model.EvidenceUnreachable, true
	default:
		return 0, false
	}
}
