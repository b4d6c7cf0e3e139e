package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/platform/standin"
)

const (
	// evacuationBound is the time from the confirmation of an evacuation after which no worker
	// of the failure domain starts a request.
	evacuationBound = 5 * time.Second
	// coldTime is how long workers are cold after their start and after an evacuation, and
	// coldRate the number of requests per second that they tolerate then.
	coldTime = 2 * time.Second
	coldRate = 4
	// coldBound is the number of requests that a cold worker gets in any second at most.
	coldBound = coldRate*3/2 + 8
)

// evacuation is the time in which a failure domain was evacuated.
type evacuation struct {
	domain   string
	from, to time.Time
}

// coldWorker is the time in which a worker was cold.
type coldWorker struct {
	worker   *standin.Worker
	from, to time.Time
}

// evacuate evacuates the failure domain of a host for long enough that it must be empty. Its
// workers are cold at the end. Only one domain is evacuated at a time.
func (r *runner) evacuate(ctx context.Context, e event) {
	if !r.evacuationMu.TryLock() {
		return
	}
	defer r.evacuationMu.Unlock()
	defer r.recorder.beginEvent(e.kind)()
	domain := r.hosts[e.host].Domain
	r.fleet.Evacuate(domain)
	from := time.Now()
	_ = clock.Sleep(ctx, evacuationBound+e.duration)
	to := time.Now()
	for _, h := range r.hosts {
		if h.Domain != domain || !h.workerMu.TryLock() {
			continue // a worker that another event acts on stays as it is
		}
		r.cool(h.Worker)
		h.workerMu.Unlock()
	}
	r.fleet.EndEvacuation(domain)
	r.recorder.addEvacuation(evacuation{domain: domain, from: from, to: to})
}

// cool makes a worker cold.
func (r *runner) cool(w *standin.Worker) {
	w.SetCold(coldTime)
	now := time.Now()
	r.recorder.addCold(coldWorker{worker: w, from: now, to: now.Add(coldTime)})
}

func (r *recorder) addEvacuation(e evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations = append(r.evacuations, e)
}

func (r *recorder) addCold(c coldWorker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = append(r.cold, c)
}

// checkEvacuations checks that no worker of an evacuated failure domain starts a request later
// than evacuationBound, unless the store kept nodes from learning of it or a node was paused. A
// node that is cut off rejects requests by then.
func (r *recorder) checkEvacuations(domains map[string]string) {
	for _, e := range r.evacuations {
		for _, run := range r.runs {
			since := run.At.Sub(e.from)
			if domains[run.Worker] != e.domain || since <= evacuationBound || !run.At.Before(e.to) {
				continue
			}
			if r.storeFaultFree(e.from, run.At) && r.freeOf(kindPause, e.from, run.At) {
				r.problems = append(r.problems, fmt.Sprintf("worker %s started request %s %s after the evacuation of %s", run.Worker, run.ID, since, e.domain))
			}
		}
	}
}

// checkCold checks that no worker got more requests in any second than a cold one tolerates,
// whatever faults there were.
func (r *recorder) checkCold() {
	for _, c := range r.cold {
		arrivals := arrivalsBetween(c.worker, c.from, c.to)
		first := 0
		for last, at := range arrivals {
			for at.Sub(arrivals[first]) >= time.Second {
				first++
			}
			if n := last - first + 1; n > coldBound {
				r.problems = append(r.problems, fmt.Sprintf("cold worker %s got %d requests in a second, the bound is %d", c.worker.ID, n, coldBound))
				break
			}
		}
	}
}
