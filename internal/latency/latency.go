// Package latency counts how long things take, as a metric.
package latency

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bronzemast/bronzemast/model"
)

const (
	// longest is the longest time that is told apart; longer ones count as it.
	longest = time.Minute
	// digits is the number of significant decimal digits.
	digits = 2
)

// Histogram counts times. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
	sum    time.Duration
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, longest.Microseconds(), digits)}
}

// Observe counts a time.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	_ = h.counts.RecordValue(min(max(d, 0), longest).Microseconds()) // it is within the range
}

// Quantile implements model.Latency.
func (h *Histogram) Quantile(q float64) time.Duration {
	const percent = 100
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.ValueAtQuantile(q*percent)) * time.Microsecond
}

// Sum implements model.Latency.
func (h *Histogram) Sum() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Count implements model.Latency.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts.TotalCount()
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	text, err := json.Marshal(map[string]any{
		"count":    h.Count(),
		"p50_ms":   h.Quantile(0.5).Milliseconds(),
		"p99_ms":   h.Quantile(0.99).Milliseconds(),
		"p99.9_ms": h.Quantile(0.999).Milliseconds(),
		"sum_ms":   h.Sum().Milliseconds(),
	})
	if err != nil {
		panic(err) // numbers can always be encoded
	}
	return string(text)
}

// Interface guards.
var (
	_ expvar.Var    = (*Histogram)(nil)
	_ model.Latency = (*Histogram)(nil)
)
