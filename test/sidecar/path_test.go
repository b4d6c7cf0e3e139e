package sidecar

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

// traffic sends requests to hosts until it is stopped. Like real callers, it uses only
// ready nodes and keeps connections open.
type traffic struct {
	// unready is set if nodes that are not ready are used as well.
	unready bool

	mu      sync.Mutex
	replies []reply
	stop    chan struct{}
	done    sync.WaitGroup
}

// sendInterval is the time between two requests to one host.
const sendInterval = 10 * time.Millisecond

func (f *fleet) traffic(method, path string) *traffic {
	return f.trafficEvery(sendInterval, method, path)
}

// trafficEvery sends one request to each host per interval.
func (f *fleet) trafficEvery(interval time.Duration, method, path string) *traffic {
	tr := &traffic{stop: make(chan struct{})}
	for _, h := range f.hosts {
		tr.done.Go(func() { tr.run(h, interval, method, path) })
	}
	return tr
}

func (tr *traffic) run(h *host, interval time.Duration, method, path string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-tr.stop:
			return
		case <-ticker.C:
		}
		if !tr.unready && !h.ready() {
			continue
		}
		r := h.send(client, method, path, "body")
		tr.mu.Lock()
		tr.replies = append(tr.replies, r)
		tr.mu.Unlock()
	}
}

// end stops the traffic and returns the replies that the callers received.
func (tr *traffic) end() []reply {
	close(tr.stop)
	tr.done.Wait()
	return tr.replies
}

var defaultRoutes = []route{
	{Prefix: "/look/", Kind: "safe", Service: "alpha"},
	{Prefix: "/file/", Kind: "unsafe", Service: "beta"},
}

func TestEveryRequestReachesItsServiceAndRunsOnce(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	for _, h := range f.hosts {
		for range 5 {
			g.Expect(h.send(noKeepAliveClient, http.MethodGet, "/look/a?b=c%2Fd", "")).To(Satisfy(reply.Succeeded))
			g.Expect(h.send(noKeepAliveClient, http.MethodPost, "/file/x", "body")).To(Satisfy(reply.Succeeded))
		}
		g.Expect(h.send(noKeepAliveClient, http.MethodGet, "/none/", "").Status).To(Equal(http.StatusNotFound))
	}
	for _, h := range f.hosts {
		for _, r := range h.Worker.Runs() {
			g.Expect(r.CallerService).To(BeElementOf("alpha", "beta"))
			g.Expect(r.DeadlineMs).To(BeNumerically(">", 0))
			g.Expect(r.DeadlineMs).To(BeNumerically("<=", 4000))
			if h.Service == "alpha" {
				g.Expect(r.URI).To(Equal("/look/a?b=c%2Fd"))
			} else {
				g.Expect([]string{r.Method, r.URI, r.Body}).To(Equal([]string{http.MethodPost, "/file/x", "body"}))
			}
		}
	}
	for id, n := range runs([]*standin.Worker{f.hosts[0].Worker, f.hosts[1].Worker, f.hosts[2].Worker, f.hosts[3].Worker}) {
		g.Expect(n).To(Equal(1), "runs of %s", id)
	}
}

// A safe request fails at one worker and is then rejected by the other. The
// rejection must not be reported as "not run", since the request has run once.
func TestARejectionAfterARunIsNotReportedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes[:1], "alpha", "alpha")
	f.hosts[0].Worker.FailNext(1000)
	f.hosts[1].Worker.SetSlots(0)
	for range 5 {
		r := f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/a", "")
		if runs([]*standin.Worker{f.hosts[0].Worker})[r.ID] > 0 {
			g.Expect(r.Status).NotTo(Equal(http.StatusServiceUnavailable), "%s has run", r.ID)
		}
	}
	g.Expect(f.hosts[0].Worker.Runs()).NotTo(BeEmpty())
}

// A worker has been replaced at its address, but its old entry is still in the store. The
// entry looks idle and must not attract the requests of the other targets.
func TestAStaleEntryFailsAtMostOneRequest(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes[1:], "alpha", "beta", "beta")
	replaced := f.hosts[1]
	g.Expect(replaced.StopWorker()).To(Succeed())
	stale := replaced.Worker
	f.startWorker(replaced)
	replaced.Withdraw(replaced.Worker)
	rejections := 0
	for range 100 {
		if r := f.hosts[0].send(noKeepAliveClient, http.MethodPost, "/file/x", ""); !r.Succeeded() {
			rejections++
		}
	}
	g.Expect(rejections).To(BeNumerically("<=", 1), "the node detects the stale entry with the first request")
	g.Expect(stale.Runs()).To(BeEmpty())
}

// propagationLimit bounds the time from the publication of a change until it is in force on
// every node.
const propagationLimit = 2 * time.Second

func TestAChangeReachesEveryNodeInTime(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	f.configure(append(defaultRoutes, route{Prefix: "/new/", Kind: "safe", Service: "beta"})...)
	published := time.Now()
	for _, h := range f.hosts {
		g.Eventually(func() reply { return h.send(noKeepAliveClient, http.MethodGet, "/new/", "") }, propagationLimit, pollInterval).Should(Satisfy(reply.Succeeded))
	}
	g.Expect(time.Since(published)).To(BeNumerically("<", propagationLimit))
}

func TestWeightedDestinationsGetTheirShares(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, []route{{Prefix: "/split/", Kind: "safe", Weighted: map[string]int{"alpha": 80, "beta": 20}}}, "alpha", "beta")
	const requests = 100
	for i := range requests {
		g.Expect(f.hosts[i%2].send(noKeepAliveClient, http.MethodGet, "/split/", "")).To(Satisfy(reply.Succeeded))
	}
	share := float64(len(f.hosts[0].Worker.Runs())) / requests
	g.Expect(share).To(BeNumerically("~", 0.8, 0.1))
}

func TestReplacingAWorkerFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	tr := f.traffic(http.MethodPost, "/file/x")
	time.Sleep(time.Second)
	drained := f.hosts[2]
	previous := drained.Worker
	drained.Publish("draining")
	time.Sleep(propagationLimit)
	before := len(previous.Runs())
	g.Consistently(func() int { return len(previous.Runs()) }, time.Second, pollInterval).Should(Equal(before), "a draining worker must get no request")
	g.Expect(drained.StopWorker()).To(Succeed())
	drained.Withdraw(previous)
	f.startWorker(drained)
	g.Eventually(func() int { return len(drained.Worker.Runs()) }, eventualTimeout, pollInterval).Should(BeNumerically(">", 0))
	for _, r := range tr.end() {
		g.Expect(r).To(Satisfy(reply.Succeeded))
	}
}

func TestARollingRestartFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	workers := []*standin.Worker{f.hosts[2].Worker, f.hosts[3].Worker}
	tr := f.traffic(http.MethodPost, "/file/x")
	for _, h := range f.hosts {
		time.Sleep(300 * time.Millisecond)
		h.stop()
		h.start()
		g.Eventually(h.ready, eventualTimeout, pollInterval).Should(BeTrue())
	}
	replies := tr.end()
	count := runs(workers)
	for _, r := range replies {
		g.Expect(r).To(Satisfy(reply.Succeeded))
		g.Expect(count[r.ID]).To(Equal(1))
	}
}

func TestANodeRejectsRequestsUntilItReachesTheStore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, "alpha", "beta")
	f.Store.SetFault(standin.Unavailable)
	for _, h := range f.hosts {
		f.startWorker(h)
		h.start()
	}
	f.configure(defaultRoutes...)
	h := f.hosts[0]
	g.Eventually(func() int { return h.send(noKeepAliveClient, http.MethodGet, "/look/", "").Status }, eventualTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
	rejected := h.send(noKeepAliveClient, http.MethodGet, "/look/", "")
	g.Expect(rejected.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(h.ready()).To(BeFalse())
	f.Store.SetFault(standin.NoFault)
	f.awaitReady()
	g.Expect(h.send(noKeepAliveClient, http.MethodGet, "/look/", "")).To(Satisfy(reply.Succeeded))
}

func TestAnInvalidConfigurationIsRejectedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta")
	f.configure(route{Prefix: "/look/", Kind: "safe", Service: "beta"}, route{Prefix: "/bad/", Kind: "safe", Service: "nobody"})
	f.Store.Put("op/config", []byte("{"))
	time.Sleep(propagationLimit)
	for _, h := range f.hosts {
		g.Expect(h.send(noKeepAliveClient, http.MethodGet, "/look/", "")).To(Satisfy(reply.Succeeded))
	}
	g.Expect(f.hosts[1].Worker.Runs()).To(BeEmpty(), "no part of the invalid configuration may be in force")
	f.configure(route{Prefix: "/look/", Kind: "safe", Service: "beta"})
	g.Eventually(func() int {
		f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/", "")
		return len(f.hosts[1].Worker.Runs())
	}, eventualTimeout, pollInterval).Should(BeNumerically(">", 0))
}

func TestChangesArriveDespiteAnUnresponsiveOrCompactedStore(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta")
	f.Store.SetFault(standin.Unresponsive, f.hosts[0].IP().String(), f.hosts[1].IP().String())
	f.configure(append(defaultRoutes, route{Prefix: "/one/", Kind: "safe", Service: "beta"})...)
	for _, h := range f.hosts {
		g.Eventually(func() reply { return h.send(noKeepAliveClient, http.MethodGet, "/one/", "") }, eventualTimeout, pollInterval).Should(Satisfy(reply.Succeeded))
	}
	f.Store.SetFault(standin.NoFault)
	f.Store.Compact()
	f.configure(append(defaultRoutes, route{Prefix: "/two/", Kind: "safe", Service: "beta"})...)
	for _, h := range f.hosts {
		g.Eventually(func() reply { return h.send(noKeepAliveClient, http.MethodGet, "/two/", "") }, eventualTimeout, pollInterval).Should(Satisfy(reply.Succeeded))
	}
}

func TestFailedRunsAreRetriedOnlyWhereSafe(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, []route{
		{Prefix: "/look/", Kind: "safe", Service: "alpha"},
		{Prefix: "/file/", Kind: "unsafe", Service: "alpha"},
	}, "alpha", "alpha")
	for _, h := range f.hosts {
		h.Worker.FailNext(1)
	}
	g.Expect(f.hosts[0].send(noKeepAliveClient, http.MethodPost, "/file/x", "").Status).To(Equal(http.StatusInternalServerError))
	safe := f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/", "")
	g.Expect(safe.Status).To(BeElementOf(http.StatusOK, http.StatusInternalServerError))
	retried := f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/", "")
	g.Expect(retried).To(Satisfy(reply.Succeeded))
}

func TestConcurrencyNeverExceedsTheSlotsOfATarget(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta", "beta")
	var all sync.WaitGroup
	replies := make(chan reply, 200)
	for i := range cap(replies) {
		all.Add(1)
		go func() {
			defer all.Done()
			replies <- f.hosts[i%3].send(noKeepAliveClient, http.MethodPost, "/file/x", "")
		}()
	}
	all.Wait()
	close(replies)
	count := runs([]*standin.Worker{f.hosts[1].Worker, f.hosts[2].Worker})
	for r := range replies {
		if r.Status == http.StatusServiceUnavailable {
			g.Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(count[r.ID]).To(BeZero(), "a rejected request must not have run")
			continue
		}
		g.Expect(r).To(Satisfy(reply.Succeeded))
		g.Expect(count[r.ID]).To(Equal(1))
	}
	g.Expect(f.hosts[1].Worker.MaxRunning()).To(BeNumerically("<=", slots))
	g.Expect(f.hosts[2].Worker.MaxRunning()).To(BeNumerically("<=", slots))
}

func TestAKilledNodeRecovers(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		h.wait()
		h.start()
	}
	f.awaitReady()
	for _, h := range f.hosts {
		g.Expect(h.send(noKeepAliveClient, http.MethodPost, "/file/x", "body")).To(Satisfy(reply.Succeeded))
	}
}

func TestAHangupDoesNotEndADrainingNode(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta")
	h := f.hosts[0]
	tr := f.traffic(http.MethodPost, "/file/x")
	time.Sleep(300 * time.Millisecond)
	h.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	h.signal(syscall.SIGHUP)
	h.wait()
	for _, r := range tr.end() {
		g.Expect(r).To(Satisfy(reply.Succeeded))
	}
	g.Expect(h.Log()).To(ContainSubstring("node stopped"))
}

func TestANodeServesAfterAReloadOfItsSettings(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "beta")
	h := f.hosts[0]
	h.signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	g.Expect(h.send(noKeepAliveClient, http.MethodGet, "/look/", "")).To(Satisfy(reply.Succeeded))
}
