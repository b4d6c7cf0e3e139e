package relay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/internal/loopback"
	. "github.com/onsi/gomega"
)

// echoServer starts a server that echoes what it reads, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

const relayPort = 7001

// newEchoRelay returns a relay in front of an echo server and the address of the relay.
func newEchoRelay(t *testing.T) (*Relay, string) {
	t.Helper()
	r := New()
	t.Cleanup(r.Close)
	ip, err := loopback.FreeHost(relayPort)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.AddrPortFrom(ip, relayPort).String()
	if err := r.Add("b", netip.MustParseAddr("127.0.0.9"), address, echoServer(t)); err != nil {
		t.Fatal(err)
	}
	return r, address
}

// expectEcho sends a text and expects to receive it.
func expectEcho(g *WithT, conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(text))
}

func dial(g *WithT, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// always returns a rule that applies a fault to all pairs.
func always(f Fault) Rule {
	return func(string, string) (Fault, time.Duration) { return f, 0 }
}

func TestRelayCutsOpenConnections(t *testing.T) {
	g := NewWithT(t)
	r, address := newEchoRelay(t)
	conn := dial(g, address)
	expectEcho(g, conn, "before")
	r.SetRule(always(Cut))
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
}

func TestRelayDeliversHeldDataAfterSilence(t *testing.T) {
	g := NewWithT(t)
	r, address := newEchoRelay(t)
	conn := dial(g, address)
	expectEcho(g, conn, "before")
	r.SetRule(always(Silence))
	_, err := conn.Write([]byte("held"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
	_, err = conn.Read(make([]byte, 4))
	g.Expect(err).To(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Time{})).To(Succeed())
	r.SetRule(always(Pass))
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal("held"))
}

func TestRelaySilencesOnlyOpenConnections(t *testing.T) {
	g := NewWithT(t)
	r, address := newEchoRelay(t)
	old := dial(g, address)
	expectEcho(g, old, "before")
	r.SetRule(always(SilenceOpen))
	expectEcho(g, dial(g, address), "new")
	_, err := old.Write([]byte("lost"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
	_, err = old.Read(make([]byte, 4))
	g.Expect(err).To(HaveOccurred())
}
