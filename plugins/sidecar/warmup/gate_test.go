package warmup

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
)

var (
	start = time.Unix(1_000_000, 0)
	// portal is the warm-up of a service in a deployment.
	portal = ingress.Warmup{Duration: 3 * time.Second, Rate: 11}
	// sustained is the same warm-up with the rate that the deployment's bound allows for long.
	sustained = ingress.Warmup{Duration: 3 * time.Second, Rate: 11 * boundFactor}
)

// The bound of that deployment on the requests that a cold target gets in any second, from all
// nodes together: a multiple of its rate plus a number of requests.
const (
	boundFactor = 1.5
	boundSlack  = 8
)

func newGate() *Gate { return newGateFor(portal) }

func newGateFor(w ingress.Warmup) *Gate {
	g := &Gate{}
	g.Configure(w)
	return g
}

func TestTargetIsLimitedUntilItIsWarm(t *testing.T) {
	g := NewWithT(t)
	gate := newGate()
	_, limited := gate.Rate(start)
	g.Expect(limited).To(BeFalse(), "nothing is known of it")
	gate.Assume(start)
	rate, limited := gate.Rate(start.Add(time.Second))
	g.Expect([]any{rate, limited, gate.Cold(start.Add(time.Second))}).To(Equal([]any{11.0, true, true}))
	gate.Report(500*time.Millisecond, start.Add(time.Second))
	g.Expect(gate.Cold(start.Add(1600*time.Millisecond))).To(BeFalse(), "its own report counts")
	gate.Extend(start.Add(time.Second))
	g.Expect(gate.Cold(start.Add(1400*time.Millisecond))).To(BeTrue(), "an earlier end changes nothing")
}

func TestTargetThatReportsThatItIsWarmIsNotLimited(t *testing.T) {
	g := NewWithT(t)
	gate := newGate()
	gate.Report(0, start)
	_, limited := gate.Rate(start)
	g.Expect(limited).To(BeFalse())
	gate.Assume(start)
	gate.Report(0, start.Add(time.Second))
	_, limited = gate.Rate(start.Add(time.Second))
	g.Expect(limited).To(BeFalse(), "it was only assumed to be cold")
	gate.Extend(start.Add(2 * time.Second))
	gate.Report(0, start.Add(2100*time.Millisecond))
	_, limited = gate.Rate(start.Add(2100 * time.Millisecond))
	g.Expect(limited).To(BeTrue(), "the rate still rises after its warm-up")
}

func TestRateRisesInStepsAfterTheWarmup(t *testing.T) {
	g := NewWithT(t)
	gate := newGate()
	gate.Assume(start)
	last := 0.0
	steps := 0
	for now := start; ; now = gate.NextChange(now) {
		rate, limited := gate.Rate(now)
		if !limited {
			g.Expect(now).To(Equal(gate.End()))
			break
		}
		g.Expect(rate).To(BeNumerically(">", last))
		g.Expect(rate).To(BeNumerically("<=", 2*max(last, portal.Rate)), "no step is larger than twice the last rate")
		last = rate
		steps++
	}
	g.Expect(steps).To(Equal(rampSteps + 1))
	g.Expect(gate.NextChange(gate.End()).IsZero()).To(BeTrue())
}

func TestServiceWithoutWarmupIsNotLimited(t *testing.T) {
	for _, w := range []ingress.Warmup{{}, {Duration: time.Second}, {Rate: 5}} {
		g := NewWithT(t)
		gate := &Gate{}
		gate.Configure(w)
		gate.Extend(start.Add(time.Hour))
		_, limited := gate.Rate(start)
		g.Expect(limited).To(BeFalse())
		g.Expect(gate.Cold(start)).To(BeFalse())
		gate.Sent(start)
		g.Expect(gate.Overloaded(start)).To(BeFalse())
	}
}

// Property: whatever requests are offered, by however many nodes, no second of the warm-up has
// more than the bound, also if the node restarts meanwhile and knows nothing until the target
// has answered its health check.
func TestNoSecondOfAWarmupExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []time.Time
		gate, bucket := newGateFor(sustained), &ratelimit.Bucket{}
		coldUntil := start.Add(portal.Duration)
		gate.Assume(start)
		restartAt := start.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "restart ms")) * time.Millisecond)
		checkedAfter := time.Duration(rapid.IntRange(1, 900).Draw(t, "health check ms")) * time.Millisecond
		restarted, checked := false, false
		for now := start; now.Before(coldUntil); {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap ms")) * time.Millisecond)
			if !restarted && now.After(restartAt) {
				gate, bucket, restarted = newGateFor(sustained), &ratelimit.Bucket{}, true
				gate.Assume(now)
			}
			if restarted && !checked && now.After(restartAt.Add(checkedAfter)) {
				gate.Report(max(coldUntil.Sub(now), 0), now)
				checked = true
			}
			if rate, limited := gate.Rate(now); limited {
				bucket.SetRate(rate, now)
			} else {
				bucket.Clear()
			}
			for range rapid.IntRange(0, 30).Draw(t, "offered") {
				if now.Before(coldUntil) && bucket.Take(now) {
					sent = append(sent, now)
				}
			}
		}
		bound := portal.Rate*boundFactor + boundSlack
		for first, last := 0, 0; last < len(sent); last++ {
			for sent[last].Sub(sent[first]) >= time.Second {
				first++
			}
			if n := float64(last - first + 1); n > bound {
				t.Fatalf("%g requests within the second before %s, the bound is %g", n, sent[last].Sub(start), bound)
			}
		}
	})
}

func TestCrashUnderTooMuchLoadIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	gate := newGate()
	for i := range 40 {
		gate.Sent(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	now := start.Add(400 * time.Millisecond)
	g.Expect(gate.Overloaded(now)).To(BeFalse(), "it is not cold")
	gate.Assume(now)
	g.Expect(gate.Overloaded(now)).To(BeTrue(), "it became cold before the node knew")
	g.Expect(gate.Overloaded(now.Add(1100*time.Millisecond))).To(BeFalse(), "the load is over")
}

func TestCrashWithinTheRateIsEvidence(t *testing.T) {
	g := NewWithT(t)
	gate := newGate()
	gate.Assume(start)
	bucket := &ratelimit.Bucket{}
	bucket.SetRate(portal.Rate, start)
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if bucket.Take(now) {
			gate.Sent(now)
		}
		g.Expect(gate.Overloaded(now)).To(BeFalse())
	}
}
