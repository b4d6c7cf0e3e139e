package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// checkRequests passes the requests, executions and replies to the checker.
func (r *recorder) checkRequests(c *invariant.Checker, hosts []*host) {
	requestsByID := make(map[string]*request, len(r.requests))
	for i := range r.requests {
		q := &r.requests[i]
		requestsByID[q.reply.ID] = q
		c.Sent(invariant.Call{
			ID:         q.reply.ID,
			Caller:     hosts[q.host].Service,
			Service:    strings.Join(servicesOf(q.path), ","),
			Idempotent: q.path != pathFile,
			Permitted:  true,
		})
	}
	for _, run := range r.runs {
		c.Executed(invariant.Execution{CallID: run.ID, Host: model.HostID(run.Worker), At: run.At})
		if q := requestsByID[run.ID]; q != nil {
			r.checkRun(c, run, q, hosts)
		}
	}
	executed := r.executedIDs()
	for i := range r.requests {
		r.checkReply(c, &r.requests[i], executed)
	}
}

// executedIDs returns the IDs of the requests that a worker has started to execute.
func (r *recorder) executedIDs() map[string]bool {
	executed := make(map[string]bool, len(r.runs))
	for _, run := range r.runs {
		executed[run.ID] = true
	}
	return executed
}

// checkRun checks that a request was executed by a service to which some configuration
// routes it, with the caller and path that it was sent with.
func (r *recorder) checkRun(c *invariant.Checker, run standin.Run, q *request, hosts []*host) {
	service := r.serviceOf(run.Worker)
	if !slices.Contains(servicesOf(q.path), service) {
		c.Violated(invariant.PermittedOnly, "request %s to %s was executed by %s of service %s", run.ID, q.path, run.Worker, service)
	}
	if want := hosts[q.host].Service; run.CallerService != want {
		c.Violated(invariant.PermittedOnly, "request %s was sent on a host of service %s, but the worker received caller service %q", run.ID, want, run.CallerService)
	}
	if run.URI != q.path {
		c.Violated(invariant.PermittedOnly, "request %s was sent to %s but executed as %s", run.ID, q.path, run.URI)
	}
}

// serviceOf returns the service of a worker, empty if the worker is unknown.
func (r *recorder) serviceOf(worker string) string {
	for _, w := range r.workers {
		if w.ID == worker {
			return w.Service
		}
	}
	return ""
}

// checkReply passes a reply to the checker. executed holds the IDs of the requests that a
// worker has started to execute.
func (r *recorder) checkReply(c *invariant.Checker, q *request, executed map[string]bool) {
	reply := q.reply
	response := invariant.Response{CallID: reply.ID, Outcome: model.OutcomeUnknown, Complete: true}
	switch {
	case reply.NotRun():
		response.Outcome = model.OutcomeNotRun
	case reply.Err == nil && (reply.Status == http.StatusOK || reply.Signed()):
		response.Outcome = model.OutcomeRan
		response.Complete = reply.MatchesRequest()
		if id, ok := strings.CutPrefix(reply.Body, sidecarfleet.AnswerPrefix); ok {
			response.BelongsTo = id
		}
	}
	// A connection error breaks no promise if the node had not read the request yet, or
	// if anything but planned work was going on.
	lost := reply.Err != nil && (executed[reply.ID] || q.ended.Sub(q.sent) > unreadBound)
	response.CutByShutdown = lost && r.faultFree(q.sent, q.ended)
	c.Responded(response)
	if reply.Status == http.StatusNotFound && !strings.HasPrefix(q.path, versionPrefix) {
		c.Violated(invariant.InForceEverywhere, "request %s to %s, which every configuration has, was answered with status 404", reply.ID, q.path)
	}
}

// versionPrefix is the common prefix of the paths that versionPath returns. No other route
// has it.
const versionPrefix = "/v"

// checkVersions checks that no process reverts to a configuration older than one that it
// has served, and that none acts on one that was replaced some time before.
func (r *recorder) checkVersions(c *invariant.Checker) {
	type process struct{ host, incarnation int }
	type observation struct {
		version int
		at      time.Time
	}
	// newest holds the first reply that showed the newest version of each process.
	newest := map[process]observation{}
	byEnd := slices.Clone(r.requests)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].ended.Before(byEnd[j].ended) })
	for _, q := range byEnd {
		version := versionOf(q.path)
		if version == 0 || q.reply.Err != nil {
			continue
		}
		p := process{q.host, q.incarnation}
		known := newest[p]
		switch {
		case q.reply.Status != http.StatusNotFound && !q.reply.NotRun():
			if version > known.version {
				newest[p] = observation{version: version, at: q.ended}
			}
		case q.reply.Status == http.StatusNotFound:
			if version <= known.version && q.sent.After(known.at) {
				c.Violated(invariant.NeverBackwards, "host %d had served the route of version %d, then answered 404 for that of version %d", q.host, known.version, version)
			}
			r.checkInForce(c, &q, version)
		}
	}
}

// checkInForce checks a reply with status 404 on the route of a version: the version may
// not have been published more than configBound before the request. That holds during faults
// as well, since a node that cannot learn of changes does not answer 404, except while no
// node can learn of them from the store.
func (r *recorder) checkInForce(c *invariant.Checker, q *request, version int) {
	for _, config := range r.configs {
		age := q.sent.Sub(config.at)
		if config.number == version && age > configBound && r.storeFaultFree(config.at, q.sent) {
			c.Violated(invariant.InForceEverywhere, "host %d answered 404 for the route of version %d %s after its publication", q.host, version, age)
		}
	}
}

// versionOf returns the version whose route has the path, 0 for other paths.
func versionOf(path string) int {
	var version int
	if _, err := fmt.Sscanf(path, versionPrefix+"%d/", &version); err != nil {
		return 0
	}
	return version
}

// checkDrains checks that a draining worker starts no request after drainBound while no
// fault is active.
func (r *recorder) checkDrains(c *invariant.Checker) {
	for _, d := range r.drains {
		for _, run := range r.runs {
			sinceDrain := run.At.Sub(d.at)
			if run.Worker == d.worker && sinceDrain > drainBound && r.faultFree(d.at, run.At) {
				c.Violated(invariant.NoWorkWhileLeaving, "worker %s started request %s %s after its drain began", d.worker, run.ID, sinceDrain)
			}
		}
	}
}

const (
	// limitWindow is the window in which the requests to a limited worker count, and
	// limitSettling the time from the first naming of a limit until it must be kept.
	limitWindow   = 4 * time.Second
	limitSettling = 3 * time.Second
)

// checkLimits checks that no worker got more than one and a half times the limit that it
// named, plus five requests, in any window, whatever faults there were.
func (r *recorder) checkLimits() {
	allowed := int(1.5*workerLimitRate*limitWindow.Seconds()) + 5
	for _, l := range r.limits {
		arrivals := arrivalsBetween(l.worker, l.from.Add(limitSettling), l.to)
		first := 0
		for last, at := range arrivals {
			for at.Sub(arrivals[first]) > limitWindow {
				first++
			}
			if n := last - first + 1; n > allowed {
				r.problems = append(r.problems, fmt.Sprintf("worker %s got %d requests within %s, its limit allows %d", l.worker.ID, n, limitWindow, allowed))
				break
			}
		}
	}
}

// arrivalsBetween returns the times between two times at which requests arrived at a worker.
func arrivalsBetween(w *standin.Worker, from, to time.Time) []time.Time {
	var arrivals []time.Time
	for _, at := range w.Arrivals() {
		if at.After(from) && at.Before(to) {
			arrivals = append(arrivals, at)
		}
	}
	return arrivals
}

// checkLeavings checks that a node that has passed on an answer by which a worker leaves sends
// it no request that its caller sent later than drainBound after that, whatever faults there
// were. A restart of the node excuses it, and so does a pause.
func (r *recorder) checkLeavings(c *invariant.Checker) {
	type process struct {
		host, incarnation int
		worker            string
	}
	heardAt := map[process]time.Time{}
	requests := make(map[string]*request, len(r.requests))
	for i := range r.requests {
		q := &r.requests[i]
		requests[q.reply.ID] = q
		if !q.reply.WorkerLeaves() || q.reply.Worker() == "" {
			continue
		}
		p := process{q.host, q.incarnation, q.reply.Worker()}
		if at, heard := heardAt[p]; !heard || q.ended.Before(at) {
			heardAt[p] = q.ended
		}
	}
	for _, run := range r.runs {
		q := requests[run.ID]
		if q == nil {
			continue
		}
		at, heard := heardAt[process{q.host, q.incarnation, run.Worker}]
		if since := q.sent.Sub(at); heard && since > drainBound && r.freeOf(kindPause, at, q.sent) {
			c.Violated(invariant.NoWorkWhileLeaving, "host %d sent request %s to worker %s %s after it had heard that it leaves", q.host, run.ID, run.Worker, since)
		}
	}
}

// checkWorkers checks that no worker ran more requests at once than it has slots.
func (r *recorder) checkWorkers() {
	for _, w := range r.workers {
		if peak := w.MaxRunning(); peak > sidecarfleet.Slots {
			r.problems = append(r.problems, fmt.Sprintf("worker %s executed %d requests at once but has %d slots", w.ID, peak, sidecarfleet.Slots))
		}
	}
}
