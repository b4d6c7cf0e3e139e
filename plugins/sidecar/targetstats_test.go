package sidecar

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

var (
	begin     = time.Unix(1_000_000, 0)
	statsCall = &call{
		route:             &ingress.Route{Name: "r", Objective: 600 * time.Millisecond, Timeout: 2 * time.Second},
		objectiveDeadline: begin.Add(600 * time.Millisecond),
		fullTargets:       map[model.TargetID]bool{},
		excludedTargets:   map[model.TargetID]bool{},
	}
)

// targetAt returns a target on the host 10.0.0.n.
func targetAt(n byte) *model.Target {
	return &model.Target{
		ID: model.TargetID([]byte{'i', '-', '0' + n}), Service: "alpha", Domain: "d", Slots: 10,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80),
	}
}

// defaultSettings returns settings that hold the defaults.
func defaultSettings() *liveSettings {
	settings := &liveSettings{}
	initial := defaults()
	settings.Store(&initial)
	return settings
}

func newTestStats() *targetStats {
	return newTargetStats(defaultSettings(), netip.MustParseAddr("10.0.0.99"), "d", event.NewDiscardLog())
}

// answered returns the answer of a successful run.
func answered(runTime time.Duration) *answer {
	return &answer{status: 200, result: result{
		Version: handoverVersion, Outcome: model.OutcomeRan, ReachedTarget: true, RunTime: runTime, TimeAtNode: runTime,
		Load: load{Running: 1, Slots: 10, Slowdown: 1},
	}}
}

// recordRuns records 20 successful attempts at a target with the given run time and network
// round-trip time.
func (s *targetStats) recordRuns(t *model.Target, runTime, roundTrip time.Duration, now time.Time) {
	for range 20 {
		s.attemptStarted(t, now)
		s.attemptEnded(t, statsCall, answered(runTime), runTime+roundTrip, now)
	}
}

// chosen returns how many of 100 requests go to each target.
func (s *targetStats) chosen(now time.Time, targets ...*model.Target) map[model.TargetID]int {
	counts := map[model.TargetID]int{}
	for i := range 100 {
		if found := s.choose(statsCall, targets, float64(i)/100, now); found.target != nil {
			counts[found.target.ID]++
		}
	}
	return counts
}

func TestTargetGetsRequestsAgainAfterOneDelayedAnswer(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	delayed, other := targetAt(1), targetAt(2)
	stats.recordRuns(delayed, 100*time.Millisecond, time.Millisecond, begin)
	stats.recordRuns(other, 100*time.Millisecond, time.Millisecond, begin)
	stats.attemptStarted(delayed, begin)
	stats.attemptEnded(delayed, statsCall, answered(100*time.Millisecond), 10*time.Second, begin)
	g.Expect(stats.chosen(begin.Add(time.Minute), delayed, other)[delayed.ID]).To(BeNumerically(">=", 40))
}

func TestSlowTargetIsAvoidedAndRetriedLater(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	slow, other := targetAt(1), targetAt(2)
	stats.recordRuns(other, 100*time.Millisecond, time.Millisecond, begin)
	stats.recordRuns(slow, 100*time.Millisecond, time.Millisecond, begin)
	a := answered(time.Second)
	a.Load.Slowdown = 10
	stats.attemptStarted(slow, begin)
	stats.attemptEnded(slow, statsCall, a, time.Second, begin)
	g.Expect(stats.chosen(begin, slow, other)[slow.ID]).To(BeZero())
	g.Expect(stats.chosen(begin.Add(time.Minute), slow, other)[slow.ID]).To(BeNumerically(">", 0))
}

func TestTargetThatItsPeerCannotReachIsInCooldown(t *testing.T) {
	for _, reason := range []model.Reason{model.ReasonUnreachable, model.ReasonNoTarget} {
		t.Run(string(reason), func(t *testing.T) {
			g := NewWithT(t)
			stats := newTestStats()
			cooling, other := targetAt(1), targetAt(2)
			stats.attemptStarted(cooling, begin)
			end := notRunAnswer(reason)
			end.Version = handoverVersion
			stats.attemptEnded(cooling, statsCall, end, 0, begin)
			g.Expect(stats.chosen(begin, cooling, other)[cooling.ID]).To(BeZero())
			g.Expect(stats.chosen(begin, cooling)[cooling.ID]).To(Equal(100), "there is no alternative")
			g.Expect(stats.chosen(begin.Add(minCooldown), cooling, other)[cooling.ID]).To(BeNumerically(">", 0))
		})
	}
}

func TestFullTargetIsNotRetriedAtOnce(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	full := targetAt(1)
	stats.recordRuns(full, 100*time.Millisecond, time.Millisecond, begin)
	a := notRunAnswer(model.ReasonOverloaded)
	a.Version, a.FullFor, a.Load = handoverVersion, time.Second, load{Running: 10, Slots: 10, Slowdown: 1, Wait: 40 * time.Millisecond}
	stats.attemptStarted(full, begin)
	stats.attemptEnded(full, statsCall, a, time.Millisecond, begin)
	found := stats.choose(statsCall, []*model.Target{full}, 0, begin)
	g.Expect(found.target).To(BeNil())
	g.Expect(found.fullFor).To(Equal(40 * time.Millisecond))
	found = stats.choose(statsCall, []*model.Target{full}, 0, begin.Add(20*time.Millisecond))
	g.Expect(found.target).NotTo(BeNil(), "two runs are expected to end in that time")
	urgent := &call{route: &ingress.Route{Name: "urgent", Rank: -1, Objective: time.Second}, objectiveDeadline: statsCall.objectiveDeadline}
	g.Expect(stats.choose(urgent, []*model.Target{full}, 0, begin).target).NotTo(BeNil(), "only a lower priority was rejected")
}

func TestLeavingAndExcludedTargetsAreNotChosen(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	leaving, excluded, eligible := targetAt(1), targetAt(2), targetAt(3)
	leaving.Leaving = true
	c := &call{route: statsCall.route, objectiveDeadline: statsCall.objectiveDeadline, excludedTargets: map[model.TargetID]bool{excluded.ID: true}}
	for i := range 10 {
		g.Expect(stats.choose(c, []*model.Target{leaving, excluded, eligible}, float64(i)/10, begin).target).To(Equal(eligible))
	}
	g.Expect(stats.choose(c, []*model.Target{leaving, excluded}, 0, begin).target).To(BeNil())
}

func TestTimeSinceFirstAttemptIsEstimated(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	g.Expect(stats.elapsed("r", 4*time.Second)).To(BeZero())
	g.Expect(stats.elapsed("r", 3*time.Second)).To(Equal(time.Second))
	g.Expect(stats.elapsed("r", 0)).To(BeZero(), "the caller gave no deadline")
}

func TestSingleFailureDoesNotMakeTargetAvoided(t *testing.T) {
	g := NewWithT(t)
	inst := newInstance(10, nil)
	for range 20 {
		inst.recordResult(false)
	}
	inst.recordResult(true)
	stats := newTestStats()
	failedOnce, other := targetAt(1), targetAt(2)
	for _, target := range []*model.Target{failedOnce, other} {
		stats.recordRuns(target, 100*time.Millisecond, time.Millisecond, begin)
	}
	a := answered(100 * time.Millisecond)
	a.Load.FailureRate = inst.load().FailureRate
	g.Expect(a.Load.FailureRate).To(BeNumerically(">", 0))
	stats.attemptStarted(failedOnce, begin)
	stats.attemptEnded(failedOnce, statsCall, a, 101*time.Millisecond, begin)
	g.Expect(stats.chosen(begin, failedOnce, other)[failedOnce.ID]).To(BeNumerically(">=", 40))
}

func TestStateChangeIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	var states []string
	stats.log.Observe(func(r event.Record) { states = append(states, r.Fields["state"].(string)) })
	target := targetAt(1)
	stats.recordRuns(target, 100*time.Millisecond, time.Millisecond, begin)
	slow := answered(time.Second)
	slow.Load.Slowdown = 5
	for range 3 {
		stats.attemptStarted(target, begin)
		stats.attemptEnded(target, statsCall, slow, time.Second, begin)
	}
	stats.markUnreachable(target)
	stats.recordRuns(target, 100*time.Millisecond, time.Millisecond, time.Now().Add(time.Minute))
	g.Expect(states).To(Equal([]string{stateSlow, stateUnreachable, stateHealthy}))
}

func TestTargetNearSlowThresholdIsNotLoggedWithEveryAnswer(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	logged := 0
	stats.log.Observe(func(event.Record) { logged++ })
	target := targetAt(1)
	for i := range 40 {
		a := answered(200 * time.Millisecond)
		a.Load.Slowdown = []float64{slowThreshold - 0.1, slowThreshold + 0.1}[i%2]
		stats.attemptStarted(target, begin)
		stats.attemptEnded(target, statsCall, a, 200*time.Millisecond, begin)
	}
	g.Expect(logged).To(Equal(1))
}

// reportLoad records an answer in which a target reports its number of running requests.
func (s *targetStats) reportLoad(t *model.Target, running int, now time.Time) {
	a := answered(300 * time.Millisecond)
	a.Load.Running = running
	s.attemptStarted(t, now)
	s.attemptEnded(t, statsCall, a, 301*time.Millisecond, now)
}

// While a service is busy, a target whose last load report is some seconds old must not count
// as idle: requests sent there one after the other would all be rejected.
func TestTargetWithoutRecentReportCountsAsBusyAsOthers(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	stale, busy, full := targetAt(1), targetAt(2), targetAt(3)
	stats.reportLoad(stale, 9, begin)
	now := begin.Add(5 * time.Second)
	stats.reportLoad(busy, 8, now)
	stats.reportLoad(full, 12, now)
	targets := []*model.Target{stale, busy, full}
	g.Expect(stats.occupancy(targets, now)).To(BeNumerically("~", 1, 0.05))
	g.Expect(stats.chosen(now, targets...)).To(Equal(map[model.TargetID]int{busy.ID: 100}))

	idle := newTestStats()
	idle.reportLoad(stale, 9, begin)
	idle.reportLoad(busy, 2, now)
	idle.reportLoad(full, 1, now)
	g.Expect(idle.chosen(now, stale, busy)[stale.ID]).To(BeNumerically(">", 0), "the others are idle")
	g.Expect(newTestStats().occupancy(targets, now)).To(BeZero(), "there are no reports")
}

func TestLoadReportThatWasDelayedOnItsWayCountsAsOld(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	congested, busy, full := targetAt(1), targetAt(2), targetAt(3)
	stats.reportLoad(busy, 8, begin)
	stats.reportLoad(full, 12, begin)
	stats.attemptStarted(congested, begin)
	stats.attemptEnded(congested, statsCall, answered(100*time.Millisecond), 5*time.Second, begin)
	g.Expect(stats.chosen(begin, congested, busy, full)).To(Equal(map[model.TargetID]int{busy.ID: 100}))
}

// unanswered returns the end of an attempt whose caller's deadline passed without an answer.
func unanswered() *answer {
	return &answer{result: result{Outcome: model.OutcomeUnknown, Reason: model.ReasonDeadline, ReachedTarget: true}}
}

func TestNodeThatAnsweredLateIsAvoidedForAMoment(t *testing.T) {
	for name, end := range map[string]*answer{"late": answered(100 * time.Millisecond), "unanswered": unanswered()} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			stats := newTestStats()
			late, other := targetAt(1), targetAt(2)
			stats.recordRuns(late, 100*time.Millisecond, time.Millisecond, begin)
			stats.recordRuns(other, 100*time.Millisecond, time.Millisecond, begin)
			stats.attemptStarted(late, begin)
			stats.attemptEnded(late, statsCall, end, time.Second, begin)
			g.Expect(stats.chosen(begin, late, other)[late.ID]).To(BeZero())
			g.Expect(stats.chosen(begin.Add(10*time.Second), late, other)[late.ID]).To(BeNumerically(">=", 40))
		})
	}
}

// All targets of a service are full, and the node beside the one with the shortest queue is so
// busy that it does not answer before the callers' deadlines. Its last report stays the best
// one, so that only the missing answers tell each entry node.
func TestBusyNodeDoesNotAttractTheRequestsOfAFullService(t *testing.T) {
	g := NewWithT(t)
	const (
		nodes    = 60
		requests = 20 // of each node
		interval = 500 * time.Millisecond
	)
	busy, full, other := targetAt(1), targetAt(2), targetAt(3)
	sent := 0
	for range nodes {
		stats := newTestStats()
		stats.reportLoad(busy, 11, begin)
		for i := range requests {
			now := begin.Add(time.Duration(i) * interval)
			stats.reportLoad(full, 15, now)
			stats.reportLoad(other, 16, now)
			if stats.choose(statsCall, []*model.Target{busy, full, other}, 0, now).target == busy {
				sent++
				stats.attemptStarted(busy, now)
				stats.attemptEnded(busy, statsCall, unanswered(), interval, now.Add(interval))
			}
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 2*nodes), "each node finds out by one request, and may try once more")
}

// Attempts at full targets continue while rejections are quick. If the nodes are so busy that
// rejections take long, the caller is rejected without further attempts.
func TestNoFurtherAttemptOnceRejectionsHaveTakenLong(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	full, other := targetAt(1), targetAt(2)
	targets := []*model.Target{full, other}
	stats.reportLoad(full, 14, begin)
	stats.reportLoad(other, 12, begin)
	c := &call{route: statsCall.route, receivedAt: begin, objectiveDeadline: statsCall.objectiveDeadline, fullRetryAfter: 40 * time.Millisecond}
	g.Expect(stats.choose(c, targets, 0, begin).target).NotTo(BeNil(), "it was not rejected yet")
	c.fullTargets = map[model.TargetID]bool{full.ID: true}
	c.overhead = 20 * time.Millisecond
	g.Expect(stats.choose(c, targets, 0, begin).target).To(Equal(other))
	c.overhead = 100 * time.Millisecond
	found := stats.choose(c, targets, 0, begin)
	g.Expect(found.target).To(BeNil())
	g.Expect(found.fullFor).To(Equal(c.fullRetryAfter))
	stats.reportLoad(other, 2, begin)
	stats.reportLoad(full, 12, begin)
	g.Expect(stats.choose(c, targets, 0, begin).target).To(Equal(other), "the service is not full on average")
}

func TestRemoteCostIsASetting(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	near, far := targetAt(1), targetAt(2)
	far.Domain = "other"
	cost := func(target *model.Target) float64 {
		return stats.choose(statsCall, []*model.Target{target}, 0, begin).candidate.RemoteCost
	}
	g.Expect(cost(near)).To(BeZero())
	g.Expect(cost(far)).To(Equal(defaultRemoteCost))
	changed := defaults()
	changed.RemoteCost = 0
	stats.settings.Store(&changed)
	g.Expect(cost(far)).To(BeZero())
}
