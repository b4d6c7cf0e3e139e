package sidecar

import (
	"bytes"
	"io"
	"net/http"

	"github.com/bronzemast/bronzemast/internal/quarantine"
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

// errNoMemory is returned for a body for which there is no memory.
var errNoMemory = errors.New("no memory is left for the body")

const (
	// unknownLengthBuffer is the size of the first buffer for a body of unknown length, and
	// requestBuffer the largest first buffer for the body of a request, in bytes: callers may
	// declare a length and send nothing.
	unknownLengthBuffer = 4 << 10
	requestBuffer       = 16 << 10
)

// readBody reads a body and buffers up to maxBufferedBytes of it; a longer one is streamed.
func readBody(body io.ReadCloser, limits bodyLimits) (*messageBody, error) {
	length := limits.length
	if limits.max > 0 && length > limits.max {
		return nil, errBodyTooLarge
	}
	if length == 0 || body == nil || body == http.NoBody {
		return &messageBody{}, nil
	}
	if length > maxBufferedBytes {
		return readPrefix(body, limits)
	}
	data, err := readBuffered(body, limits)
	if err != nil {
		return nil, err
	}
	n := int64(len(data))
	if n > maxBufferedBytes {
		return &messageBody{data: data, rest: limitBody(body, limits.max-n, limits.max > 0), length: -1}, nil
	}
	if limits.max > 0 && n > limits.max {
		return nil, errBodyTooLarge
	}
	return &messageBody{data: data, length: n}, nil
}

// readBuffered reads a body until its end, or until it has more than maxBufferedBytes. The buffer
// grows with what arrives.
func readBuffered(body io.Reader, limits bodyLimits) ([]byte, error) {
	const maxBytes = maxBufferedBytes + 1 // shows that the body does not end
	var data []byte
	for len(data) < maxBytes {
		if len(data) == cap(data) {
			size := min(max(2*cap(data), limits.firstBuffer), maxBytes)
			if !limits.reserve(int64(size - cap(data))) {
				return nil, errNoMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// readPrefix reads the beginning of a body that is to be streamed.
func readPrefix(body io.ReadCloser, limits bodyLimits) (*messageBody, error) {
	if !limits.reserve(streamPrefixBytes) {
		return nil, errNoMemory
	}
	prefix := make([]byte, streamPrefixBytes)
	if _, err := io.ReadFull(body, prefix); err != nil {
		return nil, err
	}
	return &messageBody{data: prefix, rest: body, length: limits.length}, nil
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
