package auxserver

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// timeout bounds a request of the tests; it is shorter than the server's own limits.
const timeout = time.Second

// start serves a handler that answers at once, and returns the address.
func start(t *testing.T) string {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	go func() { _ = s.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })   // nothing depends on the result
	return listener.Addr().String()
}

// send sends text over a new connection, which stays open until the test ends.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status returns the status of the answer on a connection.
func status(g *WithT, conn net.Conn) int {
	g.Expect(conn.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

func TestRequestsAreAnsweredThoughOtherClientsHoldAllConnections(t *testing.T) {
	for name, text := range map[string]string{
		"idle":     "",
		"heads":    "GET / HTTP/1.1\r\n",
		"bodies":   "GET / HTTP/1.1\r\nHost: node\r\nContent-Length: 10\r\n\r\nbody",
		"answered": "GET / HTTP/1.1\r\nHost: node\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := start(t)
			for range 2 * maxConns {
				send(t, address, text)
			}
			g.Expect(status(g, send(t, address, "GET / HTTP/1.1\r\nHost: node\r\n\r\n"))).To(Equal(http.StatusNoContent))
		})
	}
}

func TestAGetRequestWithABodyIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	conn := send(t, start(t), "GET / HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n")
	g.Expect(status(g, conn)).To(Equal(http.StatusRequestEntityTooLarge))
}
