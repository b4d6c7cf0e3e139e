package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxReadAhead bounds the requests of a connection that have been read and not
	// answered, whether they were begun or not.
	maxReadAhead = 32
	// lingerTimeout is how long a connection with unread bytes stays open for reading
	// after the last response. Closing it at once would reset it, and the caller might
	// lose that response.
	lingerTimeout = 500 * time.Millisecond
)

// conn is a connection. One goroutine reads requests, and one for each request that was begun
// runs the handler.
type conn struct {
	server *Server
	rwc    net.Conn
	head   headReader
	reader *bufio.Reader
	// ctx ends when the connection is lost or closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when an exchange or its body ends, and when the connection is
	// lost.
	changed sync.Cond
	// exchanges holds the requests that have been read and not been answered, in order.
	exchanges []*exchange
	// awaiting is set while the reader waits for the first byte of a request.
	awaiting bool
	// closing is set once no further request is begun: the connection is closed after the
	// last one that was.
	closing bool
	// finished is set once the last response has been written, and lost once the connection
	// can't be used any more.
	finished bool
	lost     bool
}

func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{server: s, rwc: rwc}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.changed.L = &c.mu
	c.head.source = rwc
	c.reader = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.abort()
	for c.awaitRequest() {
		e := c.readExchange()
		if e == nil {
			return
		}
		c.enqueue(e)
		if !c.awaitNext(e) {
			break
		}
	}
	c.discardRest()
}

// awaitRequest waits for the first byte of a request. It returns false if the connection is
// lost or closing.
func (c *conn) awaitRequest() bool {
	c.mu.Lock()
	if c.closing || c.lost {
		c.mu.Unlock()
		return false
	}
	c.awaiting = true
	c.armIdleTimeout()
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	if err != nil {
		c.closeLocked()
		return false
	}
	return !c.closing && !c.lost
}

// armIdleTimeout sets the read deadline while the reader waits for a request: there is one
// only if no request is being handled. The caller holds mu.
func (c *conn) armIdleTimeout() {
	switch {
	case !c.awaiting || c.lost || c.finished:
	case len(c.exchanges) > 0:
		c.setReadDeadline(0)
	default:
		c.setReadDeadline(c.server.options.IdleTimeout)
	}
}

// setReadDeadline sets the read deadline to a time from now, or to none if it is 0.
func (c *conn) setReadDeadline(after time.Duration) {
	var deadline time.Time
	if after > 0 {
		deadline = time.Now().Add(after)
	}
	_ = c.rwc.SetReadDeadline(deadline) // a closed connection fails the next read anyway
}

// readExchange reads the head of a request. It returns nil if the connection is lost, and an
// exchange that responds with an error if the request is invalid.
func (c *conn) readExchange() *exchange {
	c.setReadDeadline(c.server.options.HeaderTimeout)
	c.head.begin(c.reader, c.server.options.MaxHeaderBytes)
	r, err := http.ReadRequest(c.reader)
	head := c.head.end(c.reader)
	c.setReadDeadline(0)
	if err == nil {
		err = validate(r, head)
	}
	if err == nil {
		return newExchange(c, r)
	}
	if status := errorStatus(err); status != 0 {
		return newErrorExchange(c, status)
	}
	c.abort()
	return nil
}

// enqueue adds an exchange and begins it if possible.
func (c *conn) enqueue(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, e)
	c.schedule()
}

// awaitNext waits until the request after e can be read. It returns false if e is the last
// request of the connection.
func (c *conn) awaitNext(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.lost && !c.closing && (!e.bodyDone || len(c.exchanges) >= maxReadAhead) {
		c.changed.Wait()
	}
	return !c.lost && !c.closing && !e.last
}

// discardRest reads until the connection ends, so that the handlers learn when the caller
// leaves, and closes it once the last response has been written.
func (c *conn) discardRest() {
	c.mu.Lock()
	for c.bodyInUse() && !c.lost {
		c.changed.Wait()
	}
	if c.finished {
		c.setReadDeadline(lingerTimeout)
	} else {
		c.setReadDeadline(0)
	}
	c.mu.Unlock()
	buffer := make([]byte, 1<<10)
	for {
		// A handler that has ended may have left a goroutine that reads the body.
		if _, err := c.rwc.Read(buffer); err != nil {
			return
		}
	}
}

// bodyInUse reports whether a handler may be reading a request's body. The caller holds mu.
func (c *conn) bodyInUse() bool {
	for _, e := range c.exchanges {
		if e.begun && !e.bodyDone {
			return true
		}
	}
	return false
}

// schedule begins the requests that may be: the first one, and those behind it as long as all
// up to them are concurrent. The caller holds mu.
func (c *conn) schedule() {
	if c.closing || c.lost {
		return
	}
	for i, e := range c.exchanges {
		if i > 0 && !(e.concurrent && c.exchanges[i-1].concurrent && i < c.server.options.MaxConcurrentPerConn) {
			return
		}
		if e.begun {
			continue
		}
		if i > 0 && !c.server.acquireAhead() {
			return
		}
		e.begun, e.ahead = true, i > 0
		go e.run()
	}
}

// awaitTurn waits until all earlier requests have been answered. It returns false if the
// connection is lost.
func (c *conn) awaitTurn(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.lost && c.exchanges[0] != e {
		c.changed.Wait()
	}
	return !c.lost
}

// decideClose decides whether the connection is closed after the response to e, which is about
// to be written. If the response asks for it, no further request is begun, and the connection
// is closed after the last one that was.
func (c *conn) decideClose(e *exchange, requested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || requested || e.last
	isLastBegun := len(c.exchanges) == 1 || !c.exchanges[1].begun
	e.closesConn = c.closing && isLastBegun
	if c.closing {
		c.changed.Broadcast()
	}
	return e.closesConn
}

// endExchange removes an exchange whose response has been written, the first one, and begins
// the next.
func (c *conn) endExchange(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.bodyDone = true
	c.releaseAhead(e)
	if len(c.exchanges) > 0 && c.exchanges[0] == e {
		c.exchanges[0] = nil
		c.exchanges = c.exchanges[1:]
	}
	if len(c.exchanges) > 0 {
		c.releaseAhead(c.exchanges[0]) // none is before it any more
	}
	noneBegun := len(c.exchanges) == 0 || !c.exchanges[0].begun
	if e.closesConn || c.closing && noneBegun {
		c.finish()
	}
	c.schedule()
	c.armIdleTimeout()
	c.changed.Broadcast()
}

// releaseAhead ends the count of an exchange as one that is ahead of others. The caller holds
// mu.
func (c *conn) releaseAhead(e *exchange) {
	if e.ahead {
		e.ahead = false
		c.server.releaseAhead()
	}
}

// endBody records that the body of a request has been read.
func (c *conn) endBody(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.bodyDone = true
	c.changed.Broadcast()
}

// finish closes the writing side after the last response. The reader closes the connection
// once the caller has done so too, or after lingerTimeout. The caller holds mu.
func (c *conn) finish() {
	c.closing, c.finished = true, true
	closer, ok := c.rwc.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		_ = c.rwc.Close() // ends the reader
		return
	}
	c.setReadDeadline(lingerTimeout)
}

// shutDown closes the connection after the requests that were begun, at once if there is none.
func (c *conn) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if len(c.exchanges) == 0 || !c.exchanges[0].begun {
		c.closeLocked()
	}
	c.changed.Broadcast()
}

// abort closes the connection, whatever the state of its requests.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection and cancels its requests. The caller holds mu.
func (c *conn) closeLocked() {
	if c.lost {
		return
	}
	c.lost, c.closing = true, true
	c.cancel()
	_ = c.rwc.Close() // it may have been closed already
	c.changed.Broadcast()
}
