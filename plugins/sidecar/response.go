package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/model"
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

// minRetryAfter is the shortest retry delay sent to callers, so that they don't retry at
// once.
const minRetryAfter = 100 * time.Millisecond

// retryJitterShare is the share of a caller's remaining time over which the retries of
// callers that were rejected together are spread.
const retryJitterShare = 0.25

// retryAfter returns the retry delay for a rejected caller: the time until capacity is
// expected, plus jitter that is bounded by the caller's remaining time, so that callers
// retry neither all at once nor too late.
func (e *entry) retryAfter(c *call, a *answer) time.Duration {
	wait := max(a.RetryAfter, minRetryAfter)
	if a.Reason == model.ReasonNoTarget {
		wait = max(wait, e.settings.Load().TargetRenewal.Std()/2)
	}
	left := max(c.callerTimeout-time.Since(c.receivedAt), 0)
	return wait + time.Duration(rand.Float64()*retryJitterShare*float64(left))
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
