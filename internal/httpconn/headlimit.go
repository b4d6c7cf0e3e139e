package httpconn

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the head of a response, together with the interim responses before it.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong is returned when the head of a response exceeds maxHeadBytes.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// headLimiter is a reader that bounds and scans what is read while a head is read. Bytes of a body
// that are buffered along with its head count as well, up to the size of the buffer.
type headLimiter struct {
	io.Reader
	limited   bool
	remaining int
	scanner   headScanner
}

// begin starts to bound and scan what is read. buffered has been read already.
func (l *headLimiter) begin(buffered []byte) error {
	l.limited, l.remaining = true, maxHeadBytes+bufferBytes
	l.scanner = headScanner{}
	return l.scanner.scan(buffered)
}

// end removes the bound.
func (l *headLimiter) end() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if malformed := l.scanner.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
