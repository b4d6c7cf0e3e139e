package platform

import (
	"strings"
	"sync"
	"time"
)

// Counter counts calls per second and per kind of key. A watch counts as one call
// in the second in which it began. It is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// seconds holds the number of calls by Unix time in seconds.
	seconds     map[int64]uint64
	byKind      map[string]uint64
	total       uint64
	watches     uint64
	waitingNow  int
	waitingPeak int
}

// Counts is a summary of a Counter.
type Counts struct {
	Total   uint64 `json:"total"`
	Watches uint64 `json:"watches"`
	// ByKind counts calls by the key without the number or digest at its end.
	ByKind map[string]uint64 `json:"by_kind"`
	// Mean and Peak are calls per second, from the first call to the last.
	Mean float64 `json:"mean_per_second"`
	Peak uint64  `json:"peak_per_second"`
	// Waiting and WaitingPeak are the current and the highest number of watches
	// that wait at the same time.
	Waiting     int `json:"waiting"`
	WaitingPeak int `json:"waiting_peak"`
}

func newCounter() *Counter {
	return &Counter{seconds: map[int64]uint64{}, byKind: map[string]uint64{}}
}

func (c *Counter) add(now time.Time, key string, watch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if watch {
		c.watches++
	}
	c.seconds[now.Unix()]++
	c.byKind[keyKind(key)]++
}

// keyKind returns the key without the number or digest at its end: a key of three
// or more segments loses its last one.
func keyKind(key string) string {
	if strings.Count(key, "/") < 2 {
		return key
	}
	return key[:strings.LastIndexByte(key, '/')]
}

func (c *Counter) addWaiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingNow += delta
	c.waitingPeak = max(c.waitingPeak, c.waitingNow)
}

// Reset clears the counts. Watches that still wait remain in Waiting.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seconds = map[int64]uint64{}
	c.byKind = map[string]uint64{}
	c.total = 0
	c.watches = 0
	c.waitingPeak = c.waitingNow
}

// Counts returns a summary of the calls since the last reset.
func (c *Counter) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{
		Total:       c.total,
		Watches:     c.watches,
		ByKind:      map[string]uint64{},
		Waiting:     c.waitingNow,
		WaitingPeak: c.waitingPeak,
	}
	for name, n := range c.byKind {
		counts.ByKind[name] = n
	}
	first, last := int64(0), int64(0)
	for second, n := range c.seconds {
		if first == 0 || second < first {
			first = second
		}
		last = max(last, second)
		counts.Peak = max(counts.Peak, n)
	}
	if c.total > 0 {
		counts.Mean = float64(c.total) / float64(last-first+1)
	}
	return counts
}
