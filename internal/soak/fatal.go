package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/platform/standin"
)

const (
	// fatalPrefix is the prefix of the bodies of requests that crash the workers that run them.
	fatalPrefix = "fatal "
	// fatalInterval is the time between two attempts of such a request.
	fatalInterval = 150 * time.Millisecond
	// fatalRestart is the time from the crash of a worker to the start of the next one.
	fatalRestart = time.Second
	// fatalCrashes is the number of crashes after which a request has to be kept from workers,
	// maxLateRuns the number of its runs that may start later than stabilityWindow after that.
	fatalCrashes = 3
	maxLateRuns  = 3
)

// crashRecord is the crash of a worker under a fatal request.
type crashRecord struct {
	body string
	at   time.Time
}

// sendFatal sends a request that crashes the workers that run it, again and again, at all hosts
// in turn, for long enough that it has to be kept from workers.
func (r *runner) sendFatal(ctx context.Context, e event) {
	defer r.recorder.beginEvent(e.kind)()
	body := fmt.Sprint(fatalPrefix, e.offset)
	client := newClient()
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	until := time.Now().Add(2*stabilityWindow + e.duration)
	for i := e.host; time.Now().Before(until) && clock.Sleep(ctx, fatalInterval); i++ {
		h := r.hosts[i%len(r.hosts)]
		if h.admitting.Load() {
			pending.Go(func() { r.sendBody(h, client, http.MethodGet, pathLook, body) })
		}
	}
}

// observeRun records a run, and crashes its worker if the request is fatal.
func (r *runner) observeRun(run standin.Run) {
	r.recorder.addRun(run)
	if strings.HasPrefix(run.Body, fatalPrefix) {
		go r.crashWorker(run)
	}
}

// crashWorker ends the worker of a run and starts another one after a while. A worker that
// another event acts on goes on.
func (r *runner) crashWorker(run standin.Run) {
	for _, h := range r.hosts {
		if !h.workerMu.TryLock() {
			continue
		}
		if h.Worker.ID == run.Worker {
			r.recorder.addCrash(crashRecord{body: run.Body, at: time.Now()})
			worker := h.Worker
			_ = h.StopWorker()
			time.Sleep(fatalRestart)
			h.Withdraw(worker)
			if err := r.startWorker(h); err != nil {
				r.recorder.addProblem(err.Error())
			}
		}
		h.workerMu.Unlock()
	}
}

func (r *recorder) addCrash(c crashRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, c)
}

// checkFatal checks that a request under which fatalCrashes workers have crashed is kept from
// workers by all nodes, stabilityWindow later, whatever the store does.
func (r *recorder) checkFatal() {
	crashes := map[string][]time.Time{}
	for _, c := range r.crashes {
		crashes[c.body] = append(crashes[c.body], c.at)
	}
	for body, times := range crashes {
		if len(times) < fatalCrashes {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		third := times[fatalCrashes-1]
		late := 0
		for _, run := range r.runs {
			if run.Body == body && run.At.Sub(third) > stabilityWindow && r.nodesUndisturbed(third, run.At) {
				late++
			}
		}
		if late > maxLateRuns {
			r.problems = append(r.problems, fmt.Sprintf("%q was run %d times later than %s after it had crashed %d workers", body, late, stabilityWindow, fatalCrashes))
		}
	}
}

// nodesUndisturbed reports whether no fault of nodes or of the links between them was active
// between two times, nor in the stability window before them. The run is over.
func (r *recorder) nodesUndisturbed(from, to time.Time) bool {
	for _, f := range r.faults {
		if f.kind.concernsNodes() && f.overlaps(from, to, stabilityWindow) {
			return false
		}
	}
	return true
}
