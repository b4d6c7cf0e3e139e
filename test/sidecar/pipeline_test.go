package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// pipelinedLimit bounds the time of five requests in a row that take 100 ms each.
const pipelinedLimit = 250 * time.Millisecond

func TestRequestsInARowRunSideBySide(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta")
	for _, h := range f.hosts {
		h.Worker.ServiceTime = 100 * time.Millisecond
	}
	conn, err := net.Dial("tcp", f.hosts[0].Host.Host.CallAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }() // nothing depends on the result
	// The first request opens the connections to the targets.
	g.Expect(pipeline(g, conn, 1)).To(Equal(1))
	started := time.Now()
	g.Expect(pipeline(g, conn, 5)).To(Equal(5))
	g.Expect(time.Since(started)).To(BeNumerically("<", pipelinedLimit))
}

// pipeline sends n requests at once and returns the number of those that were answered in order
// and with success.
func pipeline(g *WithT, conn net.Conn, n int) int {
	var ids []string
	var text strings.Builder
	for range n {
		id := sidecarfleet.NewRequestID()
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET /look/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", authority, id)
	}
	_, err := io.WriteString(conn, text.String())
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	answered := 0
	for _, id := range ids {
		_ = conn.SetReadDeadline(time.Now().Add(eventualTimeout)) // the connection is open
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		if response.StatusCode == http.StatusOK && string(body) == "answer to "+id {
			answered++
		}
	}
	return answered
}

// Guards against answers that are complete and are dropped, with their connection, since they have
// waited too long for an earlier request of it.
func TestAnswersThatWaitForALongRequestOfTheirConnectionAreDelivered(t *testing.T) {
	const (
		longRun     = 7 * time.Second // longer than the timeout of the other route and the time to write
		answerBytes = 20_000          // more than is buffered
		behind      = 3
	)
	g := NewWithT(t)
	routes := []route{
		{Prefix: "/long/", Kind: "safe", Service: "alpha", Timeout: "10s"},
		{Prefix: "/look/", Kind: "safe", Service: "beta", Timeout: "1s"},
	}
	f := startFleet(t, routes, "alpha", "beta")
	f.hosts[0].Worker.ServiceTime = longRun
	f.hosts[1].Worker.SetAnswerBytes(answerBytes)
	for _, h := range f.hosts {
		conn, err := net.Dial("tcp", h.Host.Host.CallAddress)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }() // nothing depends on the result
		for i, path := range append([]string{"/long/a"}, slices.Repeat([]string{"/look/a"}, behind)...) {
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r-%d\r\nX-Deadline-Ms: 15000\r\n\r\n", path, authority, i)
			g.Expect(err).NotTo(HaveOccurred())
		}
		reader := bufio.NewReader(conn)
		for i := range behind + 1 {
			_ = conn.SetReadDeadline(time.Now().Add(eventualTimeout)) // the connection is open
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred(), "answer %d", i)
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred(), "answer %d", i)
			g.Expect(response.StatusCode).To(Equal(http.StatusOK), "answer %d", i)
			g.Expect(response.Header.Get("X-Request-Id")).To(Equal(fmt.Sprintf("r-%d", i)))
			g.Expect(i == 0 || len(body) == answerBytes).To(BeTrue(), "answer %d has %d bytes", i, len(body))
		}
	}
}
