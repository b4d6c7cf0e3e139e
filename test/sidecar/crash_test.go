package sidecar

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

const (
	// stabilityWindow is the time after the third crash within which all nodes know of it, and
	// maxLateRuns the number of runs of the request that may start later.
	stabilityWindow = 3 * time.Second
	maxLateRuns     = 3
	// crashTraffic is how long a request that crashes targets is sent, every crashInterval.
	crashTraffic  = 14 * time.Second
	crashInterval = 250 * time.Millisecond
	// othersFrom is when the other requests begin.
	othersFrom = 7 * time.Second
	// fatalBody is the body of the requests that crash targets.
	fatalBody = "fatal"
)

// crashFleet is a fleet of ten hosts, eight of them with targets of the service alpha, which
// crash when they run a fatal request.
type crashFleet struct {
	*fleet
	supervisors []*sidecarfleet.Supervisor
}

func newCrashFleet(t *testing.T, routes []route) *crashFleet {
	t.Helper()
	services := append(slices.Repeat([]string{"alpha"}, 8), "beta", "beta")
	f := &crashFleet{fleet: newFleet(t, services...)}
	for _, h := range f.hosts {
		s, err := sidecarfleet.Supervise(h.Host, func(r standin.Run) bool { return r.Body == fatalBody && strings.HasSuffix(r.URI, "/fatal") })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		f.supervisors = append(f.supervisors, s)
	}
	f.configure(routes...)
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	return f
}

// crashTimes returns the times of all crashes so far, in order.
func (f *crashFleet) crashTimes() []time.Time {
	var times []time.Time
	for _, s := range f.supervisors {
		times = append(times, s.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lateRuns returns the number of fatal runs that began later than stabilityWindow after the
// third crash.
func (f *crashFleet) lateRuns() int {
	crashes := f.crashTimes()
	if len(crashes) < 3 {
		return 0
	}
	late := 0
	for _, s := range f.supervisors {
		for _, r := range s.Runs() {
			if r.Body == fatalBody && strings.HasSuffix(r.URI, "/fatal") && r.At.After(crashes[2].Add(stabilityWindow)) {
				late++
			}
		}
	}
	return late
}

// sendEvery sends a request to the given hosts in turn, one per interval, until the time ends.
// It does not wait for the answers before the next request is sent.
func sendEvery(interval, duration time.Duration, hosts []*host, method, path, body string) []reply {
	var mu sync.Mutex
	var replies []reply
	var pending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := range int(duration / interval) {
		<-ticker.C
		pending.Go(func() {
			r := hosts[i%len(hosts)].send(noKeepAliveClient, method, path, body)
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
		})
	}
	pending.Wait()
	return replies
}

// expectAllServed fails the test for each request that was not served.
func expectAllServed(g *WithT, replies []reply) {
	for _, r := range replies {
		g.Expect(r).To(Satisfy(reply.Succeeded))
	}
}

func TestARequestThatCrashesItsTargetsIsKeptFromThemOnAllHosts(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, defaultRoutes[:1])
	var background sync.WaitGroup
	var others []reply
	background.Go(func() {
		time.Sleep(othersFrom)
		others = sendEvery(crashInterval/16, crashTraffic-othersFrom, f.hosts, http.MethodGet, "/look/a", "")
	})
	sendEvery(crashInterval, crashTraffic, f.hosts[:8], http.MethodGet, "/look/fatal", fatalBody)
	background.Wait()
	t.Logf("%d crashes, %d late runs", len(f.crashTimes()), f.lateRuns())
	g.Expect(f.lateRuns()).To(BeNumerically("<=", maxLateRuns))
	expectAllServed(g, others)
}

func TestAPostThatCrashesItsTargetsIsKeptFromThem(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, []route{{Prefix: "/file/", Kind: "unsafe", Service: "alpha"}})
	var background sync.WaitGroup
	var others []reply
	background.Go(func() {
		time.Sleep(othersFrom)
		others = sendEvery(crashInterval, crashTraffic-othersFrom, f.hosts[:1], http.MethodPost, "/file/other", fatalBody)
	})
	sendEvery(crashInterval, crashTraffic, f.hosts[:1], http.MethodPost, "/file/fatal", fatalBody)
	background.Wait()
	t.Logf("%d crashes, %d late runs", len(f.crashTimes()), f.lateRuns())
	g.Expect(f.lateRuns()).To(BeNumerically("<=", maxLateRuns))
	expectAllServed(g, others)
}

func TestARequestThatEveryoneSendsIsServedAfterOutsideCrashes(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, defaultRoutes[:1])
	const (
		crashes       = 17
		crashGap      = 300 * time.Millisecond
		settlingTime  = 2 * time.Second
		servedFor     = 4 * time.Second
		popularGap    = 8 * time.Millisecond
		crashingPhase = crashes * crashGap
	)
	var background sync.WaitGroup
	background.Go(func() {
		for i := range crashes {
			time.Sleep(crashGap)
			f.supervisors[i%8].Crash()
		}
	})
	sendEvery(popularGap, crashingPhase+settlingTime, f.hosts, http.MethodGet, "/look/popular", "")
	background.Wait()
	expectAllServed(g, sendEvery(popularGap, servedFor, f.hosts, http.MethodGet, "/look/popular", ""))
}
