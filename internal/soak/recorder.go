package soak

import (
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/platform/standin"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// request is a request of a caller with its reply.
type request struct {
	reply sidecarfleet.Reply
	path  string
	host  int
	// incarnation is the number of starts of the host's process before the request.
	incarnation int
	sent, ended time.Time
}

// faultInterval is the interval in which a fault was active; to is zero while it still is.
type faultInterval struct {
	kind     eventKind
	from, to time.Time
}

// workerDrain is the start of the drain of a worker.
type workerDrain struct {
	worker string
	at     time.Time
}

// workerLimit is the time in which a worker named a limit on its requests.
type workerLimit struct {
	worker   *standin.Worker
	from, to time.Time
}

// publication is a configuration with the time of its publication.
type publication struct {
	number int
	at     time.Time
}

// recorder records what callers and workers observe and which events are injected. It is
// safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	requests []request
	runs     []standin.Run
	workers  []*standin.Worker
	faults   []*faultInterval
	drains   []workerDrain
	limits   []workerLimit
	crashes  []crashRecord
	configs  []publication
	// evacuations holds the evacuated failure domains, and cold the workers that were cold.
	evacuations []evacuation
	cold        []coldWorker
	events      map[eventKind]int
	// problems are the faults found that no promise covers.
	problems []string
}

func newRecorder() *recorder { return &recorder{events: map[eventKind]int{}} }

func (r *recorder) addRequest(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *recorder) addRun(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *recorder) addWorker(w *standin.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
}

func (r *recorder) addDrain(worker string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, workerDrain{worker: worker, at: at})
}

func (r *recorder) addLimit(l workerLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, l)
}

func (r *recorder) addConfig(number int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs = append(r.configs, publication{number: number, at: at})
}

func (r *recorder) addProblem(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, text)
}

// beginEvent counts an event. A fault counts as active until the returned function is
// called; for planned work that function does nothing.
func (r *recorder) beginEvent(k eventKind) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[k]++
	if !k.isFault() {
		return func() {}
	}
	f := &faultInterval{kind: k, from: time.Now()}
	r.faults = append(r.faults, f)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		f.to = time.Now()
	}
}

// faultFree reports whether no fault was active between two times, nor in the stability
// window before them. The caller holds mu, or the run is over.
func (r *recorder) faultFree(from, to time.Time) bool {
	for _, f := range r.faults {
		if f.overlaps(from, to, stabilityWindow) {
			return false
		}
	}
	return true
}

// storeFaultFree reports whether the store had no fault between two times, nor in the store
// window before them. The caller holds mu, or the run is over.
func (r *recorder) storeFaultFree(from, to time.Time) bool {
	for _, f := range r.faults {
		if f.kind.concernsStore() && f.overlaps(from, to, storeWindow) {
			return false
		}
	}
	return true
}

// freeOf reports whether no fault of a kind was active between two times, nor in the stability
// window before them. The caller holds mu, or the run is over.
func (r *recorder) freeOf(kind eventKind, from, to time.Time) bool {
	for _, f := range r.faults {
		if f.kind == kind && f.overlaps(from, to, stabilityWindow) {
			return false
		}
	}
	return true
}

// overlaps reports whether a fault was active between two times or in the window before them.
func (f *faultInterval) overlaps(from, to time.Time, window time.Duration) bool {
	return f.from.Before(to) && (f.to.IsZero() || f.to.Add(window).After(from))
}
