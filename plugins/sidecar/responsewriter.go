package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpserver"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
)

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
