package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

const (
	// stalledReaders is the number of callers that stop reading a large answer, and
	// largeAnswer the length of each, in bytes.
	stalledReaders = 60
	largeAnswer    = 16 << 20
	// downloadTimeout is the time limit of the route.
	downloadTimeout = 3 * time.Second
)

// Callers that stop reading large answers take little memory of a node; those without a slot are
// rejected. At the deadline the answers are cut, and none looks complete.
func TestLargeAnswersThatAreNotReadAreCutAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	routes := []route{{Prefix: "/get/", Kind: "download", Service: "alpha", Timeout: downloadTimeout.String()}}
	f := startFleet(t, routes, "alpha", "alpha", "beta")
	for _, h := range f.hosts {
		h.Worker.SetAnswerBytes(largeAnswer)
	}
	var conns []net.Conn
	for range stalledReaders {
		conn, err := net.Dial("tcp", f.hosts[2].Host.Host.CallAddress)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }() // nothing depends on the result
		_, err = fmt.Fprintf(conn, "GET /get/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n", authority, sidecarfleet.NewRequestID())
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	time.Sleep(downloadTimeout / 2)
	for _, h := range f.hosts {
		usage, err := h.Usage()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(usage.ResidentBytes).To(BeNumerically("<", uint64(maxNodeMemory)))
	}
	time.Sleep(downloadTimeout)
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(eventualTimeout)) // the connection is open
		n, err := io.Copy(io.Discard, conn)
		var timeout net.Error
		g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "the node closes the connection")
		g.Expect(n).To(BeNumerically("<", int64(largeAnswer)))
	}
	f.hosts[0].Worker.SetAnswerBytes(0)
	f.hosts[1].Worker.SetAnswerBytes(0)
	g.Expect(f.hosts[2].send(noKeepAliveClient, http.MethodGet, "/get/a", "")).To(Satisfy(reply.Succeeded), "the slots are free again")
}
