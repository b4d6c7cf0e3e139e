package admission

import (
	"math"
	"time"
)

// rateCarryOver is the time for which a node accumulates an unused rate.
const rateCarryOver = 250 * time.Millisecond

// rateQuota is one node's quota of a caller's rate at a service. The quotas of all
// nodes add up to the rate, so nodes need no shared counter; entry nodes try
// other targets when one has used up its quota.
type rateQuota struct {
	// perSecond is the number of calls per second that the node may start.
	perSecond float64
	// depth is the depth of the token bucket, in calls.
	depth float64
}

// newRateQuota divides a rate and its burst over the nodes of the service.
func newRateQuota(rate float64, burst, nodes int) rateQuota {
	n := float64(max(nodes, 1))
	perSecond := rate / n
	return rateQuota{
		perSecond: perSecond,
		depth:     max(float64(burst)/n, 1) + perSecond*rateCarryOver.Seconds(),
	}
}

// rateBucket is a token bucket for the calls of one caller, filled at the node's
// quota of the caller's rate.
type rateBucket struct {
	quota      rateQuota
	tokens     float64
	refilledAt time.Time
}

// setQuota changes the quota; time up to now is credited at the former one. A new
// bucket is full.
func (b *rateBucket) setQuota(now time.Time, quota rateQuota) {
	if b.quota == quota {
		return
	}
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens = quota.depth
	} else {
		b.refill(now)
	}
	b.quota = quota
	b.tokens = min(b.tokens, quota.depth)
}

func (b *rateBucket) refill(now time.Time) {
	b.tokens = min(b.quota.depth, b.tokens+b.quota.perSecond*secondsSince(b.refilledAt, now))
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// take takes a token, or returns the time until one is available.
func (b *rateBucket) take(now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.quota.perSecond <= 0 {
		return false, durationOf(math.Inf(1))
	}
	return false, durationOf((1 - b.tokens) / b.quota.perSecond)
}

// refund returns the token of a call that did not start.
func (b *rateBucket) refund() {
	b.tokens = min(b.tokens+1, b.quota.depth)
}
