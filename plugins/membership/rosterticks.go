package membership

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// detectPause restarts all suspicions if the process was paused since the last
// call; the lock must be held. It returns now.
func (r *roster) detectPause(now time.Time) time.Time {
	gap := elapsedSince(now, r.lastRun)
	r.lastRun = now
	if gap < pauseThreshold {
		return now
	}
	r.metrics.pauses.Add(1)
	r.resumedAt = now
	r.lastContact = time.Time{}
	for id := range r.timeDependent {
		old := r.records[id]
		r.store(old, r.timing.resetSuspicion(*old, now))
	}
	r.log.Emit(eventPaused, event.Fields{"seconds": gap.Seconds()})
	return now
}

// elapsedSince returns the time from previous to now by the monotonic or the wall
// clock, whichever is larger. The monotonic clock may stop while the machine is
// suspended.
func elapsedSince(now, previous time.Time) time.Duration {
	return max(now.Sub(previous), now.Round(0).Sub(previous.Round(0)))
}

// tickLoop calls tick at every tickInterval until ctx ends.
func (r *roster) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// tick applies expired timeouts to the time-dependent hosts.
func (r *roster) tick(now time.Time) {
	var originate []*model.Notice
	r.mu.Lock()
	r.detectPause(now)
	broadcast := r.mayBroadcast(now)
	for id := range r.timeDependent {
		old := r.records[id]
		updated, res := r.timing.expire(*old, now, broadcast)
		r.store(old, updated)
		originate = append(originate, res.originate)
	}
	r.mu.Unlock()
	for _, n := range originate {
		r.broadcast(n)
	}
}
