package sidecar

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

// quarantined reports whether a request was rejected since it crashes targets.
func (f *crashFleet) quarantined(h *host, path string) bool {
	r := h.send(noKeepAliveClient, http.MethodGet, path, fatalBody)
	return r.NotRun() && strings.Contains(f.explain(r.ID).Conclusion(), "kept from targets")
}

// crashThrice sends the fatal request until three targets have crashed.
func (f *crashFleet) crashThrice(g *WithT) {
	g.Eventually(func() int {
		f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/fatal", fatalBody)
		return len(f.crashTimes())
	}, eventualTimeout, crashInterval).Should(Equal(3))
}

func TestAQuarantinedRequestIsAnsweredAtOnceAndExplained(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, defaultRoutes[:1])
	f.crashThrice(g)
	for _, h := range f.hosts {
		g.Eventually(func() bool { return f.quarantined(h, "/look/fatal") }, eventualTimeout, pollInterval).Should(BeTrue())
	}
	sent := time.Now()
	r := f.hosts[9].send(noKeepAliveClient, http.MethodGet, "/look/fatal", fatalBody)
	g.Expect(time.Since(sent)).To(BeNumerically("<", 500*time.Millisecond))
	history := f.awaitConclusion(g, r.ID, "kept from targets")
	t.Logf("\n%s", history.Text())
	g.Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
	seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">", 60), "the request is refused for minutes")
}

func TestOneAttemptCrashesAtMostTwoTargets(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, []route{{Prefix: "/look/", Kind: "safe", Service: "alpha"}})
	for range 200 {
		f.hosts[8].send(noKeepAliveClient, http.MethodGet, "/look/a", "") // earns retries
	}
	r := f.hosts[8].send(noKeepAliveClient, http.MethodGet, "/look/fatal", fatalBody)
	g.Expect(r.Status).To(Equal(http.StatusBadGateway), "the request may have run")
	g.Expect(len(f.crashTimes())).To(BeNumerically("<=", 2))
}

func TestANodeThatHasRestartedStillRefuses(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, defaultRoutes[:1])
	f.crashThrice(g)
	restarted := f.hosts[3]
	g.Expect(restarted.Kill()).To(Succeed())
	restarted.start()
	g.Eventually(restarted.ready, eventualTimeout, pollInterval).Should(BeTrue())
	for range 10 {
		restarted.send(noKeepAliveClient, http.MethodGet, "/look/fatal", fatalBody)
	}
	g.Expect(f.crashTimes()).To(HaveLen(3))
}

func TestCrashesAreKnownToAllWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, defaultRoutes[:1])
	f.Store.SetFault(standin.Unresponsive)
	for i := range 40 {
		f.hosts[i%10].send(noKeepAliveClient, http.MethodGet, "/look/fatal", fatalBody)
		time.Sleep(crashInterval)
	}
	f.Store.SetFault(standin.NoFault)
	f.awaitReady()
	g.Expect(f.lateRuns()).To(BeNumerically("<=", maxLateRuns))
	g.Expect(len(f.crashTimes())).To(BeNumerically("<=", 4))
}

func TestLostConnectionsAreNotCrashes(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes[:1], "alpha", "alpha", "beta")
	for _, h := range f.hosts {
		h.Worker.Drops = func(r standin.Run) bool { return r.Body == "dropped" }
	}
	const drops = 12
	for range drops {
		g.Expect(f.hosts[2].send(noKeepAliveClient, http.MethodGet, "/look/a", "dropped").Status).To(Equal(http.StatusBadGateway))
	}
	for _, h := range f.hosts {
		g.Expect(h.Log()).NotTo(ContainSubstring(`"event":2209`))
	}
}

func TestPlannedStopsWithRequestsUnderWayAreNotCrashes(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha"}}, "alpha", "beta")
	leaving := f.hosts[0]
	leaving.Worker.ServiceTime = eventualTimeout
	replies := make(chan reply, 1)
	go func() { replies <- f.hosts[1].send(noKeepAliveClient, http.MethodPost, "/file/slow", "") }()
	g.Eventually(func() int { return len(leaving.Worker.Runs()) }, eventualTimeout, pollInterval).Should(Equal(1))
	leaving.Publish("draining")
	time.Sleep(propagationLimit)
	g.Expect(leaving.StopWorker()).To(Succeed())
	g.Expect((<-replies).Status).To(Equal(http.StatusBadGateway))
	g.Consistently(leaving.Log, time.Second, pollInterval).ShouldNot(ContainSubstring(`"event":2209`))
}
