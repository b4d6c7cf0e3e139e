package sidecar

import (
	"math"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/placement"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
)

// placementRequest holds what choosing a target needs to know of a request, besides the target.
type placementRequest struct {
	rank   int
	nested bool
	// runTime is the mean run time of the route, objectiveRemaining the time left until the
	// objective is missed.
	runTime            time.Duration
	objectiveRemaining time.Duration
	// answerBytes is the expected size of the answer, 0 if it is not known.
	answerBytes int64
	// occupancy is the mean number of requests per slot of the service's targets, and
	// remoteCost the cost of leaving the failure domain.
	occupancy  float64
	remoteCost float64
}

// full reports whether the target is expected to reject a request because of its load. Calls made
// by targets have priority over all others, so earlier rejections don't apply to them.
func (r *targetRecord) full(request *placementRequest, now time.Time) bool {
	return now.Before(r.fullUntil) && request.rank >= r.fullRank && !request.nested
}

// occupancy returns the mean number of requests per slot of the targets, weighted by the
// age of their load reports; 0 if there are none. The caller holds mu.
func (s *targetStats) occupancy(targets []*model.Target, now time.Time) float64 {
	var sum, weights float64
	for _, t := range targets {
		r := s.targets[t.ID]
		if r == nil || r.load.Slots == 0 || t.Leaving {
			continue
		}
		weight := decay(now.Sub(r.loadAt), loadHalfLife)
		sum += weight * float64(r.load.Running+r.load.Waiting) / float64(r.load.Slots)
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// candidate returns the placement candidate of a target. Its reported load decays towards the
// mean occupancy of the service, so that a target without a recent report does not count as
// idle while the service is busy. The caller holds mu.
func (s *targetStats) candidate(t *model.Target, r *targetRecord, request *placementRequest, now time.Time) placement.Candidate {
	loadAge := now.Sub(r.loadAt)
	slowdown := 1.0
	if r.load.Slowdown != 0 {
		slowdown = 1 + (r.load.Slowdown-1)*decay(loadAge, slowdownHalfLife)
	}
	estimateWeight := decay(now.Sub(r.estimatedAt), estimateHalfLife)
	factor := (1 + (r.relativeRunTime-1)*estimateWeight) * slowdown
	factor *= r.pace.Factor(now)
	if now.Before(r.coldUntil) {
		factor = max(factor, coldRunTimeFactor)
	}
	loadWeight := decay(loadAge, loadHalfLife)
	reported := float64(r.load.Running+r.load.Waiting)*loadWeight + request.occupancy*float64(t.Slots)*(1-loadWeight)
	c := placement.Candidate{
		Occupied:           max(reported+float64(r.sentSince), float64(r.inFlight)),
		Slots:              t.Slots,
		RunTime:            time.Duration(float64(request.runTime) * factor),
		ObjectiveRemaining: request.objectiveRemaining,
		RoundTrip:          time.Duration(float64(r.roundTrip)*estimateWeight) + r.currentLag(now),
		Throttled:          r.share.Until(1, now) > 0,
		Unavailable:        now.Before(r.cooldownUntil) || r.load.Leaving && loadAge < leavingCooldown,
	}
	if r.load.FailureRate != 0 {
		c.FailureRate = r.load.FailureRate * decay(loadAge, failureHalfLife)
	}
	if request.answerBytes >= uplink.LargeBytes {
		c.LinkWait = max(r.linkFreeAt.Sub(now), 0)
	}
	if t.Domain != s.domain {
		c.RemoteCost = request.remoteCost
	}
	return c
}

// decay returns the factor of an exponential decay after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
