package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/requestlog"
)

// explain returns the history of a request, reconstructed from the logs of all nodes.
func (f *fleet) explain(id string) *requestlog.History {
	f.t.Helper()
	reader := requestlog.NewReader(id, nil)
	for _, h := range f.hosts {
		if err := reader.Read(string(h.Host.Host.ID), strings.NewReader(h.Log())); err != nil {
			f.t.Fatal(err)
		}
	}
	return reader.History()
}

// awaitConclusion waits until the conclusion drawn from the logs contains want, and returns
// the history.
func (f *fleet) awaitConclusion(g *WithT, id, want string) *requestlog.History {
	f.t.Helper()
	g.Eventually(func() string { return f.explain(id).Conclusion() }, eventualTimeout, pollInterval).Should(ContainSubstring(want))
	return f.explain(id)
}

func TestARejectionByOverloadIsExplained(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, "alpha", "beta")
	for _, h := range f.hosts {
		f.startWorker(h)
		h.Worker.ServiceTime = 400 * time.Millisecond
	}
	f.configure(defaultRoutes...)
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	var all sync.WaitGroup
	replies := make(chan reply, 60)
	for range cap(replies) {
		all.Add(1)
		go func() {
			defer all.Done()
			replies <- f.hosts[0].send(noKeepAliveClient, http.MethodPost, "/file/x", "")
		}()
	}
	all.Wait()
	close(replies)
	rejected := 0
	for r := range replies {
		if r.Status != http.StatusServiceUnavailable {
			continue
		}
		if rejected++; rejected == 1 {
			h := f.awaitConclusion(g, r.ID, "refused by overload")
			t.Logf("\n%s", h.Text())
		}
	}
	g.Expect(rejected).To(BeNumerically(">", 0))
}

func TestARequestLostToATerminatedWorkerIsExplained(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta")
	target := f.hosts[1]
	target.Worker.ServiceTime = 2 * time.Second
	replies := make(chan reply)
	go func() { replies <- f.hosts[0].send(noKeepAliveClient, http.MethodPost, "/file/x", "") }()
	g.Eventually(func() int { return len(target.Worker.Runs()) }, eventualTimeout, pollInterval).Should(Equal(1))
	g.Expect(target.StopWorker()).To(Succeed())
	r := <-replies
	g.Expect(r.Status).To(Equal(http.StatusBadGateway))
	h := f.awaitConclusion(g, r.ID, "The target ended")
	t.Logf("\n%s", h.Text())
	// Nodes write their log lines in batches, so the lines of the target's node may appear later.
	g.Eventually(func() []string { return hostsOf(f.explain(r.ID)) }, eventualTimeout, pollInterval).
		Should(Equal([]string{"h0", "h1", "h0"}), "the attempt, its result on the target side, the end of the request")
}

// hostsOf returns the host of each line of h, in the order of the lines.
func hostsOf(h *requestlog.History) []string {
	var hosts []string
	for _, l := range h.Lines {
		hosts = append(hosts, l.Host)
	}
	return hosts
}

func TestARequestUnderAnOlderConfigurationIsExplained(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta")
	f.hosts[1].Worker.ServiceTime = time.Second
	replies := make(chan reply)
	go func() { replies <- f.hosts[0].send(noKeepAliveClient, http.MethodPost, "/file/x", "") }()
	g.Eventually(func() int { return len(f.hosts[1].Worker.Runs()) }, eventualTimeout, pollInterval).Should(Equal(1))
	older := f.version
	f.configure(route{Prefix: "/file/", Kind: "unsafe", Service: "alpha"})
	g.Eventually(func() bool {
		return strings.Count(f.hosts[0].Log(), "configuration is in force") == 2
	}, eventualTimeout, pollInterval).Should(BeTrue())
	r := <-replies
	g.Expect(r).To(Satisfy(reply.Succeeded))
	// Only a sample of successful requests is logged; this one is logged because it was slow.
	// The target's node had applied the new configuration before the request ended.
	// Each node writes its log lines in batches, so those of one node may appear first.
	h := f.awaitConclusion(g, r.ID, "ran and was answered with 200")
	t.Logf("\n%s", h.Text())
	g.Eventually(func() string { return f.explain(r.ID).Conclusion() }, eventualTimeout, pollInterval).
		Should(And(ContainSubstring("ran and was answered with 200"), ContainSubstring("acted on revision")))
	g.Expect(h.Lines[len(h.Lines)-1].Configuration).To(Equal(uint64(older)))
}

func TestARequestWithoutARouteIsExplained(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta")
	r := f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/none/x?token=secret", "")
	g.Expect(r.Status).To(Equal(http.StatusNotFound))
	h := f.awaitConclusion(g, r.ID, "No route of configuration 3")
	t.Logf("\n%s", h.Text())
	g.Expect(h.Text()).NotTo(ContainSubstring("secret"), "queries are not logged")
}
