package distribution

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// writeTimeout bounds the write of one message.
	writeTimeout = 5 * time.Second
	// frameOverheadBytes is added to the read limits for the encoding around the
	// payload of a push.
	frameOverheadBytes = 1 << 10
)

// byteCounter counts the bytes of one connection and adds them to the totals of
// the node.
type byteCounter struct {
	sent, received atomic.Uint64
	metrics        *metrics
}

func (c *byteCounter) addSent(n int) {
	c.sent.Add(uint64(n))
	c.metrics.bytesSent.Add(int64(n))
}

func (c *byteCounter) addReceived(n int) {
	c.received.Add(uint64(n))
	c.metrics.bytesReceived.Add(int64(n))
}

// countedConn is a connection whose traffic is counted.
type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.addReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.addSent(n)
	return n, err
}

// countedWriter counts the traffic of the connection once it is hijacked.
type countedWriter struct {
	http.ResponseWriter
	counter *byteCounter
}

// Hijack implements http.Hijacker.
func (w *countedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	hijacker, ok := w.ResponseWriter.(http.Hijacker)
	if !ok {
		return nil, nil, errors.New("the response writer does not support hijacking")
	}
	conn, buffers, err := hijacker.Hijack()
	if err != nil {
		return nil, nil, err
	}
	counted := &countedConn{Conn: conn, counter: w.counter}
	buffers.Writer.Reset(counted)
	return counted, buffers, nil
}

// session is the WebSocket connection behind a link. One goroutine reads from
// it and another writes the queued messages.
type session struct {
	id      linkID
	ws      *websocket.Conn
	counter *byteCounter
	inbound bool
	// queue holds encoded messages. When it is full the oldest is dropped; the
	// next heartbeat lets the peer detect and request what it missed.
	queue  *kernel.Ring[[]byte]
	ctx    context.Context
	cancel context.CancelFunc
	// closing is set once the queue ends with a goodbye.
	closing   atomic.Bool
	closeOnce sync.Once
}

func newSession(ctx context.Context, id linkID, ws *websocket.Conn, counter *byteCounter, queueLength int) *session {
	ctx, cancel := context.WithCancel(ctx)
	return &session{
		id:      id,
		ws:      ws,
		counter: counter,
		queue:   kernel.NewRing[[]byte](queueLength, kernel.DropOldest),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// writeLoop sends queued messages until the queue is closed or a write fails.
// It then closes the connection.
func (s *session) writeLoop() {
	defer s.closeNow()
	for {
		data, err := s.queue.Get(s.ctx)
		if err != nil {
			return
		}
		if err := s.writeMessage(data); err != nil {
			return
		}
	}
}

func (s *session) writeMessage(data []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	return s.ws.Write(ctx, websocket.MessageBinary, data)
}

// readMessage returns the next message and its encoded form.
func (s *session) readMessage(ctx context.Context) (wire.Message, []byte, error) {
	_, data, err := s.ws.Read(ctx)
	if err != nil {
		return nil, nil, err
	}
	m, err := wire.Decode(data)
	return m, data, err
}

// allowLarge sets the read limit to that of a requested document, or to that of
// unsolicited messages.
func (s *session) allowLarge(allow bool) {
	limit := int64(wire.MaxEagerBytes)
	if allow {
		limit = wire.MaxPushBytes
	}
	s.ws.SetReadLimit(limit + frameOverheadBytes)
}

// closeAfter sends goodbye after the messages in the queue, then closes the
// connection.
func (s *session) closeAfter(goodbye *wire.Goodbye) {
	data, err := wire.Encode(goodbye)
	if err == nil {
		_ = s.queue.Put(s.ctx, data) // fails only if the queue is already closed
	}
	s.closing.Store(true)
	s.queue.Close()
}

// closeNow closes the connection without sending the queued messages.
func (s *session) closeNow() {
	s.closeOnce.Do(func() {
		s.queue.Close()
		s.cancel()
		_ = s.ws.CloseNow() // the connection is discarded either way
	})
}
