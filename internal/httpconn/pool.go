// Package httpconn sends HTTP/1.1 requests over pooled persistent connections. Unlike
// http.Transport it never resends a request on its own, reports whether a failed request
// may have reached the server, and discards responses to other requests.
package httpconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/responsehead"
	"github.com/pkg/errors"
)

// bufferBytes is the size of a connection's read buffer and of its write buffer.
const bufferBytes = 4 << 10

// DialFunc connects to the server.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	dial    DialFunc
	maxIdle int

	mu sync.Mutex
	// idleTimeout is the time after which an idle connection is closed. It is shorter
	// than the server's own idle timeout.
	idleTimeout time.Duration
	// idle is a stack, so that surplus connections remain unused and expire.
	idle   []*conn
	closed bool
	// sweeping is set while the timer for the next call of sweep runs.
	sweeping bool
}

// conn is a connection and its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// headLimit bounds what reader reads of a head.
	headLimit *headLimiter
	// carried remembers the requests that were sent on the connection.
	carried carriedIDs
	// idleSince is the time at which the last exchange ended, which is also the last
	// time at which the server was known to respond on this connection.
	idleSince time.Time
}

// NewPool returns a pool that keeps up to maxIdle idle connections, each for at most
// idleTimeout.
func NewPool(dial DialFunc, maxIdle int, idleTimeout time.Duration) *Pool {
	return &Pool{dial: dial, maxIdle: maxIdle, idleTimeout: idleTimeout}
}

// acquire returns an idle connection that the request may use and that passes its probe, or else a
// new connection.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.pop(r)
		if c == nil {
			break
		}
		if !idleAndOpen(c) {
			_ = c.Close() // the server closed it or sent unsolicited data
			continue
		}
		if r.Probe.passes(ctx, c) {
			return c, nil
		}
		_ = c.Close()
		p.DropIdle() // the other idle connections are likely to be unresponsive too
		break
	}
	return p.connect(ctx)
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	raw, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	limit := &headLimiter{Reader: raw}
	return &conn{
		Conn:      raw,
		reader:    bufio.NewReaderSize(limit, bufferBytes),
		writer:    bufio.NewWriterSize(raw, bufferBytes),
		headLimit: limit,
	}, nil
}

// readFinal returns the next final response; it discards interim (1xx) responses. method is
// that of the request. A malformed response is an error, and so is a switch of protocols, which no
// request asks for.
func (c *conn) readFinal(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	defer c.headLimit.end()
	if err := c.headLimit.begin(buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(response); err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Wrap(responsehead.ErrMalformed, "switch of protocols")
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// Connect opens a connection and adds it to the idle connections.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// pop removes and returns the most recently used idle connection that a request may use, nil if
// there is none. It closes the connections that have exceeded the idle timeout.
func (p *Pool) pop(r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(time.Now())
	for i, c := range slices.Backward(p.idle) {
		if r.mayUse(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// closeExpired closes the connections that have exceeded the idle timeout, which are at
// the bottom of the stack. The caller holds mu.
func (p *Pool) closeExpired(now time.Time) {
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].idleSince) >= p.idleTimeout {
		_ = p.idle[expired].Close()
		expired++
	}
	if expired > 0 {
		p.idle = append(p.idle[:0], p.idle[expired:]...)
	}
}

// put adds a connection to the idle connections, or closes it if there are maxIdle
// already.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if p.closed || len(p.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.scheduleSweep(p.idleTimeout)
}

// scheduleSweep runs sweep after delay, so that idle connections expire even while the
// pool is unused. The caller holds mu.
func (p *Pool) scheduleSweep(delay time.Duration) {
	if p.sweeping {
		return
	}
	p.sweeping = true
	time.AfterFunc(delay, p.sweep)
}

// sweep closes expired connections and schedules itself for the next expiry.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	now := time.Now()
	p.closeExpired(now)
	if len(p.idle) > 0 {
		p.scheduleSweep(p.idleTimeout - now.Sub(p.idle[0].idleSince))
	}
}

// SetIdleTimeout changes the time after which idle connections are closed.
func (p *Pool) SetIdleTimeout(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout = d
}

// DropIdle closes all idle connections.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Close closes all idle connections. Connections in use are closed when their exchange
// ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.DropIdle()
}
