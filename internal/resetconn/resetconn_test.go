package resetconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const eventualTimeout = 10 * time.Second

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (local *Conn, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing depends on the result
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = raw.Close()
		_ = accepted.Close() // the test may have closed them
	})
	return New(raw), accepted.(*net.TCPConn)
}

// writeUntilError writes until a write takes the report of the reset.
func writeUntilError(c *Conn) error {
	for {
		if _, err := c.Write(make([]byte, 1<<16)); err != nil {
			return err
		}
	}
}

// hidden is a connection that does not tell its state.
type hidden struct{ net.Conn }

func TestAReadFailsAfterAResetThatAWriteHasBeenToldOf(t *testing.T) {
	for name, wrap := range map[string]func(*Conn) *Conn{
		"by the state of the connection": func(c *Conn) *Conn { return c },
		"by the failed write":            func(c *Conn) *Conn { return New(hidden{c.Conn}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			local, remote := pair(t)
			local = wrap(local)
			written := make(chan error, 1)
			go func() { written <- writeUntilError(local) }()
			_, err := remote.Write([]byte("part"))
			g.Expect(err).NotTo(HaveOccurred())
			data := make([]byte, 4)
			_, err = io.ReadFull(local, data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(remote.SetLinger(0)).To(Succeed())
			g.Expect(remote.Close()).To(Succeed())
			g.Eventually(written, eventualTimeout).Should(Receive(HaveOccurred()))
			_, err = local.Read(data)
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	}
}

func TestTheEndOfAConnectionIsNoReset(t *testing.T) {
	for name, wrap := range map[string]func(*Conn) *Conn{
		"with its state":    func(c *Conn) *Conn { return c },
		"without its state": func(c *Conn) *Conn { return New(hidden{c.Conn}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			local, remote := pair(t)
			local = wrap(local)
			_, err := local.Write([]byte("request"))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(remote, make([]byte, len("request")))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = remote.Write([]byte("answer"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(remote.Close()).To(Succeed())
			answer, err := io.ReadAll(local)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(answer)).To(Equal("answer"))
		})
	}
}

// The other end has sent all and goes on reading.
func TestAHalfClosedConnectionIsNoResetWhileAWriteIsUnderWay(t *testing.T) {
	g := NewWithT(t)
	local, remote := pair(t)
	go func() { _ = writeUntilError(local) }() // blocks, since nobody reads
	_, err := remote.Write([]byte("answer"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(remote.CloseWrite()).To(Succeed())
	answer, err := io.ReadAll(local)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(Equal("answer"))
}
