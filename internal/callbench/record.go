package callbench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bronzemast/bronzemast/model"
)

// Range of the latency histograms, in microseconds, and their significant digits.
const (
	minLatency    = 1
	maxLatency    = int64(30 * time.Second / time.Microsecond)
	latencyDigits = 3
)

// sample is one finished call. at is the time of its end.
type sample struct {
	at        time.Time
	latency   time.Duration
	outcome   model.Outcome
	reason    string
	succeeded bool
}

// record keeps the samples of one caller, separately for calls that began before,
// during and after the event of the scenario.
type record struct {
	mu sync.Mutex
	// from and to bound the event of the scenario.
	from   time.Time
	to     time.Time
	phases [3]*phase
	direct *hdrhistogram.Histogram
}

// phase aggregates the samples of one part of the run. latency covers calls that
// succeeded.
type phase struct {
	latency   *hdrhistogram.Histogram
	sent      int
	succeeded int
	outcomes  map[string]int
	reasons   map[string]int
}

func newPhase() *phase {
	return &phase{
		latency:  hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		outcomes: map[string]int{},
		reasons:  map[string]int{},
	}
}

func newRecord(from, to time.Time) *record {
	return &record{
		from:   from,
		to:     to,
		phases: [3]*phase{newPhase(), newPhase(), newPhase()},
		direct: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

func (r *record) phaseAt(at time.Time) *phase {
	switch {
	case at.Before(r.from):
		return r.phases[0]
	case at.Before(r.to):
		return r.phases[1]
	default:
		return r.phases[2]
	}
}

func (r *record) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.phaseAt(s.at.Add(-s.latency))
	p.sent++
	p.outcomes[s.outcome.String()]++
	if s.reason != "" {
		p.reasons[s.outcome.String()+" "+s.reason]++
	}
	if s.succeeded {
		p.succeeded++
		_ = p.latency.RecordValue(min(s.latency.Microseconds(), maxLatency)) // the value is in range
	}
}

func (r *record) addDirect(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.direct.RecordValue(min(latency.Microseconds(), maxLatency)) // the value is in range
}
