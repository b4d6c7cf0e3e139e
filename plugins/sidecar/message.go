package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// bufferedBytes is the length up to which bodies are kept in memory: requests so
// that they can be sent again, answers so that a cut one can be replaced.
const bufferedBytes = 256 << 10

// message is the body of a request or an answer: whole in memory, or a stream
// after its first bytes.
type message struct {
	// data is the whole body, or the beginning of it.
	data []byte
	// rest follows data; nil if data is the whole body.
	rest io.ReadCloser
	// length is the whole length, -1 if it is not known in advance.
	length int64
}

// errTooLarge is returned for a body above its limit.
var errTooLarge = errors.New("the body is above the limit")

// readMessage reads a body, keeping up to bufferedBytes of it in memory. A body
// above limit is an error; 0 means no limit.
func readMessage(body io.ReadCloser, length, limit int64) (*message, error) {
	if limit > 0 && length > limit {
		return nil, errTooLarge
	}
	if length == 0 || body == nil || body == http.NoBody {
		return &message{}, nil
	}
	if length > bufferedBytes {
		return &message{rest: body, length: length}, nil
	}
	var buffer bytes.Buffer
	if length > 0 {
		buffer.Grow(int(length) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(body, bufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if n > bufferedBytes {
		return &message{data: buffer.Bytes(), rest: limited(body, limit-n, limit > 0), length: -1}, nil
	}
	if limit > 0 && n > limit {
		return nil, errTooLarge
	}
	return &message{data: buffer.Bytes(), length: n}, nil
}

// limited makes a stream fail once it is longer than its limit.
func limited(body io.ReadCloser, left int64, on bool) io.ReadCloser {
	if !on {
		return body
	}
	return &limitedBody{ReadCloser: body, left: left}
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

// whole reports whether the body is in memory, so that it can be sent again.
func (m *message) whole() bool { return m.rest == nil }

// reader returns the body, nil if it is empty. Only a whole body can be read more
// than once.
func (m *message) reader() io.Reader {
	switch {
	case m.whole() && len(m.data) == 0:
		return nil
	case m.whole():
		return bytes.NewReader(m.data)
	case len(m.data) == 0:
		return m.rest
	default:
		return io.MultiReader(bytes.NewReader(m.data), m.rest)
	}
}

// close gives up the rest of a stream.
func (m *message) close() {
	if m != nil && m.rest != nil {
		_ = m.rest.Close() // an unread rest closes the connection
	}
}

// writeMessage writes an answer. A body that ends early aborts the connection, so
// that it never looks whole.
func writeMessage(w http.ResponseWriter, status int, body *message, method string) {
	if body == nil {
		body = &message{}
	}
	if body.length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified && method != http.MethodHead {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(body.length, 10)}
	}
	w.WriteHeader(status)
	reader := body.reader()
	if reader == nil {
		return
	}
	n, err := io.Copy(w, reader)
	if err != nil || body.length >= 0 && n != body.length {
		panic(http.ErrAbortHandler)
	}
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// passedOn returns the headers that are passed on: all but those of the connection
// and of the nodes themselves.
func passedOn(h http.Header) http.Header {
	kept := make(http.Header, len(h)+4)
	for name, values := range h {
		kept[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(kept, name)
	}
	delete(kept, headerHandover)
	delete(kept, headerResult)
	return kept
}
