package replica

import "time"

// outage tracks whether the store is unreachable. During an outage entries lapse although
// their targets are alive, because these cannot renew them. A store that cannot be reached
// from this node alone is not in an outage. It does no I/O.
type outage struct {
	// failures counts the consecutive failed calls, the last one at failedAt.
	failures int
	failedAt time.Time
	// localOnly is set when another node had a fresh copy after the last failure.
	localOnly bool
	// endedAt is the end of the last outage, zero if there was none.
	endedAt time.Time
}

const (
	// maxCallInterval is the longest time between two calls to the store during an outage:
	// the timeout of a watch, a call to another node and the pause. An older failure does
	// not show that the store was still unreachable.
	maxCallInterval = 5 * time.Second
	// freshAge is the age up to which another node's copy shows that the store responds.
	// A reader's watch of the store takes up to 1 s.
	freshAge = 1500 * time.Millisecond
)

// recordFailure records a failed call to the store.
func (o *outage) recordFailure(now time.Time) {
	o.failures++
	o.failedAt = now
	o.localOnly = false
}

// recordPeerAge records the age of another node's copy.
func (o *outage) recordPeerAge(age time.Duration) {
	o.localOnly = o.localOnly || age < freshAge
}

// recordSuccess records a successful call to the store, which ends an outage. It returns
// the number of consecutive failures before it.
func (o *outage) recordSuccess(now time.Time) (failures int) {
	failures = o.failures
	if failures > 0 && !o.localOnly && now.Sub(o.failedAt) < maxCallInterval {
		o.endedAt = now
	}
	o.failures = 0
	return failures
}

// recordPeerOutage records how long ago another node saw an outage end, 0 if it saw none.
// It only counts if this node's own copy is stale: a copy that stayed fresh shows that the
// store was reachable.
func (o *outage) recordPeerOutage(sinceEnd time.Duration, stale bool, now time.Time) {
	if sinceEnd > 0 && stale {
		o.endedAt = latest(o.endedAt, now.Add(-sinceEnd))
	}
}

// since returns the time since the end of the last outage, 0 if there was none.
func (o *outage) since(now time.Time) time.Duration {
	if o.endedAt.IsZero() {
		return 0
	}
	return now.Sub(o.endedAt)
}
