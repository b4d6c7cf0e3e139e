package connbudget

import (
	"errors"
	"net"
	"time"
)

// listener counts the connections that it has accepted.
type listener struct {
	net.Listener
	budget   *Budget
	maxConns int
	// conns and closed are guarded by the budget's mu.
	conns  int
	closed bool
}

// Listen returns a listener whose connections share the budget, and that keeps at most maxConns
// of them open. They are of type *Conn.
func (b *Budget) Listen(l net.Listener, maxConns int) net.Listener {
	return &listener{Listener: l, budget: b, maxConns: maxConns}
}

// Accept waits for a connection and until there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, listener: l, waits: 1, waitingSince: time.Now()}
	if !l.budget.add(c) {
		_ = raw.Close() // nobody uses it
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close closes the listener and ends a waiting Accept.
func (l *listener) Close() error {
	l.budget.closeListener(l)
	return l.Listener.Close()
}

// Conn is a connection that is charged for the memory that is held on its behalf. A new one
// counts as waiting for its other end. A nil *Conn is charged for nothing. Its methods are safe
// for concurrent use.
type Conn struct {
	net.Conn
	listener *listener

	// The following fields are guarded by the budget's mu. waits is the number of reasons for
	// which the connection waits for its other end, and waitingSince the start of the first.
	bytes        int64
	waits        int
	waitingSince time.Time

	head headTracker
}

// Of returns the budget's connection beneath a connection, nil if there is none.
func Of(conn net.Conn) *Conn {
	switch c := conn.(type) {
	case *Conn:
		return c
	case interface{ NetConn() net.Conn }: // such as tls.Conn
		return Of(c.NetConn())
	default:
		return nil
	}
}

// Wait counts the connection as waiting for its other end, until Resume is called as often. It
// may be closed meanwhile.
func (c *Conn) Wait() {
	if c != nil {
		c.listener.budget.wait(c)
	}
}

// Resume ends what Wait began.
func (c *Conn) Resume() {
	if c != nil {
		c.listener.budget.resume(c)
	}
}

// reserve charges the connection for bytes if there is room.
func (c *Conn) reserve(bytes int64) bool {
	if c == nil {
		return true
	}
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.makeRoom(c, bytes) {
		b.refused++
		return false
	}
	b.charge(c, bytes)
	return true
}

// charge charges the connection for bytes even if there is no room.
func (c *Conn) charge(bytes int64) {
	if c == nil {
		return
	}
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeRoom(c, bytes) // otherwise less remains for others
	b.charge(c, bytes)
}

// Close closes the connection and ends its charges.
func (c *Conn) Close() error {
	b := c.listener.budget
	b.mu.Lock()
	b.remove(c)
	b.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, if the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as in
// net.TCPConn, if the connection can.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Interface guards.
var (
	_ net.Listener = (*listener)(nil)
	_ net.Conn     = (*Conn)(nil)
)
