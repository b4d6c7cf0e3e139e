package forwarding

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// maxBufferedResponse is the maximum length in bytes of a response that is read
// completely before its head is forwarded.
const maxBufferedResponse = 16 << 10

// bufferResponse reads a short response completely. A truncated one becomes a
// result without a response: the target ran the call, but its response is lost.
func bufferResponse(result attemptResult) attemptResult {
	length := result.response.ContentLength
	if length < 0 || length > maxBufferedResponse {
		return result
	}
	body := make([]byte, length)
	_, err := io.ReadFull(result.response.Body, body)
	if err == nil {
		err = expectEOF(result.response.Body)
	}
	finishResponse(result)
	if err != nil {
		return attemptResult{outcome: result.outcome, reason: model.ReasonPeerLost, failed: true, load: result.load}
	}
	result.response.Body = &bufferedBody{data: body}
	return result
}

// expectEOF reads the end of a body, which makes its connection reusable.
func expectEOF(body io.Reader) error {
	var one [1]byte
	n, err := body.Read(one[:])
	if n > 0 || err != io.EOF {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// bufferedBody is the body of a response that was read completely.
type bufferedBody struct {
	data []byte
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error { return nil }

// finishResponse closes the response and cancels its attempt.
func finishResponse(result attemptResult) {
	if result.response != nil {
		_ = result.response.Body.Close() // closes the connection if the body was not read to its end
	}
	if result.cancelAttempt != nil {
		result.cancelAttempt()
	}
}

// deliver writes the result to the caller. It aborts the caller's connection if
// the body cannot be written completely.
func (e *entry) deliver(w http.ResponseWriter, c *call, result attemptResult) {
	if result.response == nil {
		e.writeLocalReply(w, c, result)
		return
	}
	defer finishResponse(result)
	header := w.Header()
	copyEndToEndHeaders(header, result.response.Header)
	e.setCallHeaders(header, c, result)
	if length, ok := result.response.Header[headerHopLength]; ok {
		header["Content-Length"] = length
	} else if result.response.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(result.response.ContentLength, 10)}
	}
	w.WriteHeader(result.response.StatusCode)
	err := streamBody(w, result.response.Body, result.response.ContentLength, c.deadline)
	e.record(c, result, result.response.StatusCode)
	if err != nil && !hasNoBody(c.request.Method, result.response.StatusCode) {
		e.metrics.abortedAnswers.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// writeLocalReply responds to a call without a target response to forward.
func (e *entry) writeLocalReply(w http.ResponseWriter, c *call, result attemptResult) {
	status := localReplyStatus(result.outcome, result.reason)
	header := w.Header()
	e.setCallHeaders(header, c, result)
	if after := retryAfterSeconds(status, result.retryAfter); after != "" {
		header["Retry-After"] = []string{after}
	}
	if status == http.StatusUnauthorized {
		header["Www-Authenticate"] = []string{"Bearer"}
	}
	header["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
	e.record(c, result, status)
}

// setCallHeaders sets the response headers that describe the call to its caller.
func (e *entry) setCallHeaders(header http.Header, c *call, result attemptResult) {
	header[model.HeaderOutcome] = []string{result.outcome.String()}
	if result.reason != model.ReasonNone {
		header[model.HeaderReason] = []string{string(result.reason)}
	}
	header[model.HeaderRequestID] = []string{c.requestID}
	if c.snapshot != nil {
		header[model.HeaderRelease] = []string{strconv.FormatUint(c.snapshot.Number, 10)}
	}
}

func (e *entry) record(c *call, result attemptResult, status int) {
	now := time.Now()
	e.metrics.entryOutcome(result.outcome)
	record := model.CallRecord{
		At:      now,
		Role:    model.RoleEntry,
		Outcome: result.outcome,
		Reason:  result.reason,
		Status:  status,
		Latency: now.Sub(c.startTime),
		Retries: max(c.attempts-1, 0),
	}
	c.fillNames(&record)
	e.recorder.Record(record)
}

// fillNames sets the names that were resolved from the snapshot.
func (rr *resolvedRequest) fillNames(record *model.CallRecord) {
	if rr.service != nil {
		record.Service = rr.service.Name
	}
	if rr.route != nil {
		record.Route = rr.route.Name
	}
	if rr.caller != nil {
		record.Caller = rr.caller.Name
		record.Team = rr.caller.Team
	}
}
