package httpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
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
}

func newExchange(c *conn, r *http.Request) *exchange {
	r.RemoteAddr = c.rwc.RemoteAddr().String()
	e := &exchange{conn: c, request: r, handler: c.server.handler}
	e.last = r.Close || !r.ProtoAtLeast(1, 1)
	e.bodyDone = r.ContentLength == 0
	if e.bodyDone {
		r.Body = http.NoBody
		e.concurrent = r.ProtoAtLeast(1, 1) && r.Header.Get("Upgrade") == "" && c.server.handler.Concurrent(r)
	}
	return e
}

// newErrorExchange returns an exchange that responds to a request that can't be read, and
// closes the connection.
func newErrorExchange(c *conn, status int) *exchange {
	r := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, fmt.Sprintf("%d %s", status, http.StatusText(status)), status)
	})
	return &exchange{conn: c, request: r, handler: handler, last: true, bodyDone: true}
}

// run calls the handler and completes the response. A panic aborts the connection, so that an
// incomplete response can't be taken for a complete one.
func (e *exchange) run() {
	ctx, cancel := context.WithCancel(e.conn.ctx)
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

// requestBody is the body of a request. It tells the connection when it has been read. A handler
// may read it in another goroutine, also while it writes the response.
type requestBody struct {
	source   io.Reader
	exchange *exchange
	response *response

	mu sync.Mutex
	// expectsContinue is set while the caller waits for an interim response.
	expectsContinue bool
	// begun is set once something of the body has been read, and done once nothing is left.
	begun bool
	done  bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if err := b.begin(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.end()
	}
	return n, err
}

// begin is called before each read. It returns io.EOF if nothing is left.
func (b *requestBody) begin() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return io.EOF
	}
	b.begun = true
	if !b.expectsContinue {
		return nil
	}
	b.expectsContinue = false
	return b.response.writeContinue()
}

// end records that nothing is left.
func (b *requestBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	b.exchange.conn.endBody(b.exchange)
}

// Close implements io.Closer. What is left of the body is discarded with the response.
func (b *requestBody) Close() error { return nil }

// maxDiscardBytes bounds what is read of a body that the handler has not read, so that the
// connection can be used again.
const maxDiscardBytes = 256 << 10

// discard reads the body if nobody has begun to. It reports whether nothing is left. A body that the
// handler has begun to read may be on its way elsewhere, so that no part of it may be taken away.
func (b *requestBody) discard() bool {
	if !b.discardable() {
		return b.isDone()
	}
	c := b.exchange.conn
	c.setReadDeadline(lingerTimeout)
	defer c.setReadDeadline(0)
	_, _ = io.CopyN(io.Discard, b, maxDiscardBytes) // the result shows in done
	return b.isDone()
}

// discardable reports whether the caller sends the body without being asked and nobody has begun to
// read it.
func (b *requestBody) discardable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.begun && !b.expectsContinue
}

func (b *requestBody) isDone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// Interface guard.
var _ io.ReadCloser = (*requestBody)(nil)
