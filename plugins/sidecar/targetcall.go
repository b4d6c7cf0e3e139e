package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// callTarget sends a request that has acquired a slot to the target.
func (s *targetSide) callTarget(ctx context.Context, inst *instance, h *handover, header http.Header, body *messageBody) *answer {
	remaining := h.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	if remaining <= 0 {
		return notRunAnswer(model.ReasonDeadline)
	}
	s.exchange.SetTarget(header, model.TargetHead{
		ID:            h.ID,
		Remaining:     remaining,
		Target:        h.Instance,
		CallerService: h.CallerService,
	})
	fingerprint := h.fingerprint(body)
	run := inst.crashes.Started(fingerprint)
	a := s.exchangeWithTarget(ctx, inst, h, header, body)
	completed := a.Outcome == model.OutcomeRan
	inst.crashes.Ended(run, completed)
	if completed {
		s.quarantine.RecordRun(fingerprint)
	}
	if a.Reason == model.ReasonTargetCrashed {
		a.crashReports = s.quarantine.Reports(fingerprint)
	}
	a.fingerprint = fingerprint
	return a
}

// exchangeWithTarget sends a request to the target and reads the answer.
func (s *targetSide) exchangeWithTarget(ctx context.Context, inst *instance, h *handover, header http.Header, body *messageBody) *answer {
	start := time.Now()
	paceAtStart := inst.currentPace()
	inst.recordSent(start)
	response, err := inst.pool.RoundTrip(ctx, &httpconn.Request{
		Method: h.Method,
		Target: h.Target,
		Host:   h.Authority,
		Header: header,
		Body:   body.reader(),
		Length: body.length,
		ID:     h.ID,
		// A request without an ID must not get the late answer to one that has an ID.
		Matches: func(header http.Header) bool { return s.exchange.ParseResponse(0, header).ID == h.ID },
	})
	if err != nil {
		if ctx.Err() != nil {
			inst.recordUnfinishedRun(h.Route, time.Since(start), paceAtStart)
		}
		return s.connectionLost(ctx, inst, h, err)
	}
	return s.readAnswer(ctx, inst, h, response, callStart{at: start, pace: paceAtStart})
}

// connectionLost returns the answer of a request whose connection failed before the answer was
// complete.
func (s *targetSide) connectionLost(ctx context.Context, inst *instance, h *handover, err error) *answer {
	a := s.noAnswer(ctx, inst, err)
	if a.Reason == model.ReasonTargetLost {
		s.checkHealth(inst, h.Instance, healthCheckInterval)
	}
	if a.Reason == model.ReasonTargetLost && s.targetCrashed(ctx, inst, h) {
		a.Reason = model.ReasonTargetCrashed
	}
	return a
}

// noAnswer returns the answer of a request to which the target sent no complete response.
// If the request was not sent, it has not run; otherwise its outcome is unknown.
func (s *targetSide) noAnswer(ctx context.Context, inst *instance, err error) *answer {
	var failure *httpconn.Error
	if errors.As(err, &failure) && !failure.Sent {
		if ctx.Err() != nil {
			return notRunAnswer(model.ReasonCanceled)
		}
		inst.recordUnreachable()
		return unreachableAnswer(0)
	}
	a := &answer{result: result{Outcome: model.OutcomeUnknown, Reason: model.ReasonTargetLost, ReachedTarget: true, Failed: true}}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Reason = model.ReasonDeadline
	case ctx.Err() != nil:
		a.Reason = model.ReasonCanceled
	default:
		inst.recordResult(true)
	}
	return a
}

// unreachableAnswer returns the answer of a request that did not reach the target.
// retryAfter is the time after which the target may accept connections again.
func unreachableAnswer(retryAfter time.Duration) *answer {
	a := notRunAnswer(model.ReasonUnreachable)
	a.Failed = true
	a.RetryAfter = retryAfter
	return a
}

// callStart is the start of a call to the target, and the pace of its machine then.
type callStart struct {
	at   time.Time
	pace float64
}

// readAnswer reads the target's response and determines the outcome. A successful response
// that is not signed by the target counts as lost, and so does any that is content-encoded or has a
// status that says that the request has not run, unless the target says so itself.
func (s *targetSide) readAnswer(ctx context.Context, inst *instance, h *handover, response *http.Response, start callStart) *answer {
	inst.recordAnswer()
	inst.crashes.Reached()
	head := s.exchange.ParseResponse(response.StatusCode, response.Header)
	s.updateIdleTimeout(inst, response.Header)
	if !head.WrongTarget {
		s.observeAnnouncement(inst, h.Instance, head, start.at)
	}
	s.observeLoad(inst, head)
	s.unknownHeaders.Record(head.UnknownHeaders)
	body, err := readBody(response.Body, answerLimits(ctx, response, h.Method))
	if err != nil {
		_ = response.Body.Close() // the body was cut off
		return s.connectionLost(ctx, inst, h, &httpconn.Error{Sent: true, Err: err})
	}
	a := &answer{status: response.StatusCode, header: response.Header, body: body}
	a.ReachedTarget = true
	a.RunTime = time.Since(start.at)
	if body.buffered() {
		_ = response.Body.Close() // the body has been read completely
	}
	switch {
	case head.NotRun:
		a.close()
		a = &answer{result: result{Outcome: model.OutcomeNotRun, Reason: model.ReasonTargetRefused, ReachedTarget: true, RunTime: a.RunTime, RetryAfter: head.RetryAfter}}
		if head.WrongTarget {
			a.Reason = model.ReasonNoTarget
			inst.recordReplaced()
		}
		inst.recordResult(!head.WrongTarget)
		return a
	case head.Encoded || !head.Signed && a.status < http.StatusMultipleChoices || head.ClaimsNotRun:
		body.close()
		return s.noAnswer(ctx, inst, &httpconn.Error{Sent: true, Err: errors.New("the answer is unsigned, content-encoded or claims by its status alone that the request has not run")})
	}
	a.Outcome = model.OutcomeRan
	a.Failed = a.status >= http.StatusInternalServerError
	if !a.Failed {
		inst.recordRun(h.Route, a.RunTime, start.pace)
		inst.recordAnswerBytes(h.Route, body.length)
		if inst.mayBeCold() {
			s.checkHealth(inst, h.Instance, slowdownInterval)
		}
	}
	inst.recordResult(a.Failed && a.status != http.StatusGatewayTimeout)
	if !body.buffered() {
		a.release = func() {}
	}
	return a
}

// answerLength returns the length of a response's body in bytes, -1 if unknown.
func answerLength(response *http.Response, method string) int64 {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return 0
	}
	return response.ContentLength
}

// updateIdleTimeout sets the idle timeout of the connections to less than the one that the
// target announces in its Keep-Alive header.
func (s *targetSide) updateIdleTimeout(inst *instance, h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			inst.pool.SetIdleTimeout(time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second)))
		}
	}
}

const (
	// idleTimeoutShare is the share of the target's idle timeout for which a connection is
	// kept, so that no request is sent while the target closes the connection.
	idleTimeoutShare = 0.7
	// maxIdleToTarget is the maximum number of idle connections to the target.
	maxIdleToTarget = 64
)
