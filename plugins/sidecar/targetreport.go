package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// attemptStarted records that a request is sent to a target.
func (s *targetStats) attemptStarted(t *model.Target, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.target(t, now)
	r.sentSince++
	r.inFlight++
	r.share.Take(now)
}

// attemptEnded updates the estimates by the answer of an attempt that took the given time.
func (s *targetStats) attemptEnded(t *model.Target, c *call, a *answer, took time.Duration, now time.Time) {
	route := c.route.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.target(t, now)
	defer s.logStateChange(t, r, now)
	r.inFlight--
	if a.Version == 0 { // no report from the peer
		if a.Outcome == model.OutcomeNotRun || a.Reason == model.ReasonPeerLost {
			r.peer.recordFailure(now)
		}
		r.recordUnanswered(took-s.meanRunTime(route, c.route.Objective), now)
		return
	}
	r.peer.recordAnswer()
	switch a.Reason {
	case model.ReasonUnreachable, model.ReasonNoTarget, model.ReasonEvacuated, model.ReasonNoMemory:
		r.startCooldown(now)
	default:
		r.cooldown, r.cooldownUntil = 0, time.Time{}
	}
	// The report may have been on its way for the whole of the round trip.
	roundTrip := max(took-a.TimeAtNode, 0)
	r.load, r.loadAt, r.sentSince = a.Load, now.Add(-roundTrip), 0
	s.updateState(t, r, a.announced, now.Add(-roundTrip), now)
	switch {
	case a.FullFor > 0 && a.Reason == model.ReasonLinkFull:
		r.recordLinkFull(a.FullFor, now)
	case a.FullFor > 0:
		r.fullUntil, r.fullRank = now.Add(s.fullFor(r, t, c.route, a.FullFor)), c.route.Rank
	}
	s.route(route).nested, s.route(route).service = a.Nested, c.service
	if a.Outcome == model.OutcomeRan && !a.Failed {
		s.updateRunTime(r, route, a)
		s.route(route).recordAnswerBytes(a.body.size())
	}
	r.estimatedAt = now
	if a.TimeAtNode > 0 && roundTrip > 0 && t.Address.Addr() != s.self {
		r.lag, r.lagAt = max(roundTrip-r.roundTrip, 0), now
		r.updateRoundTrip(roundTrip)
	}
}

// recordUnanswered records that the node beside the target has not answered for a time beyond
// the expected one. That time is only a lower bound of the lag.
func (r *targetRecord) recordUnanswered(overdue time.Duration, now time.Time) {
	if overdue > r.currentLag(now) {
		r.lag, r.lagAt = overdue, now
	}
}

// currentLag returns the lag as of now. It decays, so that the node gets requests again that
// show whether it still lags.
func (r *targetRecord) currentLag(now time.Time) time.Duration {
	if r.lag == 0 {
		return 0
	}
	return time.Duration(float64(r.lag) * decay(now.Sub(r.lagAt), lagHalfLife))
}

// updateRoundTrip updates the round-trip time by a sample. Outliers, such as those caused by
// a paused process, are clipped.
func (r *targetRecord) updateRoundTrip(sample time.Duration) {
	sample = min(sample, outlierFactor*max(r.roundTrip, initialRoundTrip))
	r.roundTrip += time.Duration(roundTripWeight * float64(sample-r.roundTrip))
}

// updateRunTime updates the target's relative run time and the route's mean by a run. If the node
// beside the target reports its own mean, that counts instead of the single run; otherwise the
// slowdown that it reports is divided out.
func (s *targetStats) updateRunTime(r *targetRecord, route string, a *answer) {
	normalized := float64(a.RunTime) / max(r.load.Slowdown, minRunTimeFactor)
	weight := relativeRunTimeWeight
	if a.announced.MeanRunTime > 0 {
		normalized = float64(a.announced.MeanRunTime)
		weight = reportedRunTimeWeight
	}
	rr := s.route(route)
	if rr.meanRunTime == 0 {
		rr.meanRunTime = time.Duration(normalized)
	}
	r.relativeRunTime += weight * (normalized/float64(max(rr.meanRunTime, time.Millisecond)) - r.relativeRunTime)
	rr.meanRunTime += time.Duration(runTimeWeight * (normalized/max(r.relativeRunTime, minRunTimeFactor) - float64(rr.meanRunTime)))
}

// minRunTimeFactor is the least divisor of run times. It keeps a run that ended at once from
// making a target look idle.
const minRunTimeFactor = 0.1

// markUnreachable keeps requests from a target whose peer does not answer.
func (s *targetStats) markUnreachable(t *model.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.target(t, now)
	r.peer.recordFailure(now)
	s.logStateChange(t, r, now)
}

// recordProbe records whether the node beside a target has answered a probe.
func (s *targetStats) recordProbe(t *model.Target, alive bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.target(t, now)
	r.peer.recordProbe(alive, now)
	s.logStateChange(t, r, now)
}

// startCooldown makes a target that its peer can't reach, or doesn't know, the last choice.
// Consecutive cooldowns double in length.
func (r *targetRecord) startCooldown(now time.Time) {
	r.cooldown = min(max(2*r.cooldown, minCooldown), maxCooldown)
	r.cooldownUntil = now.Add(r.cooldown)
}
