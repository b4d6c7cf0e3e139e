package balancing

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
)

// targetState is the node's state of one target.
type targetState struct {
	service     string
	incarnation model.Incarnation
	// appearedAt is when the target was first seen; it is zero for targets that
	// were present when the balancer first saw their service.
	appearedAt  time.Time
	outstanding int
	reported    model.Load
	reportedAt  time.Time
	// picksSinceReport counts the picks since the last load report.
	picksSinceReport int
	// failures counts consecutive failures, ejections the ejections since the
	// last success.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// backoffs holds the callers whose calls the target has rejected, by name.
	backoffs map[string]callerBackoff
}

// callerBackoff is the time until which a target gets no calls of a caller whose call
// it rejected, and the reason of the rejection.
type callerBackoff struct {
	until  time.Time
	reason model.Reason
}

func (t *targetState) ejected(now time.Time) bool {
	return now.Before(t.ejectedUntil)
}

// maxBackoffs is the largest number of callers in backoff per target. A further one
// replaces them all.
const maxBackoffs = 1024

// balancer implements model.Balancer.
type balancer struct {
	settings *Settings
	self     model.Host
	fleet    model.Fleet

	ejections expvar.Int
	spilled   expvar.Int

	mu            sync.Mutex
	random        *rand.Rand
	targets       map[model.HostID]*targetState
	knownServices map[string]bool
}

func newBalancer(settings *Settings, self model.Host, fleet model.Fleet, random *rand.Rand) *balancer {
	return &balancer{
		settings:      settings,
		self:          self,
		fleet:         fleet,
		random:        random,
		targets:       map[model.HostID]*targetState{},
		knownServices: map[string]bool{},
	}
}

// Pick implements model.Balancer.
func (b *balancer) Pick(r model.PickRequest) (*model.Member, bool) {
	members := b.fleet.View().ByService[r.Service.Name]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trackMembers(r.Service.Name, members, r.Now)
	candidates := b.candidates(r, members)
	picked, ok := b.pickFrom(candidates)
	if !ok {
		return nil, false
	}
	t := b.targets[picked.member.ID]
	t.outstanding++
	t.picksSinceReport++
	return picked.member, true
}

func (b *balancer) pickFrom(candidates []candidate) (candidate, bool) {
	if b.settings.Policy == PolicyRandom {
		if len(candidates) == 0 {
			return candidate{}, false
		}
		return candidates[b.random.IntN(len(candidates))], true
	}
	picked, ok := choose(candidates, b.settings.SpillThreshold, b.random)
	if ok && len(candidates) > 0 && picked.distance > nearestDistance(candidates) {
		b.spilled.Add(1)
	}
	return picked, ok
}

func nearestDistance(candidates []candidate) distance {
	least := otherRegion
	for _, c := range candidates {
		least = min(least, c.distance)
	}
	return least
}

// trackMembers adds the targets that have no state yet and resets restarted ones.
// Restarted targets and those that appear in a known service are in slow start.
func (b *balancer) trackMembers(service string, members []*model.Member, now time.Time) {
	known := b.knownServices[service]
	b.knownServices[service] = true
	for _, m := range members {
		t := b.targets[m.ID]
		switch {
		case t == nil:
			t = &targetState{service: service, incarnation: m.Incarnation}
			if known {
				t.appearedAt = now
			}
			b.targets[m.ID] = t
		case t.incarnation == 0:
			t.incarnation = m.Incarnation
		case m.Incarnation != 0 && m.Incarnation != t.incarnation:
			b.resetTarget(t, m.Incarnation, now)
		}
	}
}

// resetTarget discards the state of the target's former process, except for the
// outstanding calls.
func (b *balancer) resetTarget(t *targetState, incarnation model.Incarnation, now time.Time) {
	*t = targetState{service: t.service, incarnation: incarnation, appearedAt: now, outstanding: t.outstanding}
}

// candidates returns the targets that may get an attempt: the healthy ones, or, if
// there are none, the ejected and suspected ones.
func (b *balancer) candidates(r model.PickRequest, members []*model.Member) []candidate {
	var healthy, fallback []candidate
	for _, m := range members {
		t := b.targets[m.ID]
		if m.State == model.MemberLeaving || m.State == model.MemberDead || m.Leaving || excluded(r.Exclude, m.ID) {
			continue
		}
		if r.Now.Before(t.backoffs[r.Caller].until) {
			continue
		}
		c := b.candidate(r.Service, m, t, r.Now)
		if m.State == model.MemberSuspected || t.ejected(r.Now) {
			fallback = append(fallback, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return fallback
}

func (b *balancer) candidate(s *config.Service, m *model.Member, t *targetState, now time.Time) candidate {
	return candidate{
		member:   m,
		distance: distanceOf(&b.self, &m.Host),
		load:     loadOf(t, s.Slots, s.SlowStart, now),
	}
}

func excluded(exclude []model.HostID, id model.HostID) bool {
	for _, other := range exclude {
		if other == id {
			return true
		}
	}
	return false
}

// RetryAfter implements model.Balancer.
func (b *balancer) RetryAfter(r model.PickRequest) (time.Duration, model.Reason) {
	members := b.fleet.View().ByService[r.Service.Name]
	b.mu.Lock()
	defer b.mu.Unlock()
	var earliest callerBackoff
	for _, m := range members {
		t := b.targets[m.ID]
		if t == nil {
			continue
		}
		backoff, known := t.backoffs[r.Caller]
		if !known || !r.Now.Before(backoff.until) {
			continue
		}
		if earliest.until.IsZero() || backoff.until.Before(earliest.until) {
			earliest = backoff
		}
	}
	if earliest.until.IsZero() {
		return 0, model.ReasonNone
	}
	return earliest.until.Sub(r.Now), earliest.reason
}

// Observe implements model.Balancer.
func (b *balancer) Observe(o model.TargetObservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[o.Host]
	if t == nil {
		return
	}
	t.outstanding = max(t.outstanding-1, 0)
	if o.Load != nil {
		t.reported, t.reportedAt, t.picksSinceReport = *o.Load, o.Now, 0
	}
	b.recordBackoff(t, o)
	switch {
	case o.Failed:
		b.recordFailure(t, o)
	case o.Outcome == model.OutcomeRan:
		t.failures, t.ejections = 0, 0
		t.ejectedUntil = time.Time{}
	}
}

// recordBackoff records how long a caller must avoid a target that rejected its call
// because of its rate or share.
func (b *balancer) recordBackoff(t *targetState, o model.TargetObservation) {
	if o.RetryAfter <= 0 || o.Reason != model.ReasonRateLimited && o.Reason != model.ReasonOverShare {
		return
	}
	if t.backoffs == nil || len(t.backoffs) >= maxBackoffs {
		t.backoffs = map[string]callerBackoff{}
	}
	t.backoffs[o.Caller] = callerBackoff{until: o.Now.Add(o.RetryAfter), reason: o.Reason}
}

// recordFailure counts a failure. An unreachable target is ejected at once, as
// ejection only lowers its preference. A target that fails otherwise is ejected
// after several consecutive failures, and only while few others of its service
// are ejected.
func (b *balancer) recordFailure(t *targetState, o model.TargetObservation) {
	t.failures++
	if t.ejected(o.Now) {
		return
	}
	unreachable := o.Reason == model.ReasonUnreachable || o.Reason == model.ReasonPeerLost
	if !unreachable && (t.failures < b.settings.ConsecutiveFailures || !b.canEject(t.service, o.Now)) {
		return
	}
	t.ejections++
	t.ejectedUntil = o.Now.Add(ejectionTime(t.ejections, b.settings.BaseEjectionTime.Std(), b.settings.MaxEjectionTime.Std()))
	b.ejections.Add(1)
}

func (b *balancer) canEject(service string, now time.Time) bool {
	all, ejected := 0, 0
	for _, t := range b.targets {
		if t.service != service {
			continue
		}
		all++
		if t.ejected(now) {
			ejected++
		}
	}
	return ejected < maxEjected(all, b.settings.MaxEjectedFraction)
}

// retain removes the state of targets that are not in the view.
func (b *balancer) retain(v *model.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.targets {
		if m := v.ByID[id]; m == nil || m.Service != t.service {
			delete(b.targets, id)
		}
	}
}

func (b *balancer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.targets)
}
