// Package resetconn tells the reset of a TCP connection from its end.
//
// The kernel reports a reset once, to whichever of a read and a write comes first. If a write has
// taken the report, a read returns io.EOF, as if the other end had closed the connection after all
// of its data. A response that ends with its connection would then look complete.
package resetconn

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose reads fail with syscall.ECONNRESET, not with io.EOF, after a reset.
type Conn struct {
	net.Conn
	// writing is the number of writes that are under way, and failed is set once a write has
	// failed.
	writing atomic.Int32
	failed  atomic.Bool
}

// New returns a connection that reads from and writes to conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// wasReset reports whether a connection whose end has been read was reset. If the system does not tell
// the state of the connection, a write that has failed or is under way counts as a reset.
func (c *Conn) wasReset() bool {
	if state, ok := tcpState(c.Conn); ok {
		return state == unix.BPF_TCP_CLOSE
	}
	return c.failed.Load() || c.writing.Load() > 0
}

// tcpState returns the state of a TCP connection, as numbered by the kernel.
func tcpState(conn net.Conn) (state uint8, ok bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	ok = false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		if err == nil && info.State != 0 {
			state, ok = info.State, true
		}
	})
	return state, ok && err == nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}

// Interface guards.
var (
	_ net.Conn     = (*Conn)(nil)
	_ syscall.Conn = (*Conn)(nil)
)
