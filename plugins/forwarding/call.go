package forwarding

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/connbudget"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// call is the state of a caller's request at the entry node.
type call struct {
	resolvedRequest
	request   *http.Request
	snapshot  *config.Snapshot
	requestID string
	depth     int
	startTime time.Time
	// timeout is measured from startTime.
	timeout  time.Duration
	deadline time.Time
	body     *requestBody
	attempts int
	tried    []model.HostID
	// fingerprint identifies equal calls. isolated is set while the call may only go to its
	// isolation target.
	fingerprint quarantine.Fingerprint
	isolated    bool
	// mayHaveRun is the earlier attempt with the strongest evidence that the call
	// ran, nil if no earlier attempt can have run.
	mayHaveRun *attemptResult
}

// accept authorizes and validates the request and buffers the beginning of its
// body. It returns ReasonNone if the call may be attempted.
func (e *entry) accept(w http.ResponseWriter, c *call) model.Reason {
	c.snapshot = e.configuration.Current()
	if c.snapshot == nil {
		return model.ReasonNoConfiguration
	}
	var reason model.Reason
	c.resolvedRequest, reason = resolveRequest(c.snapshot, e.splitter, c.request)
	if reason != model.ReasonNone {
		return reason
	}
	var ok bool
	if c.depth, ok = callDepth(c.request.Header.Get(model.HeaderDepth)); !ok {
		return model.ReasonBadRequest
	}
	if c.timeout, ok = c.callTimeout(c.request.Header.Get(model.HeaderDeadline)); !ok {
		return model.ReasonBadRequest
	}
	c.deadline = c.startTime.Add(c.timeout)
	if c.timeout <= 0 {
		return model.ReasonDeadline
	}
	return e.readBody(w, c)
}

// readBody buffers the beginning of the body. The read deadline is set only while
// a body is expected: afterwards the server's background read detects that the
// caller disconnects, and it would take an expired deadline for a disconnect.
func (e *entry) readBody(w http.ResponseWriter, c *call) model.Reason {
	control := http.NewResponseController(w)
	if c.request.ContentLength != 0 {
		_ = control.SetReadDeadline(c.deadline) // fails on servers without deadlines, which have other limits
	}
	memory := connbudget.FromContext(c.request.Context())
	if !memory.Grow(e.bufferedBytes(c.request)) {
		return model.ReasonNoMemory
	}
	memory.Wait()
	body, err := readBody(c.request.Body, c.request.ContentLength, e.settings.RetryBodyBytes, c.maxBodyBytes(e.settings.MaxBodyBytes))
	memory.Resume()
	switch {
	case errors.Is(err, errTooLarge):
		return model.ReasonTooLarge
	case err != nil && !time.Now().Before(c.deadline):
		return model.ReasonDeadline
	case err != nil:
		return model.ReasonBadRequest
	}
	if c.request.ContentLength != 0 && body.rest == nil {
		_ = control.SetReadDeadline(time.Time{}) // as above
	}
	if body.rest != nil {
		allowEarlyAnswer(w)
	}
	c.body = body
	c.fingerprint = c.identify()
	return model.ReasonNone
}

// bufferedBytes returns how much of the body of a request is buffered at most.
func (e *entry) bufferedBytes(r *http.Request) int64 {
	bytes := int64(e.settings.RetryBodyBytes)
	if r.ContentLength >= 0 {
		bytes = min(bytes, r.ContentLength)
	}
	return bytes
}

// addAttempt records the result of an attempt that is followed by another one.
func (c *call) addAttempt(result attemptResult) {
	result.response, result.cancelAttempt = nil, nil
	if result.outcome == model.OutcomeNotRun {
		return
	}
	if c.mayHaveRun == nil || result.outcome == model.OutcomeRan {
		c.mayHaveRun = &result
	}
}

// finalResult returns the result of a call whose last attempt ended with result.
// An earlier attempt that ran or may have run takes precedence over a last attempt
// with weaker evidence of execution.
func (c *call) finalResult(result attemptResult) attemptResult {
	if c.mayHaveRun == nil || result.outcome == model.OutcomeRan {
		return result
	}
	if result.outcome == model.OutcomeUnknown && c.mayHaveRun.outcome == model.OutcomeUnknown {
		return result
	}
	return *c.mayHaveRun
}

func (c *call) budgetKey() budgetKey {
	return budgetKey{service: c.service.Name, caller: c.caller.Name}
}

// maxRequestIDBytes is the maximum length of a request ID supplied by a caller.
const maxRequestIDBytes = 128

// requestID returns the request ID supplied by the caller, or a random one if it
// is missing or too long.
func requestID(r *http.Request) string {
	id := r.Header.Get(model.HeaderRequestID)
	if id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return rand.Text()
}
