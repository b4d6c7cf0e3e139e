package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// healthy returns a healthy target in the same failure domain with two running requests.
func healthy() Candidate {
	return Candidate{Occupied: 2, Slots: 10, RunTime: 200 * time.Millisecond, ObjectiveRemaining: 600 * time.Millisecond}
}

// with returns a healthy target with a change applied.
func with(change func(*Candidate)) Candidate {
	c := healthy()
	change(&c)
	return c
}

func TestBetterTargetIsChosen(t *testing.T) {
	cases := map[string]Candidate{
		"full":                 with(func(c *Candidate) { c.Occupied = 20 }),
		"slow":                 with(func(c *Candidate) { c.RunTime = time.Second }),
		"failing":              with(func(c *Candidate) { c.FailureRate = 0.4 }),
		"in cooldown":          with(func(c *Candidate) { c.Unavailable = true }),
		"in another domain":    with(func(c *Candidate) { c.RemoteCost = 0.25 }),
		"far":                  with(func(c *Candidate) { c.RoundTrip = 200 * time.Millisecond }),
		"rejected the request": with(func(c *Candidate) { c.Rejected = true }),
		"in cooldown, idle":    with(func(c *Candidate) { c.Unavailable, c.Occupied = true, 0 }),
		"failing, idle":        with(func(c *Candidate) { c.FailureRate, c.Occupied = 0.4, 0 }),
		"slow in own domain":   with(func(c *Candidate) { c.RunTime = 900 * time.Millisecond }),
		"throttled":            with(func(c *Candidate) { c.Throttled = true }),
		"throttled, idle":      with(func(c *Candidate) { c.Throttled, c.Occupied = true, 0 }),
		"full with a queue":    with(func(c *Candidate) { c.Occupied = 30 }),
	}
	for name, worse := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range 20 {
				g.Expect(new(Placer).Choose([]Candidate{worse, healthy()}, rand.Float64())).To(Equal(1))
				g.Expect(new(Placer).Choose([]Candidate{healthy(), worse}, rand.Float64())).To(Equal(0))
			}
		})
	}
}

func TestRemoteTargetIsChosenOnceOwnDomainIsFull(t *testing.T) {
	g := NewWithT(t)
	full := with(func(c *Candidate) { c.Occupied = 25 })
	remote := with(func(c *Candidate) { c.RemoteCost, c.RoundTrip = 0.25, 2*time.Millisecond })
	g.Expect(new(Placer).Choose([]Candidate{full, remote}, 0.5)).To(Equal(1))
}

func TestEqualTargetsShareTheRequests(t *testing.T) {
	g := NewWithT(t)
	counts := map[int]int{}
	for i := range 300 {
		counts[new(Placer).Choose([]Candidate{healthy(), healthy(), healthy()}, float64(i)/300)]++
	}
	g.Expect(counts).To(Equal(map[int]int{0: 100, 1: 100, 2: 100}))
}

func TestRequestWaitsUnlessFreeAlternativeCostsLittleMore(t *testing.T) {
	g := NewWithT(t)
	full := with(func(c *Candidate) { c.Occupied = 12 })
	slow := with(func(c *Candidate) { c.RunTime = 3 * time.Second })
	rejected := with(func(c *Candidate) { c.Rejected = true })
	g.Expect(HasAlternative([]Candidate{full, healthy()}, 0)).To(BeTrue())
	g.Expect(HasAlternative([]Candidate{full, slow, rejected, full}, 0)).To(BeFalse())
	g.Expect(HasAlternative([]Candidate{full}, 0)).To(BeFalse())
}

func TestNoCandidatesGiveNoChoice(t *testing.T) {
	g := NewWithT(t)
	g.Expect(new(Placer).Choose(nil, 0.5)).To(Equal(-1))
}

func TestOnlyCandidateIsChosenRegardlessOfCost(t *testing.T) {
	g := NewWithT(t)
	g.Expect(new(Placer).Choose([]Candidate{{Unavailable: true, FailureRate: 1}}, 0.99)).To(Equal(0))
}

func TestMissProbabilityGrowsWithExpectedLatency(t *testing.T) {
	g := NewWithT(t)
	last := -1.0
	for ratio := 0.0; ratio < 3; ratio += 0.05 {
		probability := MissProbability(ratio)
		g.Expect(probability).To(And(BeNumerically(">=", last), BeNumerically(">=", 0), BeNumerically("<=", 1)))
		last = probability
	}
}
