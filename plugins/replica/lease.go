package replica

import (
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// storeFailureTTL is how long a failed call to the store counts as evidence of an outage:
// the longest time between the failures of two calls of one node, with some margin.
const storeFailureTTL = 4 * time.Second

// freshness holds what is known about how recent the copy is, and whether the store is in
// an outage. It does no I/O and is not safe for concurrent use.
type freshness struct {
	// confirmed is the latest time at which the copy is known to have been up to date.
	confirmed time.Time
	// failure is this node's last failed call to the store.
	failure storeFailure
	// reportedAt is when a call to the store last failed according to another node.
	reportedAt time.Time
	// newestPosition is the latest position that another node has reported.
	newestPosition model.Position
}

// storeFailure is the last failed call to the store.
type storeFailure struct {
	startedAt, endedAt time.Time
	// corroborated is set if other nodes have called the store since the first failure in
	// a row, and it failed for them as well.
	corroborated bool
}

// confirm records that the copy was up to date at a time.
func (f *freshness) confirm(at time.Time) {
	f.confirmed = latest(f.confirmed, at)
}

// recordFailure records a call of this node to the store that has failed, or is overdue, at
// endedAt. A call that started before the last failed one adds nothing.
func (f *freshness) recordFailure(startedAt, endedAt time.Time) {
	f.failure.startedAt = latest(f.failure.startedAt, startedAt)
	f.failure.endedAt = latest(f.failure.endedAt, endedAt)
}

// recordVerification records how many nodes have called the store at this node's request, by
// whether the store failed. One response shows that the store is not in an outage.
func (f *freshness) recordVerification(failed, responded, hosts int) {
	switch {
	case responded > 0:
		f.failure = storeFailure{}
	case failed >= requiredFailures(hosts):
		f.failure.corroborated = true
	}
}

// maxRequiredFailures is the number of failed calls of other nodes that show an outage in all
// but the smallest fleets. The store may reject a few hosts and serve all others.
const maxRequiredFailures = 3

// requiredFailures returns the number of failed calls of other nodes that show an outage, in a
// fleet with the given number of hosts: fewer than half of the others, as some may be down.
func requiredFailures(hosts int) int {
	return max(1, min(maxRequiredFailures, (hosts-1)/2))
}

// recordSuccess records a successful call of this node to the store.
func (f *freshness) recordSuccess() { f.failure = storeFailure{} }

// recordPeer records a response of another node: when its copy was last up to date, and
// when a call to the store last failed as far as it knows, zero if none did.
func (f *freshness) recordPeer(confirmed, failedAt time.Time) {
	f.reportedAt = latest(f.reportedAt, failedAt)
	if confirmed.After(f.failure.startedAt) {
		f.failure = storeFailure{} // the store responds to others
	}
}

// storeFailedAt returns when a call to the store last failed in an outage that this node
// knows of, zero if it knows of none. Failures before the copy was last up to date do not
// count.
func (f *freshness) storeFailedAt() time.Time {
	failedAt := f.reportedAt
	if f.failure.corroborated {
		failedAt = latest(failedAt, f.failure.endedAt)
	}
	if !failedAt.After(f.confirmed) {
		return time.Time{}
	}
	return failedAt
}

// expiry returns the time until which requests may be routed by the copy. This is
// maxStaleness after the copy was last known to be up to date, so that a node that cannot
// learn of changes does not act on an old configuration. During an outage of the store,
// when no node can learn of changes, the copy remains usable, unless another node has a
// later position.
func (f *freshness) expiry(position model.Position, maxStaleness time.Duration) time.Time {
	until := f.confirmed.Add(maxStaleness)
	failedAt := f.storeFailedAt()
	if f.newestPosition.After(position) || f.confirmed.IsZero() || failedAt.IsZero() {
		return until
	}
	return latest(until, failedAt.Add(storeFailureTTL))
}

// lease holds the time until which requests may be routed by the copy. It is safe for
// concurrent use.
type lease struct {
	// origin is the time to which the expiry is relative. It must be set before use.
	origin time.Time
	// expiry is in nanoseconds after origin.
	expiry atomic.Int64
	// unlimited is set while the node knows no other one that could have a later copy.
	unlimited atomic.Bool
}

func (l *lease) extendTo(expiry time.Time, unlimited bool) {
	l.expiry.Store(int64(expiry.Sub(l.origin)))
	l.unlimited.Store(unlimited)
}

// valid reports whether the lease covers the present time.
func (l *lease) valid() bool {
	return l.unlimited.Load() || int64(time.Since(l.origin)) < l.expiry.Load()
}

// Current implements model.Replica.
func (r *Replica) Current() bool { return r.lease.valid() }

// renewLease recomputes the time until which requests may be routed by the copy. The
// caller holds mu.
func (r *Replica) renewLease() {
	expiry := r.fresh.expiry(r.copy.position, r.settings.MaxStaleness.Std())
	r.lease.extendTo(expiry, !r.hasPeers() && !r.fresh.confirmed.IsZero())
}

// hasPeers reports whether the list of targets contains another host.
func (r *Replica) hasPeers() bool {
	for _, host := range r.list.Load().Hosts {
		if host.Address != r.self {
			return true
		}
	}
	return false
}
