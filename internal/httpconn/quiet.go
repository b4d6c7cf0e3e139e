package httpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether the other end has neither closed an unused connection nor
// sent anything on it.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // only sockets can be asked without waiting
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
