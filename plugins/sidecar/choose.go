package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/placement"
)

// choice is the target selected for an attempt, or the reason why there is none.
type choice struct {
	target *model.Target
	// candidate is the node's estimate of the target's state, and loadAge the age of
	// the load report that it is based on.
	candidate placement.Candidate
	loadAge   time.Duration
	// maxQueueWait bounds the time that the request may wait for a slot: if another
	// target appears to have a free slot, the time that trying that one takes.
	maxQueueWait time.Duration
	// If target is nil, fullFor is how long the targets are expected to stay full, and
	// unreachableFor how long until an unreachable peer may be usable again. The call is
	// then rejected without an attempt.
	fullFor        time.Duration
	unreachableFor time.Duration
	// evacuated is set if targets are in a failure domain that an operator evacuates.
	evacuated bool
	// limited is set if fullFor is due to the rate that a target accepts, linkFull if it is
	// due to the link of a target.
	limited  bool
	linkFull bool
}

// choose returns the target with the lowest cost among those eligible for a call.
func (s *targetStats) choose(c *call, targets []*model.Target, random float64, now time.Time) choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A request that has missed its objective is placed as if the whole objective
	// remained.
	objectiveRemaining := c.objectiveDeadline.Sub(now)
	if objectiveRemaining <= 0 {
		objectiveRemaining = c.route.Objective
	}
	occupancy := s.occupancy(targets, now)
	if c.overheadExceeded(occupancy) {
		return choice{fullFor: max(c.fullRetryAfter, time.Millisecond)}
	}
	request := placementRequest{
		rank:               c.route.Rank,
		nested:             s.route(c.route.Name).nested,
		runTime:            s.meanRunTime(c.route.Name, c.route.Objective),
		objectiveRemaining: objectiveRemaining,
		answerBytes:        int64(s.route(c.route.Name).meanAnswerBytes),
		occupancy:          occupancy,
		remoteCost:         s.settings.Load().RemoteCost,
	}
	var noTarget choice
	eligible, candidates := s.eligible[:0], s.candidates[:0]
	for _, t := range targets {
		if t.Evacuated {
			noTarget.evacuated = true
			continue
		}
		if t.Leaving || c.excludedTargets[t.ID] || !c.route.Allows(t.Region) || s.departures.includes(t) {
			continue
		}
		r := s.target(t, now)
		if wait := s.unreachableFor(t, r, now); wait > 0 {
			noTarget.unreachableFor = minNonZero(noTarget.unreachableFor, wait)
			continue
		}
		if r.full(&request, now) {
			noTarget.addFull(r, now)
			continue
		}
		if r.linkFull(&request, now) {
			noTarget.addLinkFull(r.linkFullUntil.Sub(now))
			continue
		}
		candidate := s.candidate(t, r, &request, now)
		candidate.Rejected = c.fullTargets[t.ID]
		eligible = append(eligible, t)
		candidates = append(candidates, candidate)
	}
	s.eligible, s.candidates = eligible, candidates
	i := s.place(c, eligible, candidates, random)
	if i < 0 {
		return noTarget
	}
	chosen := choice{
		target:       eligible[i],
		candidate:    candidates[i],
		loadAge:      now.Sub(s.target(eligible[i], now).loadAt),
		maxQueueWait: maxQueueWait(candidates, i, c.route.Timeout),
	}
	if c.isolated {
		chosen.maxQueueWait = c.route.Timeout // the request may go to no other target
	}
	return chosen
}

// place returns the index of the target for a call, -1 if there is none.
func (s *targetStats) place(c *call, eligible []*model.Target, candidates []placement.Candidate, random float64) int {
	if !c.isolated {
		return s.placer.Choose(candidates, random)
	}
	ids := make([]string, len(eligible))
	for i, t := range eligible {
		ids[i] = string(t.ID)
	}
	return quarantine.IsolationTarget(c.fingerprint(), ids)
}

// addFull records that a target is full. The node offers no request to a target that limits
// its rate before fullUntil, though others may have room there sooner.
func (c *choice) addFull(r *targetRecord, now time.Time) {
	wait := max(r.load.Wait, time.Millisecond)
	if r.state.Limited {
		wait = max(wait, r.fullUntil.Sub(now))
	}
	if c.fullFor == 0 || wait < c.fullFor {
		c.fullFor, c.limited, c.linkFull = wait, r.state.Limited, false
	}
}

// addLinkFull records that the link of a target is full for a time.
func (c *choice) addLinkFull(wait time.Duration) {
	if c.fullFor == 0 || wait < c.fullFor {
		c.fullFor, c.limited, c.linkFull = wait, false, true
	}
}

// maxOverheadShare is the share of a route's objective that a request may spend on
// attempts at full targets. Beyond it, a further attempt is likely to cost the caller more
// time than it saves.
const maxOverheadShare = 0.125

// overheadExceeded reports whether a request that full targets have rejected is not to be
// offered to another one: the service is full on average, and the attempts have used up
// their share of the objective, as they do when the nodes themselves are busy.
func (c *call) overheadExceeded(occupancy float64) bool {
	if len(c.fullTargets) == 0 || occupancy < 1 {
		return false
	}
	return float64(c.overhead) >= maxOverheadShare*float64(c.route.Objective)
}

// minNonZero returns the shorter of two durations, where 0 means unset.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// unreachableFor returns how long the peer of a target is expected to stay unreachable,
// 0 if it is reachable. It starts a probe when one is due. The caller holds mu.
func (s *targetStats) unreachableFor(t *model.Target, r *targetRecord, now time.Time) time.Duration {
	if !r.peer.unreachable {
		return 0
	}
	if r.peer.startProbe(now) {
		s.probe(t)
	}
	return r.peer.retryAfter(now)
}

// maxQueueWait returns how long a request may wait for a slot of the chosen target: two
// round trips, one to that target and one to an alternative, or the whole timeout if
// there is no alternative.
func maxQueueWait(candidates []placement.Candidate, chosen int, timeout time.Duration) time.Duration {
	if !placement.HasAlternative(candidates, chosen) {
		return timeout
	}
	const roundTrips = 2
	return roundTrips * candidates[chosen].RoundTrip
}
