package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
)

// drain takes the node out of service without cutting off a request.
type drain struct {
	settings *Settings
	started  atomic.Bool

	mu       sync.Mutex
	inFlight int
	// lastLeft is when a request last ended.
	lastLeft time.Time
}

// drainPoll is how often a draining node looks whether it is done.
const drainPoll = 50 * time.Millisecond

func (d *drain) enter() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.lastLeft = time.Now()
}

func (d *drain) draining() bool { return d.started.Load() }

// wait returns once no request is in flight and callers have had the time to
// learn that the node leaves, or at the end of the grace period.
func (d *drain) wait(ctx context.Context) {
	began := time.Now()
	limit := began.Add(d.settings.Grace.Std())
	for time.Now().Before(limit) {
		if time.Since(began) >= d.settings.Linger.Std() && d.idle() {
			return
		}
		if !clock.Sleep(ctx, drainPoll) {
			return
		}
	}
}

// idle reports whether no request is in flight, nor was a moment ago.
func (d *drain) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight == 0 && time.Since(d.lastLeft) >= drainQuiet
}

// drainQuiet is the time without requests after which a draining node is idle.
const drainQuiet = 300 * time.Millisecond
