package target

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// slots bounds the calls executed concurrently. Waiting calls get slots in order
// of arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	busy    int
	waiting []chan struct{}
}

func newSlots(limit int) *slots {
	return &slots{limit: max(limit, 1)}
}

// acquire waits for a slot until ctx ends. It returns errShed at once if at least
// shedAt calls wait, unless shedAt is negative.
func (s *slots) acquire(ctx context.Context, shedAt int) (err error) {
	s.mu.Lock()
	if s.busy < s.limit {
		s.busy++
		s.mu.Unlock()
		return nil
	}
	if shedAt >= 0 && len(s.waiting) >= shedAt {
		s.mu.Unlock()
		return errShed
	}
	granted := make(chan struct{}, 1)
	s.waiting = append(s.waiting, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(granted)
		return ctx.Err()
	}
}

var errShed = errors.New("target sheds load")

// cancelWait removes a call from the queue. If it got a slot in the meantime, the
// slot goes to the next waiting call.
func (s *slots) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.handOff()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOff()
}

// handOff gives a released slot to the first waiting call, or frees it if none
// waits or the limit was lowered. The lock must be held.
func (s *slots) handOff() {
	if len(s.waiting) > 0 && s.busy <= s.limit {
		s.waiting[0] <- struct{}{}
		s.waiting = s.waiting[1:]
		return
	}
	s.busy--
}

func (s *slots) resize(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = max(limit, 1)
	for s.busy < s.limit && len(s.waiting) > 0 {
		s.busy++
		s.waiting[0] <- struct{}{}
		s.waiting = s.waiting[1:]
	}
}

func (s *slots) occupancy() (busy, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, len(s.waiting)
}
