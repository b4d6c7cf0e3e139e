package burn

import (
	"time"

	"github.com/bronzemast/bronzemast/plugins/burn/slo"
)

// bucketsPerWindow is the number of buckets that a window is divided into.
const bucketsPerWindow = 30

// bucket holds the counts of one time step. epoch is the number of the step since
// the Unix epoch, so that the buckets of all nodes start at the same times.
type bucket struct {
	epoch  int64
	counts slo.Counts
}

// bucketRing covers one window; a new step overwrites the oldest bucket.
type bucketRing [bucketsPerWindow]bucket

// epochOf returns the number of the step that contains at.
func epochOf(at time.Time, step time.Duration) int64 {
	return at.UnixNano() / int64(step)
}

// at returns the bucket of a step, nil if a later step has overwritten it.
func (r *bucketRing) at(epoch int64) *bucket {
	b := &r[uint64(epoch)%bucketsPerWindow]
	if b.epoch > epoch {
		return nil
	}
	if b.epoch < epoch {
		*b = bucket{epoch: epoch}
	}
	return b
}

// sum returns the total over the window that ends with the step now.
func (r *bucketRing) sum(now int64) slo.Counts {
	var sum slo.Counts
	for i := range r {
		if r[i].epoch > now-bucketsPerWindow && r[i].epoch <= now {
			sum.Add(r[i].counts)
		}
	}
	return sum
}

// series holds the counts of one caller at one service in one role over the
// short and the long window. last is the time of its latest call.
type series struct {
	short, long bucketRing
	last        time.Time
}

// add counts a call in each window that still covers its time.
func (s *series) add(at time.Time, steps windowSteps, class slo.Class, overShare bool) {
	if at.After(s.last) {
		s.last = at
	}
	if b := s.short.at(epochOf(at, steps.short)); b != nil {
		b.counts.CountCall(class, overShare)
	}
	if b := s.long.at(epochOf(at, steps.long)); b != nil {
		b.counts.CountCall(class, overShare)
	}
}

// windowSteps holds the bucket length of each window.
type windowSteps struct {
	short, long time.Duration
}

func newWindowSteps(short, long time.Duration) windowSteps {
	return windowSteps{short: short / bucketsPerWindow, long: long / bucketsPerWindow}
}
