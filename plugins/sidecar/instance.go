package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
)

// instance is one incarnation of the local target, with its slots, queue, connections and
// run time estimates.
type instance struct {
	pool *httpconn.Pool

	mu    sync.Mutex
	queue *slotqueue.Queue
	// timer fires when the next waiting request expires or may start.
	timer *time.Timer
	// meanRunTimes holds the mean run time of each route, without the current slowdown.
	meanRunTimes map[string]time.Duration
	// slowdown is the current run time of requests relative to their route's mean.
	slowdown    float64
	failureRate decayingRate
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
	// senders counts the nodes that share the limit.
	senders ratelimit.Senders
	// logged is the announcement that was last logged.
	logged loggedAnnouncement
}

func newInstance(slots int, pool *httpconn.Pool) *instance {
	inst := &instance{
		pool:         pool,
		queue:        slotqueue.New(slots),
		meanRunTimes: map[string]time.Duration{},
		slowdown:     1,
	}
	inst.timer = time.AfterFunc(time.Hour, inst.advance)
	inst.timer.Stop()
	return inst
}

const (
	// runTimeWeight is the weight of a new run time in the mean of its route.
	runTimeWeight = 0.05
	// slowdownWeight is the weight of a new run in the target's slowdown. Samples that
	// differ from the current value by more than outlierFactor, in either direction, have
	// outlierWeight instead, so that a slow target is detected after a few runs and a
	// recovered one as quickly.
	slowdownWeight = 0.1
	outlierFactor  = 3
	outlierWeight  = 0.25
	// maxSlowdown bounds the sample of a single run.
	maxSlowdown = 20
)

// failureWeight is the weight of a new result in the failure rate. A target that fails half
// of its requests is detected after a few of them.
const failureWeight = 0.08

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
	outcome, wait := i.queue.Offer(t, maxQueueWait, time.Now())
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
	notify(i.queue.Fill(now), admissionResult{started: true})
	expired := i.queue.Expire(now)
	notify(expired, admissionResult{wait: i.queue.ExpectedWait(now)})
	i.armTimer()
}

// armTimer sets the timer to the next change of the queue. The caller holds mu.
func (i *instance) armTimer() {
	at, ok := i.queue.NextChange(time.Now())
	if !ok {
		i.timer.Stop()
		return
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

// expectedRunTime returns the expected run time of a request of a route: the route's mean
// times the current slowdown. Without samples it assumes a third of the objective.
func (i *instance) expectedRunTime(route string, objective time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	runTime, ok := i.meanRunTimes[route]
	if !ok {
		runTime = objective / 3
	}
	return time.Duration(float64(runTime) * i.slowdown)
}

// recordRun records a run that ended with a complete answer.
func (i *instance) recordRun(route string, runTime time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	normalized := time.Duration(float64(runTime) / i.slowdown)
	mean, known := i.meanRunTimes[route]
	if !known {
		i.meanRunTimes[route] = normalized
		return
	}
	i.recordSlowdown(float64(runTime) / float64(max(mean, time.Millisecond)))
	i.meanRunTimes[route] = mean + time.Duration(runTimeWeight*float64(normalized-mean))
}

// recordUnfinishedRun records a run that was canceled after a time. That time is only a
// lower bound of the run time, so it counts only if it exceeds the current slowdown.
func (i *instance) recordUnfinishedRun(route string, runTime time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	mean, known := i.meanRunTimes[route]
	if !known {
		return
	}
	if sample := float64(runTime) / float64(max(mean, time.Millisecond)); sample > i.slowdown {
		i.recordSlowdown(sample)
	}
}

// recordSlowdown updates the slowdown by a run time relative to the mean of its route. The
// caller holds mu.
func (i *instance) recordSlowdown(sample float64) {
	sample = min(sample, maxSlowdown)
	weight := slowdownWeight
	if sample > outlierFactor*i.slowdown || i.slowdown > outlierFactor*sample {
		weight = outlierWeight
	}
	i.slowdown += weight * (sample - i.slowdown)
}

// recordResult updates the failure rate by whether the target failed a request.
func (i *instance) recordResult(failed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failureRate.add(failed, time.Now())
}

// recordUnreachable records that the target did not accept a connection.
func (i *instance) recordUnreachable() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.recordFailure(time.Now())
	i.failureRate.add(true, time.Now())
}

// recordAnswer records that the target has answered.
func (i *instance) recordAnswer() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.recordAnswer()
}

// unreachableFor returns how long the target is expected to accept no connections, 0 if it
// is reachable. It starts a connection attempt in the background when one is due.
func (i *instance) unreachableFor() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if !i.reachability.unreachable {
		return 0
	}
	if i.reachability.startProbe(now) {
		go i.probe()
	}
	return i.reachability.retryAfter(now)
}

// probe probes an unreachable target by opening a connection.
func (i *instance) probe() {
	err := i.pool.Connect(context.Background()) // the pool applies the connect timeout
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.recordProbe(err == nil, time.Now())
}

// replacedTimeout is how long an instance is considered replaced after another instance has
// answered in its place. It is limited because an instance may, rarely, return under its ID.
const replacedTimeout = time.Second

// recordReplaced records that another instance has answered.
func (i *instance) recordReplaced() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.replacedUntil = time.Now().Add(replacedTimeout)
}

// isReplaced reports whether another instance has answered within replacedTimeout.
func (i *instance) isReplaced() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Now().Before(i.replacedUntil)
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

// decayingRate is an exponentially weighted rate of a yes-or-no event. It also decays with
// time, so that old results don't count against a target that gets few requests.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// at returns the rate as of a time.
func (r *decayingRate) at(now time.Time) float64 {
	return r.value * decay(now.Sub(r.updatedAt), failureHalfLife)
}

func (r *decayingRate) add(happened bool, now time.Time) {
	sample := 0.0
	if happened {
		sample = 1
	}
	value := r.at(now)
	r.value = value + failureWeight*(sample-value)
	r.updatedAt = now
}
