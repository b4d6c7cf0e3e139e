package sidecar

import (
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

// Ten of sixty requests lose their first connection, after 400 requests that did not. That is less
// than the fifth of the requests that may be retried.
func TestRequestsThatLoseTheirFirstConnectionAreRetried(t *testing.T) {
	const (
		before, requests = 400, 60
		lostEvery        = 6
		servedAtLeast    = 59
	)
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes[:1], "alpha", "alpha", "alpha", "alpha", "beta")
	var seen sync.Map
	for _, h := range f.hosts {
		h.Worker.Drops = func(r standin.Run) bool {
			_, again := seen.LoadOrStore(r.ID, true)
			return r.Body == "lost" && !again
		}
	}
	for i := range before {
		f.hosts[i%len(f.hosts)].send(noKeepAliveClient, http.MethodGet, "/look/a", "")
	}
	served, lost := 0, 0
	for i := range requests {
		body := ""
		if i%lostEvery == 0 {
			body = "lost"
			lost++
		}
		if r := f.hosts[i%len(f.hosts)].send(noKeepAliveClient, http.MethodGet, "/look/a", body); r.Succeeded() {
			served++
		}
	}
	t.Logf("%d of %d served, %d lost their first connection", served, requests, lost)
	g.Expect(served).To(BeNumerically(">=", servedAtLeast))
}
