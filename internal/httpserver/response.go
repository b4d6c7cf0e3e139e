package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// writeBufferBytes is the size of the buffer of a response.
const writeBufferBytes = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// errConnLost is returned when a response can't be written.
var errConnLost = errors.New("the connection is lost")

// response implements http.ResponseWriter. Its head is written once all earlier responses of
// the connection have been; WriteHeader blocks until then.
type response struct {
	exchange *exchange
	request  *http.Request
	header   http.Header
	status   int
	// writer is nil until the head is written.
	writer *bufio.Writer
	// bodyAllowed is set if the response has a body, length is its declared length, -1 if
	// there is none, and written the number of bytes so far.
	bodyAllowed bool
	length      int64
	written     int64
	chunked     bool
	err         error
	// writeDeadline is applied once it is the turn of the response.
	writeDeadline time.Time
}

func newResponse(e *exchange, r *http.Request) *response {
	return &response{exchange: e, request: r, header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// AwaitTurn waits until all earlier responses of the connection have been written, so that WriteHeader
// does not block. It returns false if the connection is lost, and true at once for a ResponseWriter
// that is not of this package.
func AwaitTurn(w http.ResponseWriter) bool {
	own, ok := w.(*response)
	return !ok || own.exchange.conn.awaitTurn(own.exchange)
}

// WriteHeader implements http.ResponseWriter. Interim responses are not supported.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if !w.exchange.conn.awaitTurn(w.exchange) {
		w.err = errConnLost
		return
	}
	w.writer = writers.Get().(*bufio.Writer)
	w.writer.Reset((*callerWriter)(w.exchange.conn))
	if !w.writeDeadline.IsZero() {
		_ = w.SetWriteDeadline(w.writeDeadline) // a closed connection fails the next write anyway
	}
	w.frame()
	w.writeHead()
}

// frame determines how the receiver detects the end of the body.
func (w *response) frame() {
	w.bodyAllowed = w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
	w.length = -1
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else {
		w.header.Del("Content-Length")
	}
	w.chunked = w.bodyAllowed && w.length < 0 && w.request.ProtoAtLeast(1, 1)
}

// connectionHeaders apply to the connection and are set by the server.
var connectionHeaders = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true, "Upgrade": true}

func (w *response) writeHead() {
	closes := w.exchange.conn.decideClose(w.exchange, w.requestsClose())
	fmt.Fprintf(w.writer, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	w.err = w.header.WriteSubset(w.writer, connectionHeaders)
	if w.chunked {
		w.writeString("Transfer-Encoding: chunked\r\n")
	}
	if closes {
		w.writeString("Connection: close\r\n")
	}
	w.writeString("\r\n")
}

// requestsClose reports whether the connection must be closed after the response: the handler
// asks for it, the end of the body is that of the connection, or the request's body has not
// been read.
func (w *response) requestsClose() bool {
	body, hasBody := w.request.Body.(*requestBody)
	return httpguts.HeaderValuesContainsToken(w.header["Connection"], "close") ||
		w.bodyAllowed && w.length < 0 && !w.chunked ||
		hasBody && !body.discard()
}

func (w *response) writeString(text string) {
	if w.err == nil {
		_, w.err = w.writer.WriteString(text)
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	switch {
	case w.err != nil:
		return 0, w.err
	case !w.bodyAllowed:
		return 0, http.ErrBodyNotAllowed
	case w.length >= 0 && w.written+int64(len(p)) > w.length:
		return 0, http.ErrContentLength
	case len(p) == 0:
		return 0, nil
	}
	if w.chunked {
		w.writeString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	n := 0
	if w.err == nil {
		n, w.err = w.writer.Write(p)
	}
	if w.chunked {
		w.writeString("\r\n")
	}
	w.written += int64(n)
	return n, w.err
}

// finish completes the response. It returns an error if it is incomplete.
func (w *response) finish() error {
	if w.status == 0 {
		w.header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return w.err
	}
	if w.bodyAllowed && w.length >= 0 && w.written != w.length {
		return io.ErrShortWrite
	}
	if w.chunked {
		w.writeString("0\r\n\r\n")
	}
	if w.err == nil {
		w.err = w.writer.Flush()
	}
	return w.err
}

// writeContinue writes the interim response that a caller waits for before it sends the body.
func (w *response) writeContinue() error {
	if w.status != 0 || !w.exchange.conn.awaitTurn(w.exchange) {
		return errConnLost
	}
	_, err := io.WriteString(w.exchange.conn.rwc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// abort marks an incomplete response as such. If only the end of the connection ends the body,
// the connection must be reset.
func (w *response) abort() {
	if w.writer == nil || !w.bodyAllowed || w.chunked || w.length >= 0 {
		return
	}
	if tcp, ok := w.exchange.conn.rwc.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // the connection is closed next
	}
}

// release returns the buffer.
func (w *response) release() {
	if w.writer == nil {
		return
	}
	if !w.writeDeadline.IsZero() {
		_ = w.SetWriteDeadline(time.Time{}) // a closed connection needs none
	}
	w.writer.Reset(nil)
	writers.Put(w.writer)
	w.writer = nil
}

// Interface guards.
var (
	_ http.ResponseWriter = (*response)(nil)
	_ io.Writer           = (*callerWriter)(nil)
)
