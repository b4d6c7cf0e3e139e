package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
)

// drain takes the node out of service without cutting off a request. For a while
// it takes in requests as before, so that its callers and peers learn that it
// leaves; then it refuses new ones and waits for those in flight.
type drain struct {
	settings *live
	log      *event.Log

	mu       sync.Mutex
	began    time.Time
	inFlight int
	// lastLeft is when a request last ended.
	lastLeft time.Time
}

const (
	// drainPoll is how often a draining node looks whether it is done.
	drainPoll = 20 * time.Millisecond
	// drainQuiet is the time without requests after which a draining node is done.
	drainQuiet = 100 * time.Millisecond
	// exitTime is left of the grace period for the end of the process.
	exitTime = 200 * time.Millisecond
)

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

func (d *drain) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.began.IsZero() {
		d.began = time.Now()
	}
}

// draining reports whether the node is leaving.
func (d *drain) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.began.IsZero()
}

// closed reports whether the node refuses new requests.
func (d *drain) closed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.began.IsZero() && time.Since(d.began) >= d.settings.Load().Linger.Std()
}

// wait returns once the node refuses new requests and has none in flight, or at
// the end of the grace period.
func (d *drain) wait(ctx context.Context) {
	d.say("lingering")
	defer d.say("done")
	limit := time.Now().Add(d.settings.Load().Grace.Std() - exitTime)
	refusing := false
	for time.Now().Before(limit) && !(d.closed() && d.idle()) {
		if d.closed() && !refusing {
			refusing = true
			d.say("refusing")
		}
		if !clock.Sleep(ctx, drainPoll) {
			return
		}
	}
}

// say logs a stage of leaving.
func (d *drain) say(stage string) {
	d.mu.Lock()
	inFlight := d.inFlight
	d.mu.Unlock()
	d.log.Emit(eventDrain, event.Fields{"stage": stage, "in_flight": inFlight})
}

// idle reports whether no request is in flight, nor was a moment ago.
func (d *drain) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight == 0 && time.Since(d.lastLeft) >= drainQuiet
}
