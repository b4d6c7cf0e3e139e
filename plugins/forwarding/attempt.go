package forwarding

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome model.Outcome
	reason  model.Reason
	// failed is set when the target or its node failed.
	failed bool
	// connectionFailed is set when only the connection failed, so that the same
	// target may be retried on a new connection.
	connectionFailed bool
	load             *model.Load
	// incarnation is that of the target-side node, 0 if it did not respond.
	incarnation model.Incarnation
	// olderRelease is set when the target-side node has an older release than the
	// entry node.
	olderRelease bool
	retryAfter   time.Duration
	// budgetCharged is set once the retry budget was charged for the next attempt.
	budgetCharged bool
	// response is the target's response with an unread body. If it is nil, the
	// entry node writes a local reply.
	response *http.Response
	// cancelAttempt releases the attempt's context once the response was forwarded.
	cancelAttempt context.CancelFunc
}

func notRun(reason model.Reason) attemptResult {
	return attemptResult{outcome: model.OutcomeNotRun, reason: reason}
}

// attempt sends a call to the target-side node and waits for the response head.
type attempt struct {
	entry  *entry
	call   *call
	peer   *peer
	hop    hop
	cancel context.CancelCauseFunc
	// tokenReceivedAt is when the entry node received the token.
	tokenReceivedAt time.Time

	mu sync.Mutex
	// inquiryResult is set when an inquiry settled the attempt.
	inquiryResult *attemptResult
}

// errSettledByInquiry is the cancellation cause of an attempt that an inquiry
// settled.
var errSettledByInquiry = errors.New("an inquiry settled the attempt")

// run makes the attempt. If the result has a response, the caller must call
// cancelAttempt after reading it.
func (a *attempt) run(ctx context.Context) attemptResult {
	if err := a.prepare(ctx); err != nil {
		return notSent(ctx, err)
	}
	deadline := a.call.deadline.Add(-settleMargin(a.call.timeout))
	attemptCtx, cancelDeadline := context.WithDeadline(ctx, deadline)
	attemptCtx, a.cancel = context.WithCancelCause(attemptCtx)
	cancelAttempt := func() {
		a.cancel(nil)
		cancelDeadline()
	}
	result := a.send(attemptCtx, deadline)
	if result.response == nil {
		cancelAttempt()
		return result
	}
	result.cancelAttempt = cancelAttempt
	return result
}

// notSent returns the result of an attempt that failed with err before it was sent.
func notSent(ctx context.Context, err error) attemptResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		return notRun(model.ReasonCanceled)
	}
	if ctx.Err() != nil {
		return notRun(model.ReasonDeadline)
	}
	result := notRun(model.ReasonUnreachable)
	var dialErr *dialError
	result.failed = errors.As(err, &dialErr) || errors.Is(err, context.DeadlineExceeded)
	return result
}

// settleMargin returns the part of a call's timeout that is reserved to determine
// the outcome of an attempt that got no response.
func settleMargin(timeout time.Duration) time.Duration {
	return min(max(timeout/settleMarginDivisor, minSettleMargin), maxSettleMargin)
}

const (
	settleMarginDivisor = 20
	minSettleMargin     = time.Millisecond
	maxSettleMargin     = 100 * time.Millisecond
)

// prepare gives the attempt a fresh fencing token, fetching one if needed.
func (a *attempt) prepare(ctx context.Context) error {
	if err := a.entry.hooks.At(ctx, kernel.HookConnect); err != nil {
		return &dialError{cause: err}
	}
	if !a.useToken() {
		a.entry.metrics.tokenFetches.Add(1)
		tokenCtx, cancel := context.WithTimeout(ctx, a.entry.settings.ConnectTimeout.Std())
		defer cancel()
		if err := a.peer.fetchToken(tokenCtx); err != nil {
			return err
		}
		a.useToken()
	}
	return nil
}

// useToken sets the attempt's token to the peer's current one and reports whether
// it is fresh.
func (a *attempt) useToken() bool {
	token, tokenReceivedAt, ok := a.peer.currentToken(a.entry.settings.maxTokenUseAge(), time.Now())
	a.hop.Token, a.tokenReceivedAt = token, tokenReceivedAt
	return ok
}

func (a *attempt) send(ctx context.Context, deadline time.Time) attemptResult {
	if err := a.entry.hooks.At(ctx, kernel.HookSendAttempt); err != nil {
		return a.settle(err)
	}
	now := time.Now()
	a.hop.TokenAge = now.Sub(a.tokenReceivedAt)
	a.hop.Remaining = deadline.Sub(now) - settleMargin(a.call.timeout)
	if a.hop.Remaining <= 0 {
		return notRun(model.ReasonDeadline)
	}
	req := a.request(ctx)
	watch := a.startWatchdog(ctx)
	response, err := a.peer.calls.RoundTrip(req)
	watch.stop()
	if err != nil {
		return a.settle(err)
	}
	return a.acceptResponse(response)
}

// request builds the request to the target-side node. Its method is always POST,
// so that http.Transport never resends it.
func (a *attempt) request(ctx context.Context) *http.Request {
	in := a.call.request
	header := make(http.Header, len(in.Header)+3)
	copyEndToEndHeaders(header, in.Header)
	delete(header, "Authorization")
	hideIdempotencyKeys(header)
	header[headerHop] = []string{a.hop.encode()}
	header[headerFingerprint] = []string{a.call.fingerprint.String()}
	header[model.HeaderRequestID] = []string{a.call.requestID}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	if a.call.body.rest != nil {
		header["Expect"] = []string{"100-continue"}
	}
	req := &http.Request{
		Method:        http.MethodPost,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		URL:           &url.URL{Scheme: "http", Host: a.peer.address, Path: pathCall + in.URL.Path, RawPath: rawCallPath(in.URL), RawQuery: in.URL.RawQuery},
		Header:        header,
		Body:          a.call.body.open(),
		ContentLength: a.call.body.length,
	}
	return req.WithContext(ctx)
}

func rawCallPath(u *url.URL) string {
	if u.RawPath == "" {
		return ""
	}
	return pathCall + u.RawPath
}

// acceptResponse verifies that the response belongs to the attempt and converts it
// to a result.
func (a *attempt) acceptResponse(response *http.Response) attemptResult {
	answer, err := decodeHopAnswer(response.Header.Get(headerHopAnswer))
	if err != nil || answer.Incarnation != a.hop.Attempt.Incarnation || answer.Sequence != a.hop.Attempt.Sequence {
		a.entry.metrics.crossedAnswers.Add(1)
		a.cancel(errors.New("response belongs to another attempt"))
		_ = response.Body.Close() // an unread body closes the connection
		return a.settle(errors.New("response belongs to another attempt"))
	}
	a.peer.setToken(answer.Token, time.Now())
	a.entry.learnCrashReports(response.Header)
	if answer.Release != 0 {
		a.entry.configuration.ObserveRelease(a.peer.id, answer.Release)
	}
	result := attemptResult{
		outcome:      answer.Outcome,
		reason:       answer.Reason,
		incarnation:  answer.Token.Incarnation,
		olderRelease: answer.Release < a.call.snapshot.Number,
		load:         &answer.Load,
		retryAfter:   answer.RetryAfter,
		failed:       targetFailed(answer),
	}
	if answer.Outcome != model.OutcomeRan || answer.Reason != model.ReasonNone {
		_, _ = io.CopyN(io.Discard, response.Body, copyBufferBytes) // makes the connection reusable
		_ = response.Body.Close()                                   // local replies have no body
		return result
	}
	result.response = response
	return result
}

// targetFailed reports whether the answer reports a failed target.
func targetFailed(a hopAnswer) bool {
	switch a.Reason {
	case model.ReasonUnreachable, model.ReasonTargetLost, model.ReasonTargetCrashed:
		return true
	default:
		return false
	}
}

// settle determines the result of an attempt that got no response.
func (a *attempt) settle(cause error) attemptResult {
	a.mu.Lock()
	inquiryResult := a.inquiryResult
	a.mu.Unlock()
	if inquiryResult != nil {
		return *inquiryResult
	}
	var dialErr *dialError
	if errors.As(cause, &dialErr) {
		result := notRun(model.ReasonUnreachable)
		result.failed = true
		return result
	}
	reason, failed := a.lossReason(cause)
	return a.revoke(reason, failed)
}

// lossReason returns why there was no response, and whether that counts as a
// failure of the peer.
func (a *attempt) lossReason(cause error) (model.Reason, bool) {
	switch {
	case errors.Is(a.call.request.Context().Err(), context.Canceled):
		return model.ReasonCanceled, false
	case errors.Is(cause, errTooLarge):
		return model.ReasonTooLarge, false
	case errors.Is(cause, context.DeadlineExceeded):
		return model.ReasonDeadline, true
	default:
		return model.ReasonPeerLost, true
	}
}

// revoke asks the peer on a new connection to fence the attempt unless it has
// started. The outcome is unknown if the peer does not respond.
func (a *attempt) revoke(reason model.Reason, failed bool) attemptResult {
	unknown := attemptResult{outcome: model.OutcomeUnknown, reason: reason, failed: failed}
	ctx, cancel := context.WithTimeout(context.Background(), a.revokeTimeout())
	defer cancel()
	if err := a.entry.hooks.At(ctx, kernel.HookRevoke); err != nil {
		return unknown
	}
	a.entry.metrics.revokes.Add(1)
	answer, err := a.peer.inquire(ctx, &a.hop, true)
	if err != nil {
		a.entry.metrics.revokesUnanswered.Add(1)
		return unknown
	}
	return a.resultOfInquiry(answer, reason, failed)
}

// revokeTimeout returns the timeout of a revoke: the time until the call's deadline,
// but at least enough for one exchange on a new connection.
func (a *attempt) revokeTimeout() time.Duration {
	return min(max(time.Until(a.call.deadline), minRevokeTimeout), maxRevokeTimeout)
}

const (
	minRevokeTimeout = 20 * time.Millisecond
	maxRevokeTimeout = 500 * time.Millisecond
)

// resultOfInquiry converts the answer to an inquiry into the attempt's result.
func (a *attempt) resultOfInquiry(answer hopAnswer, reason model.Reason, failed bool) attemptResult {
	switch answer.Outcome {
	case model.OutcomeNotRun:
		if reason == model.ReasonPeerLost {
			return attemptResult{outcome: model.OutcomeNotRun, reason: model.ReasonUnreachable, connectionFailed: true, load: &answer.Load}
		}
		return attemptResult{outcome: model.OutcomeNotRun, reason: reason, failed: failed, load: &answer.Load}
	case model.OutcomeRan:
		return attemptResult{outcome: model.OutcomeRan, reason: reason, failed: failed, load: &answer.Load}
	default:
		connectionFailed := reason == model.ReasonPeerLost
		return attemptResult{outcome: model.OutcomeUnknown, reason: reason, failed: failed && !connectionFailed, connectionFailed: connectionFailed, load: &answer.Load}
	}
}
