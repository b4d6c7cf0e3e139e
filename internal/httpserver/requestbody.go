package httpserver

import (
	"io"
	"sync"
)

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
	b.exchange.conn.budget.Wait()
	n, err := b.source.Read(p)
	b.exchange.conn.budget.Resume()
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
