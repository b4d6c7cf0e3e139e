package sidecar

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// exitTime stops the host's node with SIGTERM and returns how long it took to end.
func (h *host) exitTime() time.Duration {
	start := time.Now()
	h.signal(syscall.SIGTERM)
	h.wait()
	return time.Since(start)
}

// dial opens a connection to the host's node and writes the beginning of a request.
func (h *host) dial(g *WithT, beginning string) net.Conn {
	conn, err := net.Dial("tcp", h.Host.Host.CallAddress)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, beginning)
	g.Expect(err).NotTo(HaveOccurred())
	h.t.Cleanup(func() { _ = conn.Close() }) // the node has closed it
	return conn
}

func TestPlannedStopEndsWithinGraceWhateverOthersDo(t *testing.T) {
	routes := []route{{Prefix: "/look/", Kind: "safe", Service: "alpha", Timeout: "60s"}}
	const requestHead = "POST /look/ HTTP/1.1\r\nHost: " + authority + "\r\nX-Request-Id: r\r\nX-Deadline-Ms: 60000\r\n"
	for name, disturb := range map[string]func(g *WithT, f *fleet){
		"caller stalls in its body": func(g *WithT, f *fleet) {
			f.hosts[0].dial(g, requestHead+"Content-Length: 10\r\n\r\nabc")
		},
		"caller stalls in its head": func(g *WithT, f *fleet) {
			f.hosts[0].dial(g, requestHead)
		},
		"target does not answer": func(g *WithT, f *fleet) {
			f.hosts[0].Worker.ServiceTime = time.Minute
			f.hosts[0].dial(g, requestHead+"Content-Length: 0\r\n\r\n")
		},
		"store does not answer": func(_ *WithT, f *fleet) {
			f.Store.SetFault(standin.Unresponsive)
		},
		"peers do not answer": func(_ *WithT, f *fleet) {
			f.hosts[1].signal(syscall.SIGSTOP)
			go f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/", "")
			f.t.Cleanup(func() { f.hosts[1].signal(syscall.SIGCONT) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := startFleet(t, routes, "alpha", "alpha")
			disturb(g, f)
			time.Sleep(300 * time.Millisecond)
			took := f.hosts[0].exitTime()
			t.Logf("%s: %s", name, took.Round(time.Millisecond))
			g.Expect(took).To(BeNumerically("<", sidecarfleet.Grace))
		})
	}
}
