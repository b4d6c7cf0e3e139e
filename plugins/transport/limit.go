package transport

import (
	"errors"
	"net"
	"sync"
)

// limitedListener limits the number of open connections that it has accepted. Further
// connections wait in the listen queue of the operating system.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// limitListener returns a listener that keeps at most limit connections open.
func limitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: l,
		slots:    make(chan struct{}, limit),
		done:     make(chan struct{}),
	}
}

// Accept waits for a free slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close closes the listener and ends a waiting Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn is a connection that frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// CloseWrite closes the writing side, if the connection can.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as in
// net.TCPConn, if the connection can.
func (c *limitedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
