package slotqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// unlimitedWait is the maximum wait of a request without an alternative target.
const unlimitedWait = time.Hour

// ticket returns a ticket of a rank that expires after maxWait and has a run time of 100 ms.
func ticket(rank int, maxWait time.Duration) *Ticket {
	return &Ticket{Rank: rank, StartBy: start.Add(maxWait), ExpectedRunTime: 100 * time.Millisecond}
}

func TestRequestsStartWhileSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	q := New(2)
	for range 2 {
		decision, _ := q.Offer(ticket(0, time.Second), unlimitedWait, start)
		g.Expect(decision).To(Equal(Start))
	}
	decision, _ := q.Offer(ticket(0, time.Second), unlimitedWait, start)
	g.Expect(decision).To(Equal(Wait))
	g.Expect([]int{q.Running(), q.Waiting()}).To(Equal([]int{2, 1}))
}

func TestRequestsStartInPriorityOrder(t *testing.T) {
	g := NewWithT(t)
	q := New(1)
	running := ticket(0, time.Second)
	q.Offer(running, unlimitedWait, start)
	late := ticket(0, time.Second)
	late.Late = true
	nested := ticket(5, time.Second)
	nested.Nested = true
	sooner, later, lowest := ticket(0, 800*time.Millisecond), ticket(0, 900*time.Millisecond), ticket(1, time.Second)
	for _, waiting := range []*Ticket{lowest, late, later, sooner, nested} {
		decision, _ := q.Offer(waiting, unlimitedWait, start)
		g.Expect(decision).To(Equal(Wait))
	}
	for _, next := range []*Ticket{nested, sooner, later, late, lowest} {
		started := q.Done(running, start)
		g.Expect(started).To(Equal([]*Ticket{next}))
		running = next
	}
}

func TestRequestThatWouldWaitTooLongIsRejectedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := New(1)
	q.Offer(ticket(0, time.Second), unlimitedWait, start)
	q.Offer(ticket(0, 120*time.Millisecond), unlimitedWait, start)
	decision, retryAfter := q.Offer(ticket(0, 150*time.Millisecond), unlimitedWait, start)
	g.Expect(decision).To(Equal(Reject))
	g.Expect(retryAfter).To(Equal(200*time.Millisecond), "one request runs and one waits")
	decision, _ = q.Offer(ticket(0, 110*time.Millisecond), unlimitedWait, start)
	g.Expect(decision).To(Equal(Wait), "it goes before the one with the later StartBy")
	decision, _ = q.Offer(ticket(0, time.Second), 0, start)
	g.Expect(decision).To(Equal(Reject), "a request with a maximum wait of 0 is not queued")
}

func TestExpiredRequestIsRemoved(t *testing.T) {
	g := NewWithT(t)
	q := New(1)
	running, waiting := ticket(0, time.Second), ticket(0, 300*time.Millisecond)
	q.Offer(running, unlimitedWait, start)
	q.Offer(waiting, unlimitedWait, start)
	at, ok := q.NextChange(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(waiting.StartBy))
	g.Expect(q.Expire(start.Add(300 * time.Millisecond))).To(BeEmpty())
	g.Expect(q.Done(running, start.Add(301*time.Millisecond))).To(BeEmpty(), "an expired request does not start")
	g.Expect(q.Expire(start.Add(301 * time.Millisecond))).To(Equal([]*Ticket{waiting}))
	g.Expect(q.Remove(waiting)).To(BeFalse())
}

func TestRaisingLimitStartsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	q := New(1)
	q.Offer(ticket(0, time.Second), unlimitedWait, start)
	waiting := ticket(0, time.Second)
	q.Offer(waiting, unlimitedWait, start)
	g.Expect(q.SetLimit(2, start)).To(Equal([]*Ticket{waiting}))
}

// Property: no more requests run than there are slots, each ticket starts at most once, and
// none is lost.
func TestNoTicketIsLostOrStartedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		q := New(rapid.IntRange(1, 4).Draw(t, "slots"))
		now := start
		state := map[*Ticket]string{}
		started := func(tickets []*Ticket) {
			for _, s := range tickets {
				g.Expect(state[s]).To(Equal("waiting"))
				g.Expect(now).NotTo(BeTemporally(">", s.StartBy))
				state[s] = "running"
			}
		}
		inState := func(name string) []*Ticket {
			var found []*Ticket
			for s, is := range state {
				if is == name {
					found = append(found, s)
				}
			}
			return found
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s := &Ticket{
					Nested:          rapid.Bool().Draw(t, "nested"),
					Rank:            rapid.IntRange(0, 2).Draw(t, "rank"),
					StartBy:         now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "start by ms")) * time.Millisecond),
					ExpectedRunTime: 100 * time.Millisecond,
				}
				decision, _ := q.Offer(s, rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, unlimitedWait}).Draw(t, "max wait"), now)
				state[s] = []string{"running", "waiting", "rejected"}[decision]
			case 1:
				if running := inState("running"); len(running) > 0 {
					state[running[0]] = "done"
					started(q.Done(running[0], now))
				}
			case 2:
				for _, s := range q.Expire(now) {
					g.Expect(state[s]).To(Equal("waiting"))
					state[s] = "rejected"
				}
			case 3:
				if waiting := inState("waiting"); len(waiting) > 0 {
					g.Expect(q.Remove(waiting[0])).To(BeTrue())
					state[waiting[0]] = "removed"
				}
			}
			g.Expect(q.Running()).To(BeNumerically("<=", q.Limit()))
			g.Expect(q.Running()).To(Equal(len(inState("running"))))
			g.Expect(q.Waiting()).To(Equal(len(inState("waiting"))))
		}
	})
}
