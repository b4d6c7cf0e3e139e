package sidecar

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

// restoredBound is the time within which a change is in force on all nodes after the store
// has come back: the settling of the store and the bound of a change.
const restoredBound = 5 * time.Second

// restoreStore makes the store unavailable for a moment and lets it come back from a copy as
// of a revision.
func (f *fleet) restoreStore(revision uint64) {
	f.Store.SetFault(standin.Unavailable)
	time.Sleep(time.Second)
	f.Store.Restore(revision)
	f.Store.SetFault(standin.NoFault)
}

// newRoute returns the n-th route that a test adds.
func newRoute(n int) route {
	return route{Prefix: fmt.Sprintf("/new%d/", n), Kind: "safe", Service: "alpha"}
}

// configureRoutes publishes a configuration with the default routes and the first n new ones.
func (f *fleet) configureRoutes(n int) {
	routes := defaultRoutes
	for i := range n {
		routes = append(routes, newRoute(i+1))
	}
	f.configure(routes...)
}

// servesRoute reports whether all nodes serve the n-th new route.
func (f *fleet) servesRoute(n int) func() bool {
	return func() bool {
		for _, h := range f.hosts {
			if !h.send(noKeepAliveClient, http.MethodGet, newRoute(n).Prefix, "").Succeeded() {
				return false
			}
		}
		return true
	}
}

func TestNextConfigurationIsInForceAfterTheStoreCameBackOlder(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta", "alpha", "beta")
	old := f.Store.Revision()
	f.configureRoutes(1)
	f.configureRoutes(2)
	g.Eventually(f.servesRoute(2), restoredBound, pollInterval).Should(BeTrue())
	for n := 3; n < 6; n++ {
		f.restoreStore(old)
		f.configureRoutes(n)
		g.Eventually(f.servesRoute(n), restoredBound, pollInterval).Should(BeTrue(), "after restore %d", n-2)
	}
}

func TestConfigurationNeverGoesBackWithTheStore(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	old := f.Store.Revision()
	f.configureRoutes(1)
	g.Eventually(f.servesRoute(1), restoredBound, pollInterval).Should(BeTrue())
	f.restoreStore(old)
	g.Consistently(f.servesRoute(1), 3*time.Second, pollInterval).Should(BeTrue())
	f.version -= 3
	f.configureRoutes(1) // the operator writes it again
	g.Consistently(f.servesRoute(1), time.Second, pollInterval).Should(BeTrue())
	f.configureRoutes(2)
	g.Eventually(f.servesRoute(2), restoredBound, pollInterval).Should(BeTrue())
}

func TestTargetsThatTheStoreLostAreUsedUntilTheyAreWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	old := f.Store.Revision()
	g.Expect(f.hosts[0].StopWorker()).To(Succeed())
	f.hosts[0].Withdraw(f.hosts[0].Worker)
	f.startWorker(f.hosts[0])
	g.Eventually(func() int {
		f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/", "")
		return len(f.hosts[0].Worker.Runs())
	}, restoredBound, pollInterval).Should(BeNumerically(">", 0), "the new worker is used")
	load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
	f.restoreStore(old)
	time.Sleep(time.Second)
	f.hosts[0].PublishAgain("ready")
	time.Sleep(2 * time.Second)
	for _, r := range load.end() {
		g.Expect(r).To(Satisfy(reply.Succeeded))
	}
	before := len(f.hosts[0].Worker.Runs())
	g.Eventually(func() int {
		f.hosts[0].send(noKeepAliveClient, http.MethodGet, "/look/", "")
		return len(f.hosts[0].Worker.Runs())
	}, restoredBound, pollInterval).Should(BeNumerically(">", before))
}

func TestTargetThatLeftIsNotBroughtBackByAnOlderStore(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		t.Run(fmt.Sprintf("withdrawn %v", withdrawn), func(t *testing.T) {
			g := NewWithT(t)
			f := startFleet(t, limitRoutes, "alpha", "alpha", "alpha", "beta")
			old := f.Store.Revision()
			left := f.hosts[0]
			left.PublishAgain("draining")
			if withdrawn {
				left.Withdraw(left.Worker)
			}
			time.Sleep(leavingBound)
			load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
			runs := len(left.Worker.Runs())
			f.restoreStore(old)
			time.Sleep(4 * time.Second)
			load.end()
			g.Expect(len(left.Worker.Runs())).To(Equal(runs))
		})
	}
}

func TestNodesThatStartDuringARestoreFollowTheNewEra(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, defaultRoutes, "alpha", "alpha", "beta", "beta")
	old := f.Store.Revision()
	f.configureRoutes(1)
	g.Eventually(f.servesRoute(1), restoredBound, pollInterval).Should(BeTrue())
	f.hosts[3].signal(syscall.SIGKILL)
	f.hosts[3].wait()
	f.Store.SetFault(standin.Unavailable, f.hosts[1].IP().String(), f.hosts[2].IP().String())
	f.Store.Restore(old)
	f.hosts[3].start()
	f.configureRoutes(2)
	g.Eventually(f.servesRoute(2), 2*restoredBound, pollInterval).Should(BeTrue(), "two hosts hear of the new era from others")
}
