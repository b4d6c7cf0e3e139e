package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/retryafter"
)

// writeAnswer records and logs the outcome of a call and writes the response to its
// caller: the target's answer, or a local reply if the request did not run or its answer
// was lost.
func (e *entry) writeAnswer(ctx context.Context, w http.ResponseWriter, c *call, a *answer) {
	e.metrics.outcome(a.Outcome, a.status)
	e.metrics.requestLatency.Observe(time.Since(c.receivedAt))
	if a.status == 0 || a.Outcome != model.OutcomeRan {
		a.Reason = e.finalReason(c, a)
		reply := &model.LocalReply{ID: c.id, Outcome: a.Outcome, Reason: a.Reason, RetryAfter: e.retryAfter(c, a)}
		status := e.writeLocalReply(w, reply)
		e.tracer.request(c, a, status, reply.RetryAfter, e.replica.Position())
		return
	}
	e.tracer.request(c, a, a.status, 0, e.replica.Position())
	header := w.Header()
	for name, values := range forwardedHeaders(a.header) {
		header[name] = values
	}
	if a.link == nil {
		a.link = e.uplink.Add(a.body.size())
	}
	writeResponse(ctx, w, a, c.method, c.deadline)
}

// finalReason returns the reason reported to the caller: the deadline if it has passed and
// the request may have run, otherwise the answer's own reason.
func (e *entry) finalReason(c *call, a *answer) model.Reason {
	if a.Outcome != model.OutcomeNotRun && !time.Now().Before(c.deadline) {
		return model.ReasonDeadline
	}
	return a.Reason
}

// minRetryAfter is the retry delay sent to callers by a draining node.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the retry delay for a rejected caller.
func (e *entry) retryAfter(c *call, a *answer) time.Duration {
	now := time.Now()
	r := retryafter.Rejection{
		Wait:               a.RetryAfter,
		HadRoom:            a.Reason == model.ReasonTargetRefused && a.Load.hasRoom(),
		ObjectiveRemaining: c.objectiveDeadline.Sub(now) - e.stats.expectedRunTime(c.route),
		Left:               c.callerTimeout - now.Sub(c.receivedAt),
	}
	if a.Reason == model.ReasonNoTarget {
		r.Wait = max(r.Wait, e.settings.Load().TargetRenewal.Std()/2)
	}
	return r.Delay(rand.Float64())
}

// writeLocalReply writes a local reply as the response to a request and returns its
// status.
func (e *entry) writeLocalReply(w http.ResponseWriter, r *model.LocalReply) int {
	e.metrics.localReply(r.Reason)
	header := w.Header()
	status := e.exchange.WriteLocalReply(header, *r)
	header["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
	return status
}
