package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/platform/standin"
)

const (
	// limitWindow is the window in which the users count the requests to a limited worker,
	// and limitSettling the time from the first naming of a limit until it must hold.
	limitWindow   = 4 * time.Second
	limitSettling = 3 * time.Second
	// leavingBound is the time after a worker's first answer that says that it leaves, after
	// which it must get no more requests.
	leavingBound = 2 * time.Second
	// namedLimit is the limit that workers name, in requests per second.
	namedLimit = 4.6
	// slowSendInterval is the time between two requests to one host: with six hosts, 60
	// requests per second in all.
	slowSendInterval = 100 * time.Millisecond
)

var limitRoutes = []route{{Prefix: "/look/", Kind: "safe", Service: "alpha"}}

// allowed returns the number of requests that a worker with a limit may get in limitWindow.
func allowed(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds()) + 5
}

// mostInWindow returns the largest number of times within limitWindow, from a time on.
func mostInWindow(times []time.Time, from time.Time) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) > limitWindow || times[first].Before(from) && first < last {
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// startLimitFleet starts six hosts with three workers of the service alpha.
func startLimitFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleet(t, limitRoutes, "alpha", "alpha", "alpha", "beta", "beta", "beta")
}

func TestTargetGetsNoMoreThanTheLimitItNames(t *testing.T) {
	for _, limited := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d of 3", limited), func(t *testing.T) {
			g := NewWithT(t)
			f := startLimitFleet(t)
			named := time.Now()
			for _, h := range f.hosts[:limited] {
				h.Worker.SetLimit(strconv.FormatFloat(namedLimit, 'f', -1, 64))
			}
			load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
			time.Sleep(limitSettling + limitWindow + time.Second)
			replies := load.end()
			for _, h := range f.hosts[:limited] {
				g.Expect(mostInWindow(h.Worker.Arrivals(), named.Add(limitSettling))).To(BeNumerically("<=", allowed(namedLimit)))
				g.Expect(len(h.Worker.Arrivals())).To(BeNumerically(">=", int(namedLimit*limitWindow.Seconds()/2)), "the limit is used")
			}
			for _, r := range replies {
				g.Expect(r).To(Or(Satisfy(reply.Succeeded), Satisfy(reply.NotRun)))
				if limited < 3 {
					g.Expect(r).To(Satisfy(reply.Succeeded), "the other targets have room")
				}
			}
		})
	}
}

func TestLimitHoldsAcrossRestartOfTheNodeBesideTheTarget(t *testing.T) {
	g := NewWithT(t)
	f := startLimitFleet(t)
	limited := f.hosts[0]
	named := time.Now()
	limited.Worker.SetLimit(strconv.FormatFloat(namedLimit, 'f', -1, 64))
	load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
	time.Sleep(limitSettling)
	for range 2 {
		limited.signal(syscall.SIGKILL)
		limited.wait()
		limited.start()
		time.Sleep(limitWindow / 2)
	}
	load.end()
	g.Expect(mostInWindow(limited.Worker.Arrivals(), named.Add(limitSettling))).To(BeNumerically("<=", allowed(namedLimit)))
}

func TestLimitEndsWhenTheTargetNoLongerNamesIt(t *testing.T) {
	g := NewWithT(t)
	f := startLimitFleet(t)
	limited := f.hosts[0]
	limited.Worker.SetLimit("0.4")
	load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
	time.Sleep(limitSettling)
	limited.Worker.SetLimit("")
	before := len(limited.Worker.Arrivals())
	g.Eventually(func() int { return len(limited.Worker.Arrivals()) - before }, 10*time.Second, pollInterval).Should(BeNumerically(">", 30))
	load.end()
}

func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %v", storeDown), func(t *testing.T) {
			g := NewWithT(t)
			f := startLimitFleet(t)
			load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
			time.Sleep(time.Second)
			if storeDown {
				f.Store.SetFault(standin.Unavailable)
			}
			leaving := f.hosts[0].Worker
			said := time.Now()
			leaving.Leave()
			time.Sleep(leavingBound + 2*time.Second)
			replies := load.end()
			g.Expect(after(leaving.Arrivals(), said.Add(leavingBound))).To(BeZero())
			for _, r := range replies {
				g.Expect(r).To(Satisfy(reply.Succeeded))
			}
		})
	}
}

func TestTargetThatStartsAgainUnderItsIDGetsRequests(t *testing.T) {
	g := NewWithT(t)
	f := startLimitFleet(t)
	h := f.hosts[0]
	h.Worker.Leave()
	load := f.trafficEvery(slowSendInterval, http.MethodGet, "/look/")
	time.Sleep(time.Second)
	id := h.Worker.ID
	g.Expect(h.StopWorker()).To(Succeed())
	again := &standin.Worker{ID: id, Service: h.Service, Slots: slots, ServiceTime: h.Worker.ServiceTime}
	g.Expect(h.Serve(again)).To(Succeed())
	g.Eventually(func() int { return len(again.Arrivals()) }, 10*time.Second, pollInterval).Should(BeNumerically(">", 10))
	load.end()
}

// after returns the number of times after a given one.
func after(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}
