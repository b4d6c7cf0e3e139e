package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
)

// drain shuts the node down gracefully. During the linger time the node accepts requests
// as before, so that callers and peers learn that it is leaving; afterwards it rejects new
// requests, except calls of those that the host's own target still runs, and waits for those in
// flight.
type drain struct {
	settings *liveSettings
	log      *event.Log

	mu        sync.Mutex
	startedAt time.Time
	inFlight  int
	// atTarget is the number of requests that the host's own target runs, or that wait for it.
	atTarget int
	// acceptedCalls is the number of requests that were accepted as nested calls after the
	// linger time.
	acceptedCalls int
	// lastEnded is when a request that was not rejected last ended.
	lastEnded time.Time
}

const (
	// drainPoll is the interval at which a draining node checks whether it is done.
	drainPoll = 20 * time.Millisecond
	// drainIdleTime is the time without requests after which a draining node is done.
	drainIdleTime = 100 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the process to exit, also on
	// a slow machine.
	exitReserve = 500 * time.Millisecond
)

func (d *drain) requestStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

// requestEnded records the end of a request. Those that were rejected don't prolong the drain,
// since callers may go on sending until the process is gone.
func (d *drain) requestEnded(rejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if !rejected {
		d.lastEnded = time.Now()
	}
}

// targetRequestStarted records that a request arrived at the node beside its target.
func (d *drain) targetRequestStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.atTarget++
}

// targetRequestEnded records that a request has left its target.
func (d *drain) targetRequestEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.atTarget--
}

// admits reports whether a request with a deadline is accepted. nested is set if its route appears
// to carry calls made by targets. A draining node that rejects new requests goes on accepting such
// calls only while its own target runs requests that can make them, and only if the deadline is
// before the end of the drain: nothing else bounds how long a request runs, and one that is cut
// off may have run.
func (d *drain) admits(nested bool, deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closedLocked() {
		return true
	}
	return nested && d.atTarget > 0 && !deadline.After(d.endLocked())
}

// requestAccepted records that a request was accepted.
func (d *drain) requestAccepted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closedLocked() {
		d.acceptedCalls++
	}
}

func (d *drain) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		d.startedAt = time.Now()
	}
}

// draining reports whether draining has started.
func (d *drain) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero()
}

// closed reports whether the node rejects new requests: draining has started and the
// linger time has passed.
func (d *drain) closed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closedLocked()
}

// closedLocked is closed for a caller that holds mu.
func (d *drain) closedLocked() bool {
	return !d.startedAt.IsZero() && time.Since(d.startedAt) >= d.settings.Load().Linger.Std()
}

// endLocked returns the time at which the node stops waiting for requests in flight. Draining must
// have started. The caller holds mu.
func (d *drain) endLocked() time.Time {
	return d.startedAt.Add(d.settings.Load().Grace.Std() - exitReserve)
}

// expired reports whether the time for requests in flight is over.
func (d *drain) expired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !time.Now().Before(d.endLocked())
}

// wait blocks, after start, until the node rejects new requests and has none in flight, the grace period
// less exitReserve has passed, or ctx ends.
func (d *drain) wait(ctx context.Context) {
	d.logStage("lingering")
	defer d.logStage("done")
	rejecting := false
	for !d.expired() && !(d.closed() && d.idle()) {
		if d.closed() && !rejecting {
			rejecting = true
			d.logStage("refusing")
		}
		if !clock.Sleep(ctx, drainPoll) {
			return
		}
	}
}

// logStage logs a stage of draining.
func (d *drain) logStage(stage string) {
	d.mu.Lock()
	fields := event.Fields{"stage": stage, "in_flight": d.inFlight, "at_target": d.atTarget, "accepted_calls": d.acceptedCalls}
	d.mu.Unlock()
	d.log.Emit(eventDrain, fields)
}

// idle reports whether no request is in flight, and for drainIdleTime none was but those that
// were rejected.
func (d *drain) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight == 0 && time.Since(d.lastEnded) >= drainIdleTime
}
