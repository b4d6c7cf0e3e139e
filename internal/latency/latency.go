// Package latency provides a latency histogram that is a metric.
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
	// maxLatency is the longest latency recorded; longer ones are clamped to it.
	maxLatency = time.Minute
	// precisionDigits is the precision in significant decimal digits.
	precisionDigits = 2
)

// Histogram counts latencies with a resolution of a microsecond. It is safe for
// concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
	sum    time.Duration
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, maxLatency.Microseconds(), precisionDigits)}
}

// Observe records a latency. Sum includes it in full, while quantiles clamp it to the
// range from 0 to one minute.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	_ = h.counts.RecordValue(min(max(d, 0), maxLatency).Microseconds()) // the value is within the range
}

// Quantile implements model.Latency. q is from 0 to 1.
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

// String implements expvar.Var. It returns a JSON object.
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
