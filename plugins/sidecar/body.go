package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpserver"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes is the length up to which bodies are kept in memory: requests so
	// that they can be retried, answers so that a truncated one can be replaced by a retry.
	maxBufferedBytes = 256 << 10
	// streamPrefixBytes is how much of a longer body is read before it is streamed. A body
	// that breaks off within it counts as missing, and its request can be retried.
	streamPrefixBytes = 16 << 10
)

// messageBody is the body of a request or an answer, either buffered in memory or streamed
// after its first bytes.
type messageBody struct {
	// data is the complete body or its beginning.
	data []byte
	// rest follows data; nil if data is the complete body.
	rest io.ReadCloser
	// length is the total length in bytes, -1 if it is not known in advance.
	length int64
}

// errBodyTooLarge is returned for a body that exceeds its limit.
var errBodyTooLarge = errors.New("the body exceeds the size limit")

// readBody reads a body and buffers up to maxBufferedBytes of it; a longer one is streamed.
// length is the declared length, -1 if unknown. A body above limit bytes fails with
// errBodyTooLarge, here or while it is streamed; 0 means no limit.
func readBody(body io.ReadCloser, length, limit int64) (*messageBody, error) {
	if limit > 0 && length > limit {
		return nil, errBodyTooLarge
	}
	if length == 0 || body == nil || body == http.NoBody {
		return &messageBody{}, nil
	}
	if length > maxBufferedBytes {
		return readPrefix(body, length)
	}
	var buffer bytes.Buffer
	if length > 0 {
		buffer.Grow(int(length) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if n > maxBufferedBytes {
		return &messageBody{data: buffer.Bytes(), rest: limitBody(body, limit-n, limit > 0), length: -1}, nil
	}
	if limit > 0 && n > limit {
		return nil, errBodyTooLarge
	}
	return &messageBody{data: buffer.Bytes(), length: n}, nil
}

// readPrefix reads the beginning of a body that is to be streamed.
func readPrefix(body io.ReadCloser, length int64) (*messageBody, error) {
	prefix := make([]byte, streamPrefixBytes)
	if _, err := io.ReadFull(body, prefix); err != nil {
		return nil, err
	}
	return &messageBody{data: prefix, rest: body, length: length}, nil
}

// limitBody returns a body that fails with errBodyTooLarge once more than remaining bytes
// are read, or body itself if limited is false.
func limitBody(body io.ReadCloser, remaining int64, limited bool) io.ReadCloser {
	if !limited {
		return body
	}
	return &limitedBody{ReadCloser: body, remaining: remaining}
}

// limitedBody is a body of at most remaining further bytes.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// buffered reports whether the complete body is in memory, so that it can be sent again.
func (m *messageBody) buffered() bool { return m.rest == nil }

// size returns the length of the body in bytes, -1 if it is not known in advance. A nil body is
// empty.
func (m *messageBody) size() int64 {
	if m == nil {
		return 0
	}
	return m.length
}

// fingerprint returns the fingerprint of a request with this body. It must be called before a
// streamed body is read.
func (m *messageBody) fingerprint(method, authority, target string) quarantine.Fingerprint {
	r := quarantine.Request{Method: method, Authority: authority, Target: target, Body: m.data, Streamed: !m.buffered()}
	return r.Fingerprint()
}

// reader returns a reader of the body, nil if it is empty. Only a buffered body can be read
// more than once.
func (m *messageBody) reader() io.Reader {
	switch {
	case m.buffered() && len(m.data) == 0:
		return nil
	case m.buffered():
		return bytes.NewReader(m.data)
	case len(m.data) == 0:
		return m.rest
	default:
		return io.MultiReader(bytes.NewReader(m.data), m.rest)
	}
}

// close discards the unread rest of a streamed body.
func (m *messageBody) close() {
	if m != nil && m.rest != nil {
		_ = m.rest.Close() // an unread rest closes the connection
	}
}

// maxWriteStall is how long a write of a response that is complete in memory may take, if the
// deadline of its request has passed.
const maxWriteStall = 5 * time.Second

// writeDeadline returns the time by which a part of a response must be written. A streamed one holds
// a slot of its target and is cut at the deadline of its request; one that is complete is delivered
// late rather than never.
func writeDeadline(body *messageBody, deadline, now time.Time) time.Time {
	if !body.buffered() {
		return deadline
	}
	if deadline.Before(now) {
		deadline = now
	}
	return deadline.Add(maxWriteStall)
}

// responseWriter writes the response to a request with a deadline. The time until a response may be
// written, behind earlier ones of its connection or because of the host's link, does not count.
type responseWriter struct {
	http.ResponseWriter
	body     *messageBody
	deadline time.Time
}

// WriteHeader implements http.ResponseWriter. It waits for earlier responses of the connection.
func (w *responseWriter) WriteHeader(status int) {
	if !httpserver.AwaitTurn(w.ResponseWriter) {
		panic(http.ErrAbortHandler) // the connection is lost
	}
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

func (w *responseWriter) extendDeadline() {
	w.setDeadline(writeDeadline(w.body, w.deadline, time.Now()))
}

// setDeadline sets the time after which writes fail, none if it is zero.
func (w *responseWriter) setDeadline(deadline time.Time) {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(deadline) // a lost connection fails the next write anyway
}

// writeResponse writes the response to a request with a deadline. A large body is written when the
// host's link is free for it. A body that ends early aborts the connection, so that the receiver
// can't take it for a complete one.
func writeResponse(ctx context.Context, rw http.ResponseWriter, a *answer, method string, deadline time.Time) {
	status, body := a.status, a.body
	if body == nil {
		body = &messageBody{}
	}
	w := &responseWriter{ResponseWriter: rw, body: body, deadline: deadline}
	defer w.setDeadline(time.Time{})
	if body.length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified && method != http.MethodHead {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(body.length, 10)}
	}
	w.WriteHeader(status)
	reader := body.reader()
	if reader == nil {
		return
	}
	n, err := io.Copy(uplink.NewWriter(ctx, w, a.link), reader)
	if err != nil || body.length >= 0 && n != body.length {
		panic(http.ErrAbortHandler)
	}
}

// hopByHopHeaders apply to one connection and are not forwarded. Content-Length is among
// them because it is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardedHeaders returns the headers that are forwarded: all but the hop-by-hop ones,
// those named by Connection and the nodes' own.
func forwardedHeaders(h http.Header) http.Header {
	kept := make(http.Header, len(h)+4)
	for name, values := range h {
		kept[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(kept, name)
	}
	delete(kept, headerHandover)
	delete(kept, headerResult)
	delete(kept, headerTargetState)
	delete(kept, headerCrashReports)
	delete(kept, model.HeaderEra)
	return kept
}
