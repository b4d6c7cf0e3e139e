// Package uplink shares the host's link among large answers, and between these and everything
// else that the host sends. The load that it answers is a service of large answers whose targets
// have free slots when their links are full: whatever is sent then waits behind all that was
// sent before, small answers too, until it is late. So a request is admitted only if its
// answer can be through in time, and large answers are written one after the other, no faster
// than a share of the link's rate. It does no I/O.
package uplink

import (
	"context"
	"sync"
	"time"
)

const (
	// LargeBytes is the size from which an answer counts as large: about what a slow link
	// sends in the time that an interactive request can spare.
	LargeBytes = 16 << 10
	// largeShare is the share of the link's rate for large answers. The rest is for small
	// answers, requests, acknowledgements and configuration.
	largeShare = 0.9
	// chunkBytes is how much of a large answer is written at once. Small answers wait for
	// no more than that.
	chunkBytes = 16 << 10
	// bitsPerByte and bitsPerMbit convert the rate of a link.
	bitsPerByte = 8
	bitsPerMbit = 1e6
)

// Scheduler is the queue of large answers on a link. A nil *Scheduler stands for a link whose
// rate is not known: it admits everything at once. It is safe for concurrent use.
type Scheduler struct {
	// rate is that of large answers, in bytes per second.
	rate float64

	mu sync.Mutex
	// reserved is the number of bytes that are admitted and not written yet.
	reserved int64
	// freeAt is the time from which the next chunk may be written.
	freeAt time.Time
	// waiting holds the writers that wait for their next chunk, in the order in which they
	// began to write.
	waiting []*Reservation
	started uint64
	// changed is closed and replaced when the first one of waiting may have changed.
	changed chan struct{}
}

// New returns the scheduler of a link with a rate in Mbit/s, nil if it is 0.
func New(mbps float64) *Scheduler {
	if mbps <= 0 {
		return nil
	}
	return &Scheduler{rate: mbps * bitsPerMbit / bitsPerByte * largeShare, changed: make(chan struct{})}
}

// Reservation is a large answer that is admitted. A nil *Reservation is an answer that needs
// none. It is not safe for concurrent use.
type Reservation struct {
	scheduler *Scheduler
	// left is the number of bytes that are not written yet.
	left int64
	// order is the place among the writers, 0 until the first chunk.
	order uint64
}

// Reserve admits an answer of an expected size, in bytes, if it can be through within a time. If
// not, ok is false and wait is the time after which one like it could be admitted.
func (s *Scheduler) Reserve(bytes int64, within time.Duration) (r *Reservation, wait time.Duration, ok bool) {
	if s == nil || bytes < LargeBytes {
		return nil, 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if excess := s.duration(s.reserved+bytes) - within; excess > 0 && s.reserved > 0 {
		return nil, excess, false
	}
	return s.add(bytes), 0, true
}

// Add admits an answer whose size is known and which has to be sent in any case. It returns nil
// if the answer is not large.
func (s *Scheduler) Add(bytes int64) *Reservation {
	if s == nil || bytes < LargeBytes {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(bytes)
}

// add reserves bytes. The caller holds mu.
func (s *Scheduler) add(bytes int64) *Reservation {
	s.reserved += bytes
	return &Reservation{scheduler: s, left: bytes}
}

// Backlog returns the time until all admitted answers are through.
func (s *Scheduler) Backlog() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duration(s.reserved)
}

// Duration returns the time that an answer of a size takes on the link, without others.
func (s *Scheduler) Duration(bytes int64) time.Duration {
	if s == nil {
		return 0
	}
	return s.duration(bytes)
}

func (s *Scheduler) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / s.rate * float64(time.Second))
}

// Resize sets the size of the answer, now that it is known.
func (r *Reservation) Resize(bytes int64) {
	if r == nil || bytes < 0 {
		return
	}
	r.scheduler.mu.Lock()
	defer r.scheduler.mu.Unlock()
	r.scheduler.reserved += bytes - r.left
	r.left = bytes
}

// Release gives back what was not written. It may be called more than once.
func (r *Reservation) Release() { r.Resize(0) }

// Next waits until the next bytes of the answer may be written, at most n, and returns how many.
// It returns the error of ctx if that ends first.
func (r *Reservation) Next(ctx context.Context, n int) (int, error) {
	n = min(n, chunkBytes)
	s := r.scheduler
	s.enqueue(r)
	for {
		wait, changed := s.grant(r, int64(n), time.Now())
		if changed == nil {
			return n, nil
		}
		if err := pause(ctx, wait, changed); err != nil {
			s.dequeue(r)
			return 0, err
		}
	}
}

// pause waits for a time, at most until changed is closed. With a time of 0 it waits for changed
// only.
func pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-changed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// enqueue adds a writer to those that wait, in the order of their first chunks.
func (s *Scheduler) enqueue(r *Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.order == 0 {
		s.started++
		r.order = s.started
	}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].order > r.order {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = r
	if at == 0 {
		s.wake()
	}
}

// grant lets the first writer write n bytes if the link is free. Otherwise it returns a channel
// that is closed when to ask again, and for the first writer the time until the link is free.
func (s *Scheduler) grant(r *Reservation, n int64, now time.Time) (wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[0] != r {
		return 0, s.changed
	}
	if s.freeAt.After(now) {
		return s.freeAt.Sub(now), s.changed
	}
	s.waiting = append(s.waiting[:0], s.waiting[1:]...)
	s.freeAt = now.Add(s.duration(n))
	granted := min(n, r.left)
	r.left -= granted
	s.reserved -= granted
	s.wake()
	return 0, nil
}

// dequeue removes a writer that waits no longer.
func (s *Scheduler) dequeue(r *Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.wake()
}

// wake wakes the writers that wait. The caller holds mu.
func (s *Scheduler) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
