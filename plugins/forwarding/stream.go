package forwarding

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// copyBufferBytes is the size of the buffer for one streamed body.
const copyBufferBytes = 32 << 10

// serverBufferBytes is a body length up to which net/http always buffers the whole
// body until the handler returns, so that writing it cannot block.
const serverBufferBytes = 2 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// streamBody copies a body to w. Bodies of unknown length are flushed after each
// read, so that chunks are forwarded as they arrive. If the recipient stops reading,
// the copy fails at the deadline.
func streamBody(w http.ResponseWriter, body io.Reader, length int64, deadline time.Time) error {
	if length >= 0 && length <= serverBufferBytes {
		return copyBody(w, body, length)
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(deadline) // fails on writers without deadlines, which have other limits
	err := copyBody(w, body, length)
	if err == nil {
		_ = control.SetWriteDeadline(time.Time{}) // as above
	}
	return err
}

func copyBody(w http.ResponseWriter, body io.Reader, length int64) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	var flush func() error
	if length < 0 {
		flush = http.NewResponseController(w).Flush
	}
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if werr := writeChunk(w, (*buffer)[:n], flush); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func writeChunk(w io.Writer, chunk []byte, flush func() error) error {
	if _, err := w.Write(chunk); err != nil {
		return errors.Wrap(err, "write body")
	}
	if flush == nil {
		return nil
	}
	return flush()
}

// allowEarlyAnswer lets a response be written while the body of the request is still sent on. Otherwise
// net/http discards what is left of the body first, and takes pieces of it away.
func allowEarlyAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/2 always is, and does not support it
}

// errTooLarge is returned when a body is longer than the limit.
var errTooLarge = errors.New("body is longer than the limit")

// requestBody is the body of a caller's request. Its prefix is buffered in memory,
// so that the body can be sent again as long as nothing after the prefix was read.
type requestBody struct {
	prefix []byte
	// rest is the unbuffered part, nil if the prefix is the whole body.
	rest io.Reader
	// length is the total length in bytes, -1 if unknown.
	length int64
	// limit is the number of bytes that may still be read from rest.
	limit int64
	// restReader is the only reader that may read rest.
	restReader atomic.Pointer[bodyReader]
}

// readBody buffers up to prefixBytes bytes of a body. It returns errTooLarge if the
// declared length exceeds limit.
func readBody(body io.Reader, length int64, prefixBytes int, limit int64) (*requestBody, error) {
	if length == 0 || body == nil || body == http.NoBody {
		return &requestBody{}, nil
	}
	if length > limit {
		return nil, errTooLarge
	}
	size := int64(prefixBytes)
	if length < 0 {
		size++ // detects whether the body ends here
	} else {
		size = min(size, length)
	}
	prefix, err := io.ReadAll(io.LimitReader(body, size))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	switch read := int64(len(prefix)); {
	case read == length, length < 0 && read < size:
		return &requestBody{prefix: prefix, length: read}, nil
	case read < size:
		return nil, io.ErrUnexpectedEOF
	}
	return &requestBody{prefix: prefix, rest: body, length: length, limit: limit - int64(len(prefix))}, nil
}

// replayable reports whether the whole body can still be sent.
func (b *requestBody) replayable() bool {
	return b.rest == nil || b.restReader.Load() == nil
}

// open returns a reader of the whole body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	return &bodyReader{body: b}
}

// bodyReader reads a body for one attempt. Only the first reader that reads beyond
// the prefix may do so.
type bodyReader struct {
	body   *requestBody
	offset int
}

// errBodyConsumed is returned to an attempt if another one has read beyond the
// prefix.
var errBodyConsumed = errors.New("body was read by an earlier attempt")

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.offset < len(r.body.prefix) {
		n := copy(p, r.body.prefix[r.offset:])
		r.offset += n
		return n, nil
	}
	if r.body.rest == nil {
		return 0, io.EOF
	}
	return r.readRest(p)
}

func (r *bodyReader) readRest(p []byte) (int, error) {
	if !r.body.restReader.CompareAndSwap(nil, r) && r.body.restReader.Load() != r {
		return 0, errBodyConsumed
	}
	if r.body.limit <= 0 {
		return r.probeEnd()
	}
	if int64(len(p)) > r.body.limit {
		p = p[:r.body.limit]
	}
	n, err := r.body.rest.Read(p)
	r.body.limit -= int64(n)
	return n, err
}

// probeEnd returns errTooLarge if the body continues beyond the limit.
func (r *bodyReader) probeEnd() (int, error) {
	var one [1]byte
	n, err := r.body.rest.Read(one[:])
	if n > 0 {
		return 0, errTooLarge
	}
	return 0, err
}

// Close implements io.Closer. The underlying body is closed by the server.
func (r *bodyReader) Close() error {
	return nil
}
