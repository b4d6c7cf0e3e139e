package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func TestReportLosesWeightWithItsAge(t *testing.T) {
	g := NewWithT(t)
	var p Pace
	g.Expect(p.Factor(start)).To(Equal(1.0))
	g.Expect(p.Known(start)).To(BeFalse())
	p.Report(2.5, start)
	g.Expect(p.Factor(start)).To(Equal(2.5))
	g.Expect(p.Factor(start.Add(halfLife))).To(BeNumerically("~", 1.75, 0.001))
	g.Expect(p.Factor(start.Add(time.Minute))).To(BeNumerically("~", 1, 0.001))
	g.Expect(p.Known(start.Add(time.Second))).To(BeTrue())
	g.Expect(p.Known(start.Add(time.Minute))).To(BeFalse())
}

func TestUselessReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	var p Pace
	p.Report(2, start)
	p.Report(3, start.Add(-time.Second))
	for _, value := range []float64{0, -1, math.NaN()} {
		p.Report(value, start.Add(time.Second))
	}
	g.Expect(p.Factor(start)).To(Equal(2.0))
	p.Report(math.Inf(1), start.Add(time.Second))
	g.Expect(p.Factor(start.Add(time.Second))).To(BeNumerically("<=", maxPace))
}

// The load of a deployment: at any time a share of the machines is slow, each for a while, and
// targets differ in speed.
const (
	slowShare = 0.15
	slowPace  = 2.5
	objective = 600 * time.Millisecond
	runTime   = 260 * time.Millisecond
	roundTrip = 4 * time.Millisecond
	maxHops   = 4
)

var speeds = []float64{0.6, 1, 1.6}

// miss is a run time distribution: half of the mean, and an exponential part.
func miss(ratio float64) float64 {
	excess := 1/ratio - 0.5
	if ratio <= 0 || excess <= 0 {
		return 1
	}
	return math.Exp(-excess / 0.5)
}

// simulate returns the share of requests on time. diverted reports whether a request leaves a
// target whose usual and present run times are given.
func simulate(diverted func(usual, now time.Duration, remaining time.Duration) bool) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	const requests = 50_000
	onTime := 0
	for range requests {
		remaining := objective
		for hop := 1; ; hop++ {
			usual := time.Duration(float64(runTime) * speeds[random.IntN(len(speeds))])
			now := usual
			if random.Float64() < slowShare {
				now = time.Duration(float64(usual) * slowPace)
			}
			if hop < maxHops && diverted(usual, now, remaining) {
				remaining -= roundTrip
				continue
			}
			if random.Float64() >= miss(float64(now)/float64(remaining)) {
				onTime++
			}
			break
		}
	}
	return float64(onTime) / requests
}

// TestRequestsLeaveTargetsThatAreSlowAtTheMoment bounds the share on time by the ideal, in which no
// machine is slow.
func TestRequestsLeaveTargetsThatAreSlowAtTheMoment(t *testing.T) {
	g := NewWithT(t)
	ideal := 0.0
	for _, speed := range speeds {
		ideal += (1 - miss(float64(runTime)*speed/float64(objective))) / float64(len(speeds))
	}
	with := simulate(func(usual, now, remaining time.Duration) bool {
		return Diversion{Usual: usual, Now: now, ObjectiveRemaining: remaining, Alternative: true}.Worthwhile(miss)
	})
	without := simulate(func(_, _, _ time.Duration) bool { return false })
	g.Expect(with).To(BeNumerically(">=", 0.95*ideal))
	g.Expect(without).To(BeNumerically("<", with-0.03))
}

func TestRequestStaysWhereNothingIsGained(t *testing.T) {
	g := NewWithT(t)
	slow := Diversion{Usual: 220 * time.Millisecond, Now: 550 * time.Millisecond, ObjectiveRemaining: objective, Alternative: true}
	g.Expect(slow.Worthwhile(miss)).To(BeTrue())
	alone, missed, long, usual := slow, slow, slow, slow
	alone.Alternative = false
	missed.ObjectiveRemaining = 0
	long.ObjectiveRemaining = time.Minute
	usual.Now = usual.Usual
	for _, d := range []Diversion{alone, missed, long, usual} {
		g.Expect(d.Worthwhile(miss)).To(BeFalse())
	}
}
