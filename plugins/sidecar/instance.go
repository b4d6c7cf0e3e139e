package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/pace"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
	"github.com/bronzemast/bronzemast/plugins/sidecar/warmup"
)

// instance is one incarnation of the local target, with its slots, queue, connections and
// run time estimates.
type instance struct {
	pool    *httpconn.Pool
	crashes *quarantine.Detector
	// isolation admits the requests that are suspected of causing crashes.
	isolation *quarantine.Isolation

	mu    sync.Mutex
	queue *slotqueue.Queue
	// timer fires when the next waiting request expires or may start.
	timer *time.Timer
	// meanRunTimes holds the mean run time of each route, without the current slowdown.
	meanRunTimes map[string]time.Duration
	// meanAnswerBytes holds the mean size of the answers of each route.
	meanAnswerBytes map[string]float64
	// slowdown is the lasting change of run times relative to their route's mean, and pace
	// that of the moment.
	slowdown    float64
	pace        pace.Pace
	failureRate decayingRate
	// onReachable, unless it is nil, is called when the target accepts connections again.
	onReachable func()
	// reachability tracks whether the target accepts connections.
	reachability reachability
	// replacedUntil is the time until which another instance is assumed to run at the
	// target's address.
	replacedUntil time.Time
	// startedAt is when this incarnation of the target started, zero if it is not known.
	startedAt time.Time
	// limit is the limit that the target names, heardAt when it or its absence was last
	// heard of, and leaving is set once the target has announced its shutdown.
	limit   ratelimit.Announced
	heardAt time.Time
	leaving bool
	// warmup limits the rate while the target is cold, and rateLimited is set while either
	// limit applies to the queue.
	warmup      warmup.Gate
	rateLimited bool
	// entryPosition and returnedAt are those of the target's entry that was last observed.
	entryPosition model.Position
	returnedAt    time.Time
	// health tracks the health check that tells whether the target is cold.
	health healthCheck
	// senders counts the nodes that share the limit.
	senders ratelimit.Senders
	// logged is the announcement that was last logged.
	logged loggedAnnouncement
}

func newInstance(slots int, pool *httpconn.Pool) *instance {
	inst := &instance{
		pool:         pool,
		crashes:      quarantine.NewDetector(),
		isolation:    quarantine.NewIsolation(),
		queue:        slotqueue.New(slots),
		meanRunTimes: map[string]time.Duration{},
		slowdown:     1,

		meanAnswerBytes: map[string]float64{},
	}
	inst.timer = time.AfterFunc(time.Hour, inst.advance)
	inst.timer.Stop()
	return inst
}

// admissionResult ends the wait of a request: either it has started, or it was rejected
// and wait is the expected wait of a new request.
type admissionResult struct {
	started bool
	wait    time.Duration
}

// waiter is the Owner of a ticket. Its channel receives one result and is buffered, so that
// sending never blocks.
type waiter struct {
	result chan admissionResult
}

// acquire waits for a slot. If the request is rejected, it returns the time after which a
// slot is expected, 0 if ctx ended.
func (i *instance) acquire(ctx context.Context, t *slotqueue.Ticket, maxQueueWait time.Duration) (started bool, retryAfter time.Duration) {
	w := &waiter{result: make(chan admissionResult, 1)}
	t.Owner = w
	i.mu.Lock()
	now := time.Now()
	i.applyLimit(now)
	outcome, wait := i.queue.Offer(t, maxQueueWait, now)
	i.armTimer()
	i.mu.Unlock()
	switch outcome {
	case slotqueue.Start:
		return true, 0
	case slotqueue.Reject:
		return false, wait
	}
	select {
	case v := <-w.result:
		return v.started, v.wait
	case <-ctx.Done():
		return i.abandon(t, w), 0
	}
}

// abandon removes a request from the queue. It returns true if the request was started in
// the meantime.
func (i *instance) abandon(t *slotqueue.Ticket, w *waiter) bool {
	i.mu.Lock()
	waiting := i.queue.Remove(t)
	i.mu.Unlock()
	if waiting {
		return false
	}
	return (<-w.result).started
}

// release frees the slot of a request and starts the requests that were waiting for it.
func (i *instance) release(t *slotqueue.Ticket) {
	i.mu.Lock()
	defer i.mu.Unlock()
	notify(i.queue.Done(t, time.Now()), admissionResult{started: true})
	i.armTimer()
}

// resize changes the number of slots, unless it is 0.
func (i *instance) resize(slots int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if slots > 0 && slots != i.queue.Limit() {
		notify(i.queue.SetLimit(slots, time.Now()), admissionResult{started: true})
		i.armTimer()
	}
}

// advance starts the requests that the rate allows for by now, and rejects those whose
// StartBy has passed.
func (i *instance) advance() {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.applyLimit(now)
	notify(i.queue.Fill(now), admissionResult{started: true})
	expired := i.queue.Expire(now)
	notify(expired, admissionResult{wait: i.queue.ExpectedWait(now)})
	i.armTimer()
}

// armTimer sets the timer to the next change of the queue. The caller holds mu.
func (i *instance) armTimer() {
	now := time.Now()
	at, ok := i.queue.NextChange(now)
	if !ok {
		i.timer.Stop()
		return
	}
	if change := i.warmup.NextChange(now); !change.IsZero() && change.Before(at) {
		at = change
	}
	i.timer.Reset(max(time.Until(at), 0) + time.Millisecond)
}

// notify sends a result to the owners of tickets.
func notify(tickets []*slotqueue.Ticket, v admissionResult) {
	for _, t := range tickets {
		t.Owner.(*waiter).result <- v
	}
}

// fullReason returns the reason for which a request is rejected that can't start in time.
func (i *instance) fullReason() model.Reason {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.queue.RateBinds(time.Now()) {
		return model.ReasonTargetLimited
	}
	return model.ReasonOverloaded
}

// load returns the current load report of the target.
func (i *instance) load() load {
	i.mu.Lock()
	defer i.mu.Unlock()
	return load{
		Running:     i.queue.Running(),
		Waiting:     i.queue.Waiting(),
		Slots:       i.queue.Limit(),
		Wait:        i.queue.ExpectedWait(time.Now()),
		FailureRate: i.failureRate.at(time.Now()),
		Slowdown:    i.slowdown,
	}
}

// close closes the connections once they are unused.
func (i *instance) close() {
	i.pool.Close()
}
