package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/connbudget"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxReadAhead bounds the requests of a connection that have been read and not
	// answered, whether they were begun or not.
	maxReadAhead = 32
	// maxAheadBytes bounds the memory of the requests of a connection that have been read and
	// not begun. Clients that send requests in a row send short heads.
	maxAheadBytes = 256 << 10
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
	// budget is charged for what the caller makes the connection hold; nil if there is none.
	budget *connbudget.Conn
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
	c := &conn{server: s, rwc: rwc, budget: connbudget.Of(rwc)}
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
		c.setReadDeadline(c.server.limits().IdleTimeout)
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
	limits := c.server.limits()
	memory := c.budget.NewReservation()
	c.setReadDeadline(limits.HeaderTimeout)
	r, err := c.readHead(limits.MaxHeaderBytes, memory)
	c.setReadDeadline(0)
	if err == nil {
		return newExchange(c, r, memory)
	}
	memory.Release()
	if status := errorStatus(err); status != 0 {
		return newErrorExchange(c, status)
	}
	c.abort()
	return nil
}

// readHead reads and checks the head of a request, for which it reserves memory.
func (c *conn) readHead(maxBytes int, memory *connbudget.Reservation) (*http.Request, error) {
	err := c.head.begin(c.reader, maxBytes, memory)
	if err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	head := c.head.end(c.reader)
	switch {
	case err != nil:
		return nil, err
	case len(head) > maxBytes:
		return nil, errHeadTooLong
	default:
		return r, validate(r, head)
	}
}
