package sidecar

import (
	"container/heap"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
)

func limitedHead(rate float64) model.ResponseHead {
	return model.ResponseHead{Limit: model.RateLimit{Named: true, Rate: rate}}
}

func TestInvalidLimitChangesNothing(t *testing.T) {
	g := NewWithT(t)
	inst := newInstance(10, nil)
	inst.observe(limitedHead(4), begin, begin)
	logged, changed := inst.observe(model.ResponseHead{Limit: model.RateLimit{Invalid: "NaN"}}, begin.Add(time.Second), begin.Add(time.Second))
	g.Expect(changed).To(BeTrue(), "it is logged")
	g.Expect(logged.invalid).To(Equal("NaN"))
	_, changed = inst.observe(model.ResponseHead{Limit: model.RateLimit{Invalid: "NaN"}}, begin.Add(time.Second), begin.Add(time.Second))
	g.Expect(changed).To(BeFalse(), "it is logged once")
	g.Expect(inst.state().Rate).To(Equal(4.0))
}

func TestNewIncarnationHasNoLimit(t *testing.T) {
	g := NewWithT(t)
	inst := newInstance(10, nil)
	inst.startedAs(begin)
	inst.observe(model.ResponseHead{Limit: model.RateLimit{Named: true, Rate: 2}, Leaving: true}, begin, begin)
	inst.startedAs(begin)
	g.Expect(inst.state()).To(Equal(targetState{Limited: true, Rate: 2, Leaving: true, StartedAt: begin.UnixMilli()}))
	inst.startedAs(begin.Add(time.Minute))
	g.Expect(inst.state()).To(Equal(targetState{StartedAt: begin.Add(time.Minute).UnixMilli()}))
}

func TestNodeThatHasJustStartedKeepsToALimitThatOthersKnow(t *testing.T) {
	g := NewWithT(t)
	inst := newInstance(10, nil)
	inst.startedAs(begin)
	inst.learn(targetState{Limited: true, Rate: 3, StartedAt: begin.Add(-time.Hour).UnixMilli()}, begin)
	g.Expect(inst.state().Limited).To(BeFalse(), "that was another incarnation")
	inst.learn(targetState{Limited: true, Rate: 3, StartedAt: begin.UnixMilli()}, begin)
	g.Expect(inst.state().Rate).To(Equal(3.0))
	started := 0
	for range 10 {
		ticket := &slotqueue.Ticket{StartBy: begin, ExpectedRunTime: time.Millisecond}
		if ok, _ := inst.acquire(t.Context(), ticket, 0); ok {
			started++
		}
	}
	g.Expect(started).To(Equal(1))
	g.Expect(inst.fullReason()).To(Equal(model.ReasonTargetLimited))
	inst.observe(model.ResponseHead{}, begin, begin)
	g.Expect(inst.state().Limited).To(BeFalse(), "the target itself knows of no limit")
}

func TestWaitingRequestsLeaveATargetThatLeaves(t *testing.T) {
	g := NewWithT(t)
	inst := newInstance(1, nil)
	ticket := func() *slotqueue.Ticket {
		return &slotqueue.Ticket{StartBy: time.Now().Add(time.Minute), ExpectedRunTime: time.Millisecond}
	}
	running, _ := inst.acquire(t.Context(), ticket(), time.Minute)
	g.Expect(running).To(BeTrue())
	result := make(chan bool)
	go func() {
		ok, _ := inst.acquire(t.Context(), ticket(), time.Minute)
		result <- ok
	}()
	g.Eventually(func() int { return inst.load().Waiting }, time.Second).Should(Equal(1))
	inst.rejectWaiting()
	g.Eventually(result, time.Second).Should(Receive(BeFalse()))
}

func TestDepartureBindsOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	d := newDepartures()
	left := targetAt(1)
	left.StartedAt = begin
	g.Expect(d.record(left.ID, begin, begin)).To(BeTrue())
	g.Expect(d.record(left.ID, begin.Add(-time.Hour), begin)).To(BeFalse(), "a late answer of an earlier incarnation")
	g.Expect(d.includes(left)).To(BeTrue())
	again := *left
	again.StartedAt = begin.Add(time.Second)
	g.Expect(d.includes(&again)).To(BeFalse())
	g.Expect(d.includes(left)).To(BeTrue(), "an older entry does not bring it back")
	d.record("other", begin, begin.Add(departureTTL+time.Second))
	g.Expect(d.includesID(left.ID)).To(BeFalse(), "memory is bounded")
}

func TestEntryKeepsFromATargetThatLeaves(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	leaving, other := targetAt(1), targetAt(2)
	leaving.StartedAt = begin
	a := answered(time.Millisecond)
	a.announced = targetState{Leaving: true, StartedAt: begin.UnixMilli()}
	stats.attemptStarted(leaving, begin)
	stats.attemptEnded(leaving, statsCall, a, time.Millisecond, begin)
	stats.retain(&model.TargetList{})
	g.Expect(stats.chosen(begin.Add(time.Minute), leaving, other)[leaving.ID]).To(BeZero())
	leaving.StartedAt = begin.Add(time.Minute)
	g.Expect(stats.chosen(begin.Add(time.Minute), leaving, other)[leaving.ID]).To(BeNumerically(">", 0))
}

func TestDelayedAnswerDoesNotRestoreAnOlderLimit(t *testing.T) {
	g := NewWithT(t)
	stats := newTestStats()
	target := targetAt(1)
	report := func(state targetState, took time.Duration, at time.Time) {
		a := answered(time.Millisecond)
		a.announced = state
		stats.attemptStarted(target, at)
		stats.attemptEnded(target, statsCall, a, took, at)
	}
	report(targetState{Limited: true, Rate: 4}, time.Millisecond, begin)
	report(targetState{}, time.Second, begin.Add(100*time.Millisecond))
	g.Expect(stats.known(target).Limited).To(BeTrue(), "the answer was on its way for a second")
	report(targetState{}, time.Millisecond, begin.Add(200*time.Millisecond))
	g.Expect(stats.known(target).Limited).To(BeFalse())
}

func TestTargetStateSurvivesUnknownFields(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{}
	targetState{}.set(header)
	g.Expect(header).To(BeEmpty())
	sent := targetState{Limited: true, Rate: 4.6, StartedAt: 7}
	sent.set(header)
	g.Expect(decodeTargetState(header)).To(Equal(sent))
	header[headerTargetState] = []string{"ogEYKhkD6PU"} // {1: 42, 1000: true}
	_, err := decodeTargetState(header)
	g.Expect(err).To(HaveOccurred(), "field 1 is not a number")
	header[headerTargetState] = []string{"ogP1GQPo9Q"} // {3: true, 1000: true}
	g.Expect(decodeTargetState(header)).To(Equal(targetState{Leaving: true}))
}

// limitSimulation plays requests of many entry nodes to three targets, some of which limit
// their rate.
type limitSimulation struct {
	now     time.Time
	events  simulationEvents
	random  *rand.Rand
	entries []*targetStats
	targets []*model.Target
	queues  map[model.TargetID]*slotqueue.Queue
	senders map[model.TargetID]*ratelimit.Senders
	limit   float64
	limited int
	// served, rejected and bounced count requests that started, that no target accepted,
	// and attempts that the gate of a limited target rejected.
	served, rejected, bounced int
}

type simulationEvent struct {
	at  time.Time
	run func()
}

// simulationEvents is a heap of events by time.
type simulationEvents []simulationEvent

func (h simulationEvents) Len() int           { return len(h) }
func (h simulationEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simulationEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simulationEvents) Push(x any)        { *h = append(*h, x.(simulationEvent)) }
func (h *simulationEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	simulatedTime    = 60 * time.Second
	simulatedRunTime = 100 * time.Millisecond
	// simulatedRate is the rate of all entry nodes together, in requests per second.
	simulatedRate = 60
)

// simulateLimit plays the simulation with a number of entry nodes, of which the first limited
// targets accept the given limit.
func simulateLimit(entries, limited int, limit float64) *limitSimulation {
	s := &limitSimulation{
		now: begin, random: rand.New(rand.NewPCG(1, 2)), queues: map[model.TargetID]*slotqueue.Queue{}, senders: map[model.TargetID]*ratelimit.Senders{}, limit: limit, limited: limited,
	}
	for n := range byte(3) {
		t := targetAt(n + 1)
		s.targets = append(s.targets, t)
		s.queues[t.ID] = slotqueue.New(t.Slots)
		s.senders[t.ID] = &ratelimit.Senders{}
		if int(n) < limited {
			s.queues[t.ID].SetRate(limit, begin)
		}
	}
	for range entries {
		stats := newTestStats()
		stats.fleetSize = func() int { return entries }
		s.entries = append(s.entries, stats)
	}
	s.arrive()
	s.tick()
	for s.now.Sub(begin) < simulatedTime {
		e := heap.Pop(&s.events).(simulationEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// request plays one request of an entry node chosen by random.
func (s *limitSimulation) request() {
	c := &call{
		route:             &ingress.Route{Name: "r", Objective: 600 * time.Millisecond, Timeout: 2 * time.Second},
		objectiveDeadline: s.now.Add(600 * time.Millisecond),
		fullTargets:       map[model.TargetID]bool{},
		excludedTargets:   map[model.TargetID]bool{},
	}
	s.attempt(s.random.IntN(len(s.entries)), c)
}

// attempt offers a request of an entry node to the target that it chooses.
func (s *limitSimulation) attempt(entry int, c *call) {
	stats := s.entries[entry]
	chosen := stats.choose(c, s.targets, s.random.Float64(), s.now)
	if chosen.target == nil || c.hops >= maxHops {
		s.rejected++
		return
	}
	c.hops++
	q := s.queues[chosen.target.ID]
	slack := c.objectiveDeadline.Sub(s.now) - simulatedRunTime
	ticket := &slotqueue.Ticket{StartBy: s.now.Add(slack), ExpectedRunTime: simulatedRunTime}
	ticket.Owner = func(started bool) { s.decided(entry, c, chosen.target, ticket, started) }
	stats.attemptStarted(chosen.target, s.now)
	switch decision, _ := q.Offer(ticket, chosen.maxQueueWait, s.now); decision {
	case slotqueue.Start:
		s.decided(entry, c, chosen.target, ticket, true)
	case slotqueue.Reject:
		s.decided(entry, c, chosen.target, ticket, false)
	}
}

// decided plays the start or the rejection of a request by a target.
func (s *limitSimulation) decided(entry int, c *call, t *model.Target, ticket *slotqueue.Ticket, started bool) {
	stats, q := s.entries[entry], s.queues[t.ID]
	a := answered(simulatedRunTime)
	if s.limited > int(t.ID[2]-'1') {
		a.announced = targetState{Limited: true, Rate: s.limit}
	}
	if started {
		s.served++
		s.after(simulatedRunTime, func() {
			q.Done(ticket, s.now)
			stats.attemptEnded(t, c, a, simulatedRunTime, s.now)
		})
		return
	}
	s.bounced++
	wait := q.ExpectedWait(s.now)
	senders := s.senders[t.ID]
	senders.Offered(netip.AddrFrom4([4]byte{10, 1, 0, byte(entry)}), s.now)
	a.result.Outcome, a.Reason, a.ReachedTarget, a.RunTime = model.OutcomeNotRun, model.ReasonTargetLimited, false, 0
	a.Load.Wait, a.FullFor = wait, senders.Pause(s.limit, wait, s.now)
	stats.attemptEnded(t, c, a, time.Millisecond, s.now)
	c.fullTargets[t.ID] = true
	s.attempt(entry, c)
}

// advance starts and rejects waiting requests.
func (s *limitSimulation) advance() {
	for _, q := range s.queues {
		for _, ticket := range q.Fill(s.now) {
			ticket.Owner.(func(bool))(true)
		}
		for _, ticket := range q.Expire(s.now) {
			ticket.Owner.(func(bool))(false)
		}
	}
}

// after schedules a function.
func (s *limitSimulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, simulationEvent{at: s.now.Add(delay), run: run})
}

// arrive plays a request and schedules the next one.
func (s *limitSimulation) arrive() {
	s.request()
	s.after(time.Duration(s.random.ExpFloat64()/simulatedRate*float64(time.Second)), s.arrive)
}

// tick advances the queues every 5 ms.
func (s *limitSimulation) tick() {
	s.advance()
	s.after(5*time.Millisecond, s.tick)
}

// TestRequestsAreNotSentOnlyToBounce plays 60 requests per second at three targets, one of
// which accepts 4.6 per second.
func TestRequestsAreNotSentOnlyToBounce(t *testing.T) {
	for _, entries := range []int{1, 9, 67} {
		g := NewWithT(t)
		s := simulateLimit(entries, 1, 4.6)
		t.Logf("%d entries: %d served, %d rejected, %d bounced", entries, s.served, s.rejected, s.bounced)
		g.Expect(s.rejected).To(BeZero(), "the other targets have room")
		g.Expect(float64(s.bounced)).To(BeNumerically("<", 4.6*simulatedTime.Seconds()), "%d entries", entries)
	}
}

// TestLimitsOfAllTargetsAreUsed plays the same load at three limited targets.
func TestLimitsOfAllTargetsAreUsed(t *testing.T) {
	for _, entries := range []int{1, 9, 67} {
		g := NewWithT(t)
		s := simulateLimit(entries, 3, 4.6)
		t.Logf("%d entries: %d served, %d rejected, %d bounced", entries, s.served, s.rejected, s.bounced)
		allowed := 3 * 4.6 * simulatedTime.Seconds()
		g.Expect(float64(s.served)).To(BeNumerically(">", 0.8*allowed), "%d entries", entries)
		g.Expect(float64(s.served)).To(BeNumerically("<", allowed+3*2), "%d entries", entries)
		g.Expect(s.bounced).To(BeNumerically("<", 3*s.served), "%d entries", entries)
	}
}
