package sidecar

import "time"

// reachability tracks whether a peer, or the local target, answers. A request that is sent
// to a partitioned, dead or hung endpoint is lost or delayed, so after a failure the endpoint
// gets no requests until it has answered a probe. It does no I/O.
type reachability struct {
	unreachable bool
	probing     bool
	// nextProbe is the earliest time of the next probe, and backoff the delay that led to
	// it.
	nextProbe time.Time
	backoff   time.Duration
}

const (
	// minProbeBackoff is the time from the first failure to the first probe, which is
	// about what a node needs to restart.
	minProbeBackoff = 250 * time.Millisecond
	// maxProbeBackoff bounds the time between two probes, and so how long a recovered
	// node gets no requests.
	maxProbeBackoff = 2 * time.Second
)

// recordFailure records an unanswered request or probe and doubles the backoff.
func (r *reachability) recordFailure(now time.Time) {
	r.unreachable = true
	r.backoff = min(max(2*r.backoff, minProbeBackoff), maxProbeBackoff)
	r.nextProbe = now.Add(r.backoff)
}

// recordAnswer records an answer and resets the backoff.
func (r *reachability) recordAnswer() {
	*r = reachability{probing: r.probing}
}

// retryAfter returns the time until the next probe of an unreachable node, plus
// minProbeBackoff for its answer.
func (r *reachability) retryAfter(now time.Time) time.Duration {
	return max(r.nextProbe.Sub(now), 0) + minProbeBackoff
}

// startProbe reports whether a probe is due and none is running. If so, the caller probes
// the node and passes the result to recordProbe.
func (r *reachability) startProbe(now time.Time) bool {
	if !r.unreachable || r.probing || now.Before(r.nextProbe) {
		return false
	}
	r.probing = true
	return true
}

// recordProbe records the result of a probe.
func (r *reachability) recordProbe(alive bool, now time.Time) {
	r.probing = false
	if alive {
		r.recordAnswer()
	} else {
		r.recordFailure(now)
	}
}
