package sidecar

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// pressOn starts callers of a host that send requests whether its node is ready or not.
func (h *host) pressOn(callers int, method, path string) *traffic {
	tr := &traffic{stop: make(chan struct{}), unready: true}
	for range callers {
		tr.done.Go(func() { tr.run(h, sendInterval, method, path) })
	}
	return tr
}

// Guards against a draining node that takes requests which it has no time to finish: the requests
// of callers beside the targets of one service only look like calls that these targets make.
func TestADrainingNodeCutsOffNoRequestOfCallersBesideOneService(t *testing.T) {
	const callers = 6
	g := NewWithT(t)
	routes := []route{{Prefix: "/look/", Kind: "safe", Service: "beta"}, {Prefix: "/file/", Kind: "unsafe", Service: "beta"}}
	f := startFleet(t, routes, "alpha", "alpha", "alpha", "beta", "beta")
	workers := []*standin.Worker{f.hosts[3].Worker, f.hosts[4].Worker}
	for _, w := range workers {
		w.ServiceTime = 400 * time.Millisecond
	}
	lookups := f.trafficEvery(100*time.Millisecond, http.MethodGet, "/look/x")
	orders := []*traffic{f.hosts[0].pressOn(callers, http.MethodPost, "/file/x"), f.hosts[1].pressOn(2, http.MethodPost, "/file/x")}
	time.Sleep(5 * time.Second)
	f.hosts[0].signal(syscall.SIGTERM)
	f.hosts[0].wait()
	replies := append(orders[0].end(), orders[1].end()...)
	lookups.end()
	count := runs(workers)
	for _, r := range replies {
		g.Expect(r.Err != nil && count[r.ID] > 0).To(BeFalse(), "%s has run and was not answered", r)
	}
}

// Guards against a draining node that fails the requests which its own target still runs, since it
// rejects the calls that they make.
func TestADrainingNodeServesTheCallsOfRequestsThatItsTargetStillRuns(t *testing.T) {
	const (
		runTime  = 2500 * time.Millisecond // longer than the linger time
		callTime = 2 * time.Second
	)
	g := NewWithT(t)
	routes := []route{
		{Prefix: "/look/", Kind: "safe", Service: "alpha"},
		{Prefix: "/view/", Kind: "safe", Service: "beta"},
		{Prefix: "/index/", Kind: "safe", Service: "beta"},
	}
	f := startFleet(t, routes, "alpha", "beta", "beta")
	call := func() reply {
		return f.hosts[0].SendRequest(noKeepAliveClient, sidecarfleet.Request{
			ID: sidecarfleet.NewRequestID(), Method: http.MethodGet, Path: "/index/x", Timeout: 500 * time.Millisecond,
		})
	}
	views := f.trafficEvery(20*time.Millisecond, http.MethodGet, "/view/x")
	for range 100 {
		g.Expect(call()).To(Satisfy(reply.Succeeded))
	}
	views.end()
	target := f.hosts[0].Worker
	target.ServiceTime = runTime
	calls := make(chan reply, 1)
	target.OnRun = func(standin.Run) { time.AfterFunc(callTime, func() { calls <- call() }) }
	parent := make(chan reply, 1)
	go func() { parent <- f.hosts[1].send(noKeepAliveClient, http.MethodGet, "/look/x", "") }()
	g.Eventually(target.Runs, eventualTimeout, pollInterval).Should(HaveLen(1))
	f.hosts[0].signal(syscall.SIGTERM)
	g.Expect(<-calls).To(Satisfy(reply.Succeeded))
	g.Expect(<-parent).To(Satisfy(reply.Succeeded))
	f.hosts[0].wait()
}
