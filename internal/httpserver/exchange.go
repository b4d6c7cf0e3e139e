package httpserver

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/bronzemast/bronzemast/internal/connbudget"
)

// exchange is a request and its response. Its fields are guarded by the connection's mu,
// except those that only the goroutine of the handler uses.
type exchange struct {
	conn    *conn
	request *http.Request
	handler http.Handler
	// concurrent is set if the request may be handled while earlier ones are, and last if
	// it is the last one of its connection.
	concurrent bool
	last       bool
	// begun is set once the handler has been called, and ahead while an earlier request is
	// being handled as well.
	begun bool
	ahead bool
	// bodyDone is set once nothing of the request's body is left to read.
	bodyDone bool
	// closesConn is set if the connection is closed after the response.
	closesConn bool
	// memory is reserved for the request and its response, until that has been written.
	memory *connbudget.Reservation
}

func newExchange(c *conn, r *http.Request, memory *connbudget.Reservation) *exchange {
	r.RemoteAddr = c.rwc.RemoteAddr().String()
	e := &exchange{conn: c, request: r, handler: c.server.handler, memory: memory}
	e.last = r.Close || !r.ProtoAtLeast(1, 1)
	e.bodyDone = r.ContentLength == 0
	if e.bodyDone {
		r.Body = http.NoBody
		e.concurrent = r.ProtoAtLeast(1, 1) && r.Header.Get("Upgrade") == "" && c.server.handler.Concurrent(r)
	}
	return e
}

// noMemoryRetryAfter is the retry delay, in seconds, sent to callers for whose request there is no
// memory: most requests are answered within it.
const noMemoryRetryAfter = "1"

// newErrorExchange returns an exchange that responds to a request that can't be read, and
// closes the connection.
func newErrorExchange(c *conn, status int) *exchange {
	r := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", noMemoryRetryAfter)
		}
		http.Error(w, fmt.Sprintf("%d %s", status, http.StatusText(status)), status)
	})
	return &exchange{conn: c, request: r, handler: handler, last: true, bodyDone: true}
}

// run calls the handler and completes the response. A panic aborts the connection, so that an
// incomplete response can't be taken for a complete one.
func (e *exchange) run() {
	ctx, cancel := context.WithCancel(connbudget.NewContext(e.conn.ctx, e.memory))
	defer cancel()
	r := e.request.WithContext(ctx)
	w := newResponse(e, r)
	if r.Body != http.NoBody {
		r.Body = &requestBody{source: r.Body, exchange: e, response: w, expectsContinue: expectsContinue(r)}
	}
	defer e.conn.endExchange(e)
	defer w.release()
	defer func() {
		if cause := recover(); cause != nil {
			e.abort(w, cause)
		}
	}()
	e.handler.ServeHTTP(w, r)
	if w.finish() != nil {
		e.conn.abort()
	}
}

// abort closes the connection after a panic of the handler.
func (e *exchange) abort(w *response, cause any) {
	if cause != http.ErrAbortHandler {
		e.conn.server.options.LogError(fmt.Sprintf("panic while handling a request: %v\n%s", cause, debug.Stack()))
	}
	w.abort()
	e.conn.abort()
}
