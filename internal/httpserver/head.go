package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/bronzemast/bronzemast/internal/connbudget"
	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// headReader reads from a connection. While the head of a request is read, it keeps the bytes
// and bounds their number.
type headReader struct {
	source    io.Reader
	recording bool
	bytes     []byte
	limit     int
	// memory is reserved for the head.
	memory *connbudget.Reservation
}

// errHeadTooLong is returned while the head of a request exceeds its limit.
var errHeadTooLong = errors.New("the head of the request is too long")

// maxKeptBytes is the capacity up to which the memory of a head is used again.
const maxKeptBytes = 2 << 10

// begin starts to record a head, which begins with what the buffer holds. It returns
// connbudget.ErrNoMemory if there is no memory for that.
func (h *headReader) begin(buffer *bufio.Reader, limit int, memory *connbudget.Reservation) error {
	buffered, _ := buffer.Peek(buffer.Buffered()) // can't fail
	h.recording = true
	h.memory = memory
	h.bytes = append(h.bytes[:0], buffered...)
	// What follows the head may be read along with it, up to the size of the buffer.
	h.limit = limit + readBufferBytes
	if !h.memory.Grow(connbudget.HeadBytes(buffered)) {
		return connbudget.ErrNoMemory
	}
	return nil
}

// end stops to record and returns the bytes of the head, without what has been read beyond it.
// They are valid until the next call of begin.
func (h *headReader) end(buffer *bufio.Reader) []byte {
	h.recording = false
	head := h.bytes[:max(len(h.bytes)-buffer.Buffered(), 0)]
	if cap(h.bytes) > maxKeptBytes {
		h.bytes = nil
	}
	return head
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.recording {
		return h.source.Read(p)
	}
	if len(h.bytes) >= h.limit {
		return 0, errHeadTooLong
	}
	n, err := h.source.Read(p[:min(len(p), h.limit-len(h.bytes))])
	if !h.memory.Grow(connbudget.HeadBytes(p[:n])) {
		return 0, connbudget.ErrNoMemory
	}
	h.bytes = append(h.bytes, p[:n]...)
	return n, err
}

// requestError is an invalid request and the status of the response to it.
type requestError struct {
	status int
	text   string
}

// Error returns the text.
func (e *requestError) Error() string { return e.text }

// validate checks what http.ReadRequest does not, but a server must: the version, the Host
// header, which it has removed from the headers, and the names and values of all others.
func validate(r *http.Request, head []byte) error {
	if r.ProtoMajor != 1 {
		return &requestError{http.StatusHTTPVersionNotSupported, "unsupported version of HTTP"}
	}
	hosts := countHosts(head)
	if hosts > 1 || hosts == 0 && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect {
		return &requestError{http.StatusBadRequest, "the request must have one Host header"}
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return &requestError{http.StatusBadRequest, "invalid Host header"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &requestError{http.StatusBadRequest, "invalid header name"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &requestError{http.StatusBadRequest, "invalid header value"}
			}
		}
	}
	if expect := r.Header.Get("Expect"); expect != "" && !expectsContinue(r) {
		return &requestError{http.StatusExpectationFailed, "unknown expectation"}
	}
	return nil
}

// countHosts returns the number of Host headers in a head.
func countHosts(head []byte) int {
	const name = "host:"
	n := 0
	for line := range bytes.Lines(head) {
		if len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			n++
		}
	}
	return n
}

// expectsContinue reports whether the caller waits for an interim response before it sends the
// body.
func expectsContinue(r *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue")
}

// errorStatus returns the status of the response to a request that could not be read, 0 if
// there is none because the connection is lost.
func errorStatus(err error) int {
	var invalid *requestError
	var connErr *net.OpError
	switch {
	case errors.As(err, &invalid):
		return invalid.status
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, connbudget.ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &connErr), errors.Is(err, os.ErrDeadlineExceeded):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// Interface guard.
var _ io.Reader = (*headReader)(nil)
