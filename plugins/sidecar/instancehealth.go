package sidecar

import (
	"context"
	"time"
)

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
	if err == nil && i.onReachable != nil {
		go i.onReachable()
	}
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
