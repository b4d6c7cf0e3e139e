package httpconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxInlineBodyBytes is the length up to which a body is written before the
	// response is read. A longer body is written concurrently, because the server may
	// respond before it has read all of it.
	maxInlineBodyBytes = 4 << 10
	// maxDiscarded bounds the responses to other requests that are discarded on one
	// connection, and maxDiscardedBodyBytes the body of each.
	maxDiscarded          = 2
	maxDiscardedBodyBytes = 1 << 20
)

// Request is an HTTP request. Its target and header are written without changes.
type Request struct {
	Method string
	// Target is the request target: path and query.
	Target string
	Host   string
	Header http.Header
	// Body is nil for a request without one.
	Body io.Reader
	// Length is the length of the body; -1 sends it in chunks.
	Length int64
	// ID identifies the request to Matches; empty if the request has no ID. It is not used if
	// Matches is nil.
	ID string
	// Matches reports whether a response with the given header belongs to the
	// request. Other responses are discarded. Nil accepts any response.
	Matches func(h http.Header) bool
	// Probe, unless nil, checks a pooled connection before the request is sent on it.
	Probe *Probe
}

// Error is returned for a request without a response.
type Error struct {
	// Sent is set when part of the request may have reached the server.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrUnanswered is returned when only responses to other requests were received.
var ErrUnanswered = errors.New("received only responses to other requests")

// expiredDeadline is a deadline in the past, which fails all pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

// RoundTrip sends a request and returns its response as soon as its header has been received.
// The caller must close the body; until then the end of ctx aborts the exchange, and its
// connection is closed. Errors are of type *Error.
func (p *Pool) RoundTrip(ctx context.Context, r *Request) (*http.Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.Matches != nil {
		c.carried.add(r.ID)
	}
	e := &exchange{pool: p, conn: c, request: r, written: make(chan error, 1)}
	e.stopAbort = context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(expiredDeadline) // the pending read or write returns the error
	})
	response, err := e.run()
	if err != nil {
		e.stopAbort()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return response, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	// stopAbort prevents the end of the context from aborting the exchange. It returns
	// false if the context has already ended.
	stopAbort func() bool
	// written receives the result of writing the request.
	written chan error
	// discarded is set when a response to another request was discarded.
	discarded bool
}

func (e *exchange) run() (*http.Response, error) {
	if e.request.Body == nil || e.request.Length >= 0 && e.request.Length <= maxInlineBodyBytes {
		err := e.write()
		e.written <- err
		if err != nil {
			return nil, err
		}
	} else {
		go func() { e.written <- e.write() }()
	}
	response, err := e.readResponse()
	if err != nil {
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, exchange: e, closeConn: response.Close}
	return response, nil
}

func (e *exchange) write() error {
	w := e.conn.writer
	writeHead(w, e.request)
	if e.request.Body != nil {
		if err := e.writeBody(w); err != nil {
			return err
		}
	}
	return w.Flush()
}

// writeHead writes the request line and the header. It ignores write errors, because
// w.Flush returns the first one.
func writeHead(w *bufio.Writer, r *Request) {
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	if r.Body != nil && r.Length >= 0 {
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	} else if r.Body != nil {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

func (e *exchange) writeBody(w *bufio.Writer) error {
	if e.request.Length >= 0 {
		n, err := io.Copy(w, io.LimitReader(e.request.Body, e.request.Length))
		if err == nil && n < e.request.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	chunked := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunked, e.request.Body); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// readResponse returns the response that belongs to the request, with its body unread.
func (e *exchange) readResponse() (*http.Response, error) {
	for range maxDiscarded + 1 {
		response, err := e.conn.readFinal(e.request.Method)
		if err != nil {
			return nil, err
		}
		if e.request.Matches == nil || e.request.Matches(response.Header) {
			return response, nil
		}
		e.discarded = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBodyBytes))
		if err != nil {
			return nil, err
		}
		if response.Close || n == maxDiscardedBodyBytes {
			break // what follows is not known to be a response
		}
	}
	return nil, ErrUnanswered
}

// reusable reports whether the request was written completely, no response to another
// request was received and no unread data remains on the connection.
func (e *exchange) reusable() bool {
	select {
	case err := <-e.written:
		if err != nil {
			return false
		}
	default:
		return false // the server responded before the whole request was written
	}
	return !e.discarded && e.conn.reader.Buffered() == 0
}

// body is the body of a response. Closing it ends the exchange.
type body struct {
	io.ReadCloser
	exchange *exchange
	// closeConn is set when the server closes the connection after the response.
	closeConn bool
	// readAll is set once the body was read to its end.
	readAll bool
	closed  bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.readAll = true
	}
	return n, err
}

// Close returns the connection to the pool if the response was read completely and the
// connection is reusable; otherwise it closes the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	e := b.exchange
	notAborted := e.stopAbort()
	if notAborted && b.readAll && !b.closeConn && e.reusable() {
		e.pool.put(e.conn)
		return nil
	}
	return e.conn.Close()
}

// Interface guards.
var (
	_ error         = (*Error)(nil)
	_ io.ReadCloser = (*body)(nil)
)
