package slotqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The load of the simulation: a target with 10 slots that works 200 ms on each
// request, whose answers are on time within 600 ms.
const (
	simSlots     = 10
	simWork      = 200 * time.Millisecond
	simObjective = 600 * time.Millisecond
	simLength    = 60 * time.Second
	// simCapacity is what the target can do, in requests a second.
	simCapacity = float64(simSlots) * float64(time.Second) / float64(simWork)
)

// moment is something that happens in the simulation.
type moment struct {
	at     time.Time
	happen func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// tally counts what callers of one rank get.
type tally struct {
	asked, onTime, late, refused int
}

func (t tally) onTimeShare() float64 { return float64(t.onTime) / float64(t.asked) }

// simulate plays a load of the given rate for each rank, in parts of the capacity.
// patience is how long a request may wait.
func simulate(loads []float64, patience time.Duration) []tally {
	random := rand.New(rand.NewPCG(1, 2))
	tallies := make([]tally, len(loads))
	q := New(simSlots)
	var queue moments
	now := start
	begin := func(t *Ticket) {
		arrived := t.Owner.(time.Time)
		// Run times vary by half around their mean.
		work := time.Duration((0.5 + random.Float64()) * float64(simWork))
		heap.Push(&queue, moment{at: now.Add(work), happen: func() {
			if now.Sub(arrived) <= simObjective {
				tallies[t.Rank].onTime++
			} else {
				tallies[t.Rank].late++
			}
			for _, next := range q.Done(t, now) {
				next.Owner.(*run).begin()
			}
		}})
	}
	var arrive func(rank int)
	arrive = func(rank int) {
		tallies[rank].asked++
		arrived := now
		t := &Ticket{Rank: rank, StartBy: now.Add(patience), Expected: simWork}
		r := &run{}
		r.begin = func() {
			t.Owner = arrived
			begin(t)
		}
		t.Owner = r
		switch verdict, _ := q.Offer(t, forever, now); verdict {
		case Start:
			r.begin()
		case Refuse:
			tallies[rank].refused++
		case Wait:
			heap.Push(&queue, moment{at: t.StartBy.Add(time.Millisecond), happen: func() {
				tallies[rank].refused += len(q.Expire(now))
			}})
		}
		next := now.Add(time.Duration(random.ExpFloat64() / (loads[rank] * simCapacity) * float64(time.Second)))
		if next.Before(start.Add(simLength)) {
			heap.Push(&queue, moment{at: next, happen: func() { arrive(rank) }})
		}
	}
	for rank := range loads {
		arrive(rank)
	}
	for queue.Len() > 0 {
		m := heap.Pop(&queue).(moment)
		now = m.at
		m.happen()
	}
	return tallies
}

// run is the owner of a ticket in the simulation.
type run struct {
	begin func()
}

// TestOverloadCostsTheLowestRankOnly plays half as much again as the target can do.
// What callers of the first rank ask for fits, so they must not notice.
func TestOverloadCostsTheLowestRankOnly(t *testing.T) {
	g := NewWithT(t)
	tallies := simulate([]float64{0.6, 0.9}, simObjective-simWork)
	g.Expect(tallies[0].onTimeShare()).To(BeNumerically(">", 0.99))
	g.Expect(tallies[1].onTimeShare()).To(BeNumerically(">", 0.3))
	g.Expect(tallies[1].refused).To(BeNumerically(">", 0))
}

// TestALongQueueTurnsEveryAnswerLate shows what the limit on waiting is for: under
// the same load, requests that wait until they time out are hardly ever on time.
func TestALongQueueTurnsEveryAnswerLate(t *testing.T) {
	g := NewWithT(t)
	short := simulate([]float64{1.5}, simObjective-simWork)
	long := simulate([]float64{1.5}, 10*simObjective)
	g.Expect(short[0].onTimeShare()).To(BeNumerically(">", 0.5))
	g.Expect(long[0].onTimeShare()).To(BeNumerically("<", 0.1))
}

// TestALoadBelowCapacityIsServedWhole plays four fifths of what the target can do.
func TestALoadBelowCapacityIsServedWhole(t *testing.T) {
	g := NewWithT(t)
	tallies := simulate([]float64{0.8}, simObjective-simWork)
	g.Expect(tallies[0].onTimeShare()).To(BeNumerically(">", 0.98))
}
