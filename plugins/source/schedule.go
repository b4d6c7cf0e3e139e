package source

import (
	"math/rand/v2"
	"time"
)

// action is what a node does next for one key of the platform.
type action uint8

const (
	// actionIdle waits before the next decision.
	actionIdle action = iota
	// actionWatch watches the key: the platform answers on a change, or when
	// the wait ends.
	actionWatch
	// actionRead reads the value once.
	actionRead
)

// step is the next action. wait is the time to idle or the wait of the watch.
type step struct {
	action action
	wait   time.Duration
}

const (
	// maxIdleWait is the longest time between two decisions.
	maxIdleWait = 500 * time.Millisecond
	// watchJitter is the largest fraction by which the wait of a watch is
	// shortened at random, so that nodes do not renew their watches together.
	watchJitter = 0.25
)

// schedule decides when a node calls the platform for one key. The caller passes
// the time and the source of randomness.
type schedule struct {
	policy policy
	// wait is the longest wait of a watch.
	wait time.Duration
	// failures is the number of consecutive failures.
	failures int
	// notBefore is the end of the back-off.
	notBefore time.Time
	// starvedDue is the time from which a starved node may read; zero if it is
	// not starved.
	starvedDue time.Time
}

// decide returns the next step of a node with the given assignment. starved is set
// if the node has to read although it is not a reader.
func (s *schedule) decide(now time.Time, assigned assignment, starved bool, r *rand.Rand) step {
	if !assigned.reader {
		return s.decideStarved(now, assigned, starved, r)
	}
	s.starvedDue = time.Time{}
	if wait := s.notBefore.Sub(now); wait > 0 {
		return idle(wait)
	}
	return step{action: actionWatch, wait: s.wait - scale(s.wait, watchJitter*r.Float64())}
}

// decideStarved returns the next step of a node that is not a reader. It reads only
// while its peers do not supply it. All nodes may starve at the same time, so each
// first waits for a random part of the fleet's spreadTime.
func (s *schedule) decideStarved(now time.Time, assigned assignment, starved bool, r *rand.Rand) step {
	if !starved {
		s.starvedDue = time.Time{}
		return idle(maxIdleWait)
	}
	if s.starvedDue.IsZero() {
		s.starvedDue = now.Add(jitter(s.policy.spreadTime(assigned), r))
	}
	if wait := max(s.starvedDue.Sub(now), s.notBefore.Sub(now)); wait > 0 {
		return idle(wait)
	}
	return step{action: actionRead}
}

func idle(wait time.Duration) step {
	return step{action: actionIdle, wait: min(wait, maxIdleWait)}
}

// recordResult updates the schedule after a call has ended.
func (s *schedule) recordResult(now time.Time, assigned assignment, failed bool, r *rand.Rand) {
	if failed {
		s.failures++
		s.notBefore = now.Add(s.policy.backoff(assigned, s.failures, r))
		return
	}
	s.failures = 0
	s.notBefore = time.Time{}
	if !s.starvedDue.IsZero() {
		pause := starvedPauseFactor * s.policy.spreadTime(assigned)
		s.starvedDue = now.Add(pause/2 + jitter(pause, r))
	}
}
