package memnet

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	link        *link
	in, out     *stream
	outPipeline *pipeline
	local       address
	remote      address
	closeOnce   sync.Once
	closed      chan struct{}
}

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (a address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return c.in.read(p)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if err := c.out.reserve(len(p)); err != nil {
		return 0, err
	}
	c.outPipeline.send(append([]byte(nil), p...))
	return len(p), nil
}

// Close ends the stream to the peer after the data that was written, and makes reads and
// the peer's writes fail.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.outPipeline.close()
		c.in.fail(io.ErrClosedPipe)
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.readDeadline.set(t)
	c.out.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.writeDeadline.set(t)
	return nil
}

// link is a connection between two hosts. Its source is the host that dialled.
type link struct {
	network             *Network
	source, destination string
	// forward carries data from the source to the destination, reverse the other way.
	forward, reverse *pipeline
	// silenced is set permanently by relay.SilenceOpen. The network's mutex guards it.
	silenced bool
	// firstSegment is the data of the first write on forward.
	firstSegment []byte
}

// reset makes both directions fail with ECONNRESET.
func (l *link) reset() {
	for _, p := range []*pipeline{l.forward, l.reverse} {
		p.stream.fail(syscall.ECONNRESET)
	}
}

// pipeline delivers data to a stream with the delay and faults of the network.
type pipeline struct {
	link   *link
	stream *stream

	mu    sync.Mutex
	queue [][]byte
	// ended is set when the writer has closed its end.
	ended bool
	// running is set while a goroutine delivers the queue.
	running bool
}

// send queues data for delivery.
func (p *pipeline) send(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = append(p.queue, data)
	p.start()
}

// close ends the stream after the queued data.
func (p *pipeline) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.start()
}

// start starts delivery unless it is already running. The caller holds mu.
func (p *pipeline) start() {
	if p.running {
		return
	}
	p.running = true
	p.link.network.startDelivery(p)
}

// next removes the data of the first write from the queue and returns it. If the queue is
// empty, it returns false and marks the pipeline as idle.
func (p *pipeline) next() (data []byte, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.running = false
		if p.ended {
			p.stream.end()
		}
		return nil, false
	}
	data = p.queue[0]
	p.queue = p.queue[1:]
	return data, true
}

// Interface guards.
var _ net.Conn = (*conn)(nil)
