package sidecar

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

const (
	// evacuationBound is the time from the store's confirmation of an evacuation after which
	// no worker of the failure domain gets a request.
	evacuationBound = 5 * time.Second
	// warmup and coldRate are those of the workers' services. coldBound is the number of
	// requests that a cold worker gets in any second at most.
	warmup    = 3 * time.Second
	coldRate  = 6.0
	coldBound = coldRate*1.5 + 8
	evacuated = "domain-0"
)

var evacuationRoutes = []route{{Prefix: "/a/", Kind: "safe", Service: "alpha"}}

// startColdFleet starts hosts with workers that tolerate few requests while they are cold.
func startColdFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleetWith(t, sidecarfleet.Options{
		Services: []string{"alpha", "alpha", "alpha", "alpha", "alpha", "alpha"},
		Warmup:   warmup, ColdRate: coldRate,
	})
	f.startAll(evacuationRoutes)
	return f
}

// arrivalsBetween returns the number of requests that reached a worker in a time.
func arrivalsBetween(w *standin.Worker, from, to time.Time) int {
	n := 0
	for _, at := range w.Arrivals() {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// maxPerSecond returns the largest number of requests that reached a worker within a second that
// lies in a time.
func maxPerSecond(w *standin.Worker, from, to time.Time) int {
	most := 0
	for _, at := range w.Arrivals() {
		if !at.Before(from) && at.Before(to) {
			most = max(most, arrivalsBetween(w, at, earlier(at.Add(time.Second), to)))
		}
	}
	return most
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// callers sends requests from all hosts until it is stopped, as fast as they are answered by
// several callers on each.
type callers struct {
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	replies []reply
}

const callersPerHost = 6

func (f *fleet) startCallers() *callers {
	c := &callers{stop: make(chan struct{})}
	for _, h := range f.hosts {
		for range callersPerHost {
			c.group.Go(func() { c.run(h) })
		}
	}
	return c
}

func (c *callers) run(h *host) {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		r := h.send(noKeepAliveClient, http.MethodGet, "/a/x", "")
		c.mu.Lock()
		c.replies = append(c.replies, r)
		c.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// end stops the callers and returns the replies that are neither served nor refused as not run.
func (c *callers) end() (replies int, failed []reply) {
	close(c.stop)
	c.group.Wait()
	for _, r := range c.replies {
		if r.Err == nil && !r.Succeeded() && !r.NotRun() {
			failed = append(failed, r)
		}
	}
	return len(c.replies), failed
}

func TestEvacuatedDomainGetsNoRequestsAndComesBackCold(t *testing.T) {
	g := NewWithT(t)
	f := startColdFleet(t)
	time.Sleep(warmup) // the nodes know that the workers are warm
	load := f.startCallers()
	f.Store.SetFault(standin.Unavailable, f.hosts[1].IP().String())
	requested := time.Now()
	f.Evacuate(evacuated)
	time.Sleep(evacuationBound / 2)
	f.hosts[2].signal(syscall.SIGKILL)
	f.hosts[2].wait()
	f.hosts[2].start()
	time.Sleep(evacuationBound/2 + 3*time.Second)
	ended := time.Now()
	for _, h := range f.hosts {
		if h.Domain == evacuated {
			h.Worker.SetCold(warmup)
		}
	}
	f.EndEvacuation(evacuated)
	time.Sleep(warmup + 4*time.Second)
	replies, failed := load.end()
	g.Expect(failed).To(BeEmpty())
	g.Expect(replies).To(BeNumerically(">", 500))
	for _, h := range f.hosts {
		if h.Domain != evacuated {
			g.Expect(arrivalsBetween(h.Worker, requested.Add(evacuationBound), ended)).To(BeNumerically(">", 20), "the others serve")
			continue
		}
		g.Expect(arrivalsBetween(h.Worker, requested.Add(evacuationBound), ended)).To(BeZero())
		g.Expect(maxPerSecond(h.Worker, ended, ended.Add(warmup))).To(BeNumerically("<=", coldBound))
		g.Expect(arrivalsBetween(h.Worker, ended, time.Now())).To(BeNumerically(">", 10), "it is used again")
	}
}

func TestRequestsAreRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	g := NewWithT(t)
	f := startColdFleet(t)
	for _, domain := range []string{"domain-0", "domain-1", "domain-2", "nowhere"} {
		f.Evacuate(domain)
	}
	for _, h := range f.hosts {
		g.Eventually(func() bool {
			return h.send(noKeepAliveClient, http.MethodGet, "/a/x", "").NotRun()
		}, evacuationBound, pollInterval).Should(BeTrue())
		sent := time.Now()
		r := h.send(noKeepAliveClient, http.MethodGet, "/a/x", "")
		g.Expect(r.NotRun()).To(BeTrue(), "%s", r)
		g.Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
		g.Expect(h.ready()).To(BeTrue(), "its callers stay with it")
	}
	f.EndEvacuation("domain-1")
	for _, h := range f.hosts {
		g.Eventually(func() bool {
			return h.send(noKeepAliveClient, http.MethodGet, "/a/x", "").Succeeded()
		}, eventualTimeout, pollInterval).Should(BeTrue())
	}
}

func TestWorkerThatStartsAgainUnderItsIDIsColdBeforeTheStoreSaysSo(t *testing.T) {
	g := NewWithT(t)
	f := startColdFleet(t)
	time.Sleep(warmup)
	h := f.hosts[0]
	load := f.startCallers()
	time.Sleep(time.Second)
	first := h.Worker
	g.Expect(h.StopWorker()).To(Succeed())
	again := &standin.Worker{ID: first.ID, Service: first.Service, Slots: first.Slots, ServiceTime: first.ServiceTime}
	again.SetCold(warmup)
	restarted := time.Now()
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		time.Sleep(time.Second) // the entry of the first start still stands
		h.PublishAgain("ready")
	}()
	g.Expect(h.ServeUnlisted(again)).To(Succeed())
	<-listed
	time.Sleep(warmup + 4*time.Second)
	load.end()
	g.Expect(maxPerSecond(again, restarted, restarted.Add(warmup))).To(BeNumerically("<=", coldBound))
	g.Expect(again.Arrivals()).NotTo(BeEmpty(), "it is used again")
}

// Nothing is sent to the worker between its crash and its return, so that only the crash tells that
// it has started again. Guards against a node that forgets it.
func TestWorkerThatCrashesUnderARequestIsColdWhenItIsBack(t *testing.T) {
	g := NewWithT(t)
	f := startColdFleet(t)
	time.Sleep(warmup)
	h := f.hosts[0]
	for _, other := range f.hosts[1:] {
		other.Worker.SetSlots(0) // all requests go to the first one in the end
	}
	first := h.Worker
	first.Drops = func(standin.Run) bool {
		go func() { _ = h.StopWorker() }() // the listener is closed before the connection ends
		time.Sleep(50 * time.Millisecond)
		return true
	}
	g.Eventually(func() string {
		h.send(noKeepAliveClient, http.MethodGet, "/a/fatal", "")
		return h.Log()
	}, eventualTimeout, pollInterval).Should(ContainSubstring("target crashed"))
	again := &standin.Worker{ID: first.ID, Service: first.Service, Slots: first.Slots, ServiceTime: first.ServiceTime}
	again.SetCold(warmup)
	restarted := time.Now()
	g.Expect(h.ServeUnlisted(again)).To(Succeed())
	load := f.startCallers()
	time.Sleep(warmup)
	load.end()
	g.Expect(maxPerSecond(again, restarted, restarted.Add(warmup))).To(BeNumerically("<=", coldBound))
	g.Expect(again.Arrivals()).NotTo(BeEmpty(), "it is used again")
}
