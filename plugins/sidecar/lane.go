package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
)

// lane is the way to one incarnation of the local target: its slots, its queue
// and its connections.
type lane struct {
	instance model.TargetID
	pool     *httpconn.Pool

	mu    sync.Mutex
	queue *slotqueue.Queue
	// timer ends the wait of the request that must start first.
	timer *time.Timer
	work  map[string]time.Duration
	fails average
}

func newLane(instance model.TargetID, slots int, pool *httpconn.Pool) *lane {
	l := &lane{
		instance: instance,
		pool:     pool,
		queue:    slotqueue.New(slots),
		work:     map[string]time.Duration{},
	}
	l.timer = time.AfterFunc(time.Hour, l.expire)
	l.timer.Stop()
	return l
}

// workWeight is the weight of the newest run time in the mean of a route.
const workWeight = 0.15

// failWeight is the weight of the newest result in the share of failures. A
// target that fails half of its requests is found out after a few of them.
const failWeight = 0.08

// verdict is what a waiting request is told.
type verdict struct {
	started bool
	wait    time.Duration
}

// waiter is the owner of a ticket.
type waiter struct {
	told chan verdict
}

// enter waits for a slot. Without one it returns the time after which there may
// be room.
func (l *lane) enter(ctx context.Context, t *slotqueue.Ticket, patient bool) (started bool, retryAfter time.Duration) {
	w := &waiter{told: make(chan verdict, 1)}
	t.Owner = w
	l.mu.Lock()
	outcome, wait := l.queue.Offer(t, patient, time.Now())
	l.arm()
	l.mu.Unlock()
	switch outcome {
	case slotqueue.Start:
		return true, 0
	case slotqueue.Refuse:
		return false, wait
	}
	select {
	case v := <-w.told:
		return v.started, v.wait
	case <-ctx.Done():
		return l.abandon(t, w), 0
	}
}

// abandon takes a request out of the queue. It returns true if it was started in
// the meantime.
func (l *lane) abandon(t *slotqueue.Ticket, w *waiter) bool {
	l.mu.Lock()
	waiting := l.queue.Leave(t)
	l.mu.Unlock()
	if waiting {
		return false
	}
	return (<-w.told).started
}

// leave ends a request that was started and starts those that have waited.
func (l *lane) leave(t *slotqueue.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tell(l.queue.Done(t, time.Now()), verdict{started: true})
	l.arm()
}

// resize changes the number of slots.
func (l *lane) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots != l.queue.Limit() {
		tell(l.queue.SetLimit(slots, time.Now()), verdict{started: true})
		l.arm()
	}
}

// expire refuses the requests whose time to start has passed.
func (l *lane) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	expired := l.queue.Expire(now)
	tell(expired, verdict{wait: l.queue.ExpectedWait(now)})
	l.arm()
}

// arm sets the timer to the next expiry. The caller holds mu.
func (l *lane) arm() {
	at, ok := l.queue.NextExpiry()
	if !ok {
		l.timer.Stop()
		return
	}
	l.timer.Reset(max(time.Until(at), 0) + time.Millisecond)
}

func tell(tickets []*slotqueue.Ticket, v verdict) {
	for _, t := range tickets {
		t.Owner.(*waiter).told <- v
	}
}

// expected returns how long the target is expected to work on a request of a
// route, a part of the objective while there is no experience.
func (l *lane) expected(route string, objective time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if work, ok := l.work[route]; ok {
		return work
	}
	return objective / 3
}

// observe takes in how a request ended at the target.
func (l *lane) observe(route string, worked time.Duration, whole, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole {
		mean, known := l.work[route]
		if !known {
			mean = worked
		}
		l.work[route] = mean + time.Duration(workWeight*float64(worked-mean))
	}
	l.fails.add(failed, failWeight)
}

// load returns the state of the target.
func (l *lane) load() load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return load{
		Running: l.queue.Running(),
		Waiting: l.queue.Waiting(),
		Slots:   l.queue.Limit(),
		Wait:    l.queue.ExpectedWait(time.Now()),
		Failing: l.fails.value,
	}
}

// close closes the connections once they are unused.
func (l *lane) close() {
	l.pool.Close()
}

// average is an exponential mean of events that happen or not.
type average struct {
	value float64
}

func (a *average) add(happened bool, weight float64) {
	sample := 0.0
	if happened {
		sample = 1
	}
	a.value += weight * (sample - a.value)
}
