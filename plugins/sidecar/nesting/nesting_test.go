package nesting

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// play observes requests of callers on all hosts, and calls of the targets of
// service "front".
func play(l *Learner, requests int, random *rand.Rand) {
	for range requests {
		service := "front"
		if random.Float64() < 0.4 {
			service = "back"
		}
		l.Observe("callers", service)
		l.Observe("nested", "front")
	}
}

func TestCallsOfTargetsAreFoundOutByTheirOrigin(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(50) {
		l := New()
		play(l, 100, rand.New(rand.NewPCG(seed, 0)))
		g.Expect(l.Nested("nested")).To(BeTrue())
		g.Expect(l.Nested("callers")).To(BeFalse())
	}
}

func TestNothingIsSaidWithoutExperience(t *testing.T) {
	g := NewWithT(t)
	l := New()
	g.Expect(l.Nested("unknown")).To(BeFalse())
	for range 1000 {
		l.Observe("only", "front")
	}
	g.Expect(l.Nested("only")).To(BeFalse(), "there is nothing to compare with")
}

func TestFewRequestsProveNothing(t *testing.T) {
	g := NewWithT(t)
	l := New()
	for i := range 100 {
		l.Observe("callers", []string{"front", "back"}[i%2])
	}
	for range 5 {
		l.Observe("rare", "front")
	}
	g.Expect(l.Nested("rare")).To(BeFalse())
}

func TestACallerElsewhereEndsTheBelief(t *testing.T) {
	g := NewWithT(t)
	l := New()
	play(l, 200, rand.New(rand.NewPCG(1, 1)))
	g.Expect(l.Nested("nested")).To(BeTrue())
	l.Observe("nested", "back")
	g.Expect(l.Nested("nested")).To(BeFalse())
}

func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := New()
	for i := range 20 * window {
		l.Observe(string(rune('a'+i%26)), "front")
	}
	g.Expect(l.seen).To(BeNumerically("<=", window))
}
