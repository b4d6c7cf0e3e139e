package slotqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rateSimulation is a target with many slots and a limit of simRate requests per second that
// is offered simOffered requests of each class per second, each of which may wait for
// simObjective.
const (
	simRate    = 5.0
	simOffered = 10
)

// simulateRate offers requests of nested calls and of the given ranks for simLength, and
// returns the number of starts by class.
func simulateRate(ranks ...int) map[class]int {
	q := New(simSlots)
	q.SetRate(simRate, start)
	starts := map[class]int{}
	count := func(tickets []*Ticket, now time.Time) {
		for _, t := range tickets {
			starts[t.class()]++
			q.Done(t, now)
		}
	}
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < simLength; elapsed += step {
		now := start.Add(elapsed)
		q.Expire(now)
		count(q.Fill(now), now)
		if elapsed%(time.Second/simOffered) != 0 {
			continue
		}
		offers := []*Ticket{{Nested: true}}
		for _, rank := range ranks {
			offers = append(offers, &Ticket{Rank: rank})
		}
		for _, t := range offers {
			t.StartBy, t.ExpectedRunTime = now.Add(simObjective), simRunTime
			if decision, _ := q.Offer(t, unlimitedWait, now); decision == Start {
				count([]*Ticket{t}, now)
			}
		}
	}
	return starts
}

func TestRateLimitPrefersHigherClassesAndStarvesNone(t *testing.T) {
	g := NewWithT(t)
	starts := simulateRate(0, 1, 2)
	total := 0
	for _, n := range starts {
		total += n
	}
	limit := simRate * simLength.Seconds()
	g.Expect(float64(total)).To(BeNumerically("<=", limit+2))
	g.Expect(float64(total)).To(BeNumerically(">=", 0.95*limit))
	nested := starts[class{nested: true}]
	for rank := range 3 {
		g.Expect(starts[class{rank: rank}]).To(BeNumerically(">=", total/8), "rank %d", rank)
		g.Expect(starts[class{rank: rank}]).To(BeNumerically("<", nested), "rank %d", rank)
	}
}

func TestWaitForTheRateIsPredicted(t *testing.T) {
	g := NewWithT(t)
	q := New(10)
	q.SetRate(4, start)
	decision, _ := q.Offer(ticket(0, time.Second), unlimitedWait, start)
	g.Expect(decision).To(Equal(Start))
	decision, wait := q.Offer(ticket(0, 100*time.Millisecond), unlimitedWait, start)
	g.Expect(decision).To(Equal(Reject))
	g.Expect(wait).To(Equal(250 * time.Millisecond))
	decision, wait = q.Offer(ticket(0, time.Second), 200*time.Millisecond, start)
	g.Expect(decision).To(Equal(Reject), "another target has room")
	g.Expect(wait).To(Equal(250 * time.Millisecond))
	waiting := ticket(0, time.Second)
	decision, _ = q.Offer(waiting, unlimitedWait, start)
	g.Expect(decision).To(Equal(Wait))
	g.Expect(q.ExpectedWait(start)).To(Equal(500 * time.Millisecond))
	at, ok := q.NextChange(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(start.Add(250 * time.Millisecond)))
	g.Expect(q.Fill(at.Add(-time.Millisecond))).To(BeEmpty())
	g.Expect(q.Fill(at)).To(Equal([]*Ticket{waiting}))
}

func TestWaitingRequestsStartWhenTheLimitEnds(t *testing.T) {
	g := NewWithT(t)
	q := New(2)
	q.SetRate(0.5, start)
	for range 4 {
		q.Offer(ticket(0, time.Minute), unlimitedWait, start)
	}
	g.Expect([]int{q.Running(), q.Waiting()}).To(Equal([]int{1, 3}))
	g.Expect(q.ClearRate(start)).To(HaveLen(1), "slots still bind")
}
