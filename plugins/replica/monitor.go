package replica

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
)

// monitorInterval is the time between two checks of a stale copy.
const monitorInterval = 100 * time.Millisecond

// sourceCall is the latest call of the task that keeps the copy up to date.
type sourceCall struct {
	// source is viaStore or the address of a peer.
	source    string
	startedAt time.Time
	// sourceAge is the age of the source's own copy, as of its latest response.
	sourceAge time.Duration
}

// startCall records that a call to a source starts.
func (r *Replica) startCall(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call.source, r.call.startedAt = source, time.Now()
}

// age returns the time since the copy was last known to be up to date, or since the start
// of the node before that.
func (r *Replica) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(latest(r.fresh.confirmed, r.startedAt))
}

// monitor logs when the copy becomes too old to route requests by and when it is usable
// again, until ctx ends. It does not wait for calls to the sources.
func (r *Replica) monitor(ctx context.Context) {
	for r.waitForExpiry(ctx) {
		r.waitForUpdate(ctx)
	}
}

// waitForExpiry waits until the copy is too old to route requests by and logs why. It
// returns false if ctx ends first.
func (r *Replica) waitForExpiry(ctx context.Context) bool {
	for {
		wait := max(r.settings.MaxStaleness.Std()-r.age(), monitorInterval)
		due := time.Now().Add(wait)
		if !clock.Sleep(ctx, wait) {
			return false
		}
		if !r.Current() {
			r.logStale(time.Since(due))
			return true
		}
	}
}

// waitForUpdate waits until the copy is up to date again, or until ctx ends.
func (r *Replica) waitForUpdate(ctx context.Context) {
	start := time.Now()
	for clock.Sleep(ctx, monitorInterval) {
		if r.Current() {
			r.log.Emit(eventCurrent, event.Fields{"revision": r.Position(), "stale_ms": time.Since(start).Milliseconds()})
			return
		}
	}
}

// logStale logs that the copy is stale. timerDelay is how late the check itself ran: a
// long delay means that the node lacks processor time.
func (r *Replica) logStale(timerDelay time.Duration) {
	r.mu.Lock()
	fields := event.Fields{
		"revision":       r.copy.position,
		"age_ms":         time.Since(latest(r.fresh.confirmed, r.startedAt)).Milliseconds(),
		"source":         r.call.source,
		"call_ms":        time.Since(r.call.startedAt).Milliseconds(),
		"source_age_ms":  r.call.sourceAge.Milliseconds(),
		"peer_failures":  r.peerFailures,
		"store_failures": r.outage.failures,
		"timer_delay_ms": timerDelay.Milliseconds(),
	}
	r.mu.Unlock()
	r.log.Emit(eventStale, fields)
}
