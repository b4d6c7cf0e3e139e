package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// endlessRequests is the number of requests at once that get answers without end.
	endlessRequests = 50
	// maxNodeMemory bounds the resident memory of a node meanwhile, in bytes: half of that
	// of the smallest host.
	maxNodeMemory = 90 << 20
)

// The target answers the request with an answer to another one, as if late.
func TestRequestWithoutIDGetsNoAnswerToAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "1s"}}, "alpha", "beta")
	f.hosts[0].Worker.NeverEnd("X-Request-Id: other\r\nContent-Length: 5\r\n\r\nother")
	r := f.hosts[1].SendWithID("", noKeepAliveClient, http.MethodPost, "/file/", "")
	g.Expect(r.Status).To(Equal(http.StatusBadGateway), "%s", r)
}

func TestAnswersWithoutEndAreGivenUpAndNeverASuccess(t *testing.T) {
	for name, text := range map[string]string{
		"head":                "X-More: 1\r\n",
		"body without length": "\r\n" + strings.Repeat("x", 4000),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			routes := []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha", Timeout: "1s"}}
			f := startFleet(t, routes, "alpha", "beta")
			f.hosts[0].Worker.NeverEnd(text)
			var all sync.WaitGroup
			replies := make(chan reply, endlessRequests)
			for range endlessRequests {
				all.Go(func() { replies <- f.hosts[1].send(noKeepAliveClient, http.MethodPost, "/file/", "") })
			}
			time.Sleep(500 * time.Millisecond)
			for _, h := range f.hosts {
				usage, err := h.Usage()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(usage.ResidentBytes).To(BeNumerically("<", uint64(maxNodeMemory)))
			}
			all.Wait()
			close(replies)
			for r := range replies {
				g.Expect(r).NotTo(Satisfy(reply.Succeeded))
				g.Expect(r.Err != nil || r.Status != http.StatusOK).To(BeTrue(), "%s", r)
			}
		})
	}
}
