package httpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// idleAndOpen reports whether the server has neither closed an idle connection nor sent
// data on it.
func idleAndOpen(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // only sockets support a non-blocking check
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = err == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
