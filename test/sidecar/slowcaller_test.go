package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against bodies that never end: they had no deadline.
func TestABodyThatStopsIsAnsweredAtItsDeadlineAndHasNotRun(t *testing.T) {
	for name, body := range map[string]string{
		"in chunks":       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"with its length": "Content-Length: 10\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := startFleet(t, []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "1s"}}, "alpha")
			conn, err := net.DialTimeout("tcp", f.hosts[0].Host.Host.CallAddress, eventualTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }() // the node closes it as well
			_, err = fmt.Fprintf(conn, "POST /file/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 300\r\n%s", authority, body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(eventualTimeout))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
			g.Expect(response.Close).To(BeTrue())
			g.Expect(f.hosts[0].Worker.Runs()).To(BeEmpty())
		})
	}
}
