package slo

import (
	"math"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/model"
	. "github.com/onsi/gomega"
)

func TestClassify(t *testing.T) {
	ran := func(status int, latency time.Duration) model.CallRecord {
		return model.CallRecord{Outcome: model.OutcomeRan, Status: status, Latency: latency}
	}
	rejected := func(reason model.Reason) model.CallRecord {
		return model.CallRecord{Outcome: model.OutcomeNotRun, Reason: reason, Status: 503}
	}
	cases := []struct {
		record model.CallRecord
		class  Class
	}{
		{ran(200, time.Millisecond), ClassGood},
		{ran(404, time.Millisecond), ClassGood},
		{ran(200, time.Second), ClassSlow},
		{ran(500, time.Millisecond), ClassFailed},
		{model.CallRecord{}, ClassFailed},
		{rejected(model.ReasonOverShare), ClassShed},
		{rejected(model.ReasonOverloaded), ClassShed},
		{rejected(model.ReasonTargetRefused), ClassShed},
		{rejected(model.ReasonDeadline), ClassShed},
		{rejected(model.ReasonRateLimited), ClassRateLimited},
		{rejected(model.ReasonNotPermitted), ClassRefused},
		{rejected(model.ReasonCanceled), ClassRefused},
		{rejected(model.ReasonNoTarget), ClassFailed},
		{rejected(model.ReasonPeerLost), ClassFailed},
		{rejected(model.ReasonQuarantined), ClassQuarantined},
	}
	for _, c := range cases {
		NewWithT(t).Expect(Classify(c.record, 100*time.Millisecond)).To(Equal(c.class), "%+v", c.record)
	}
	NewWithT(t).Expect(Classify(ran(200, time.Hour), 0)).To(Equal(ClassGood), "without an objective")
}

// bothSides returns equal counts of entry and target-side nodes, except that only
// the latter count calls over share.
func bothSides(good, slow, failed, shed, overShare uint64) SideCounts {
	c := Counts{Offered: good + slow + failed + shed, Good: good, Slow: slow, Failed: failed, Shed: shed}
	target := c
	target.OverShare = overShare
	return SideCounts{Entry: c, Target: target}
}

func TestAttribute(t *testing.T) {
	cases := []struct {
		name     string
		callers  Callers
		cause    Cause
		named    []string
		byTarget float64
		summary  string
	}{
		{
			"no calls", Callers{}, CauseNone, nil, 0, "No calls",
		}, {
			"all calls good", Callers{"a": bothSides(1000, 0, 0, 0, 0)}, CauseNone, nil, 0, "Every call met",
		}, {
			"within the budget", Callers{"a": bothSides(100000, 20, 0, 0, 0)}, CauseNone, nil, 1, "Within the objective",
		}, {
			"too few bad calls to attribute", Callers{"a": bothSides(100, 0, 5, 0, 0)}, CauseNone, nil, 1, "Too few calls to name a cause: 5, ",
		}, {
			"one caller at ten times its share",
			Callers{"flood": bothSides(1000, 0, 0, 9000, 9000), "b": bothSides(990, 10, 0, 0, 0)},
			CauseCallers, []string{"flood"}, 0.0011, "flood (100% of the burn)",
		}, {
			"two callers above their shares",
			Callers{"x": bothSides(1000, 0, 0, 6000, 6000), "y": bothSides(1000, 0, 0, 2000, 2000), "z": bothSides(1000, 0, 0, 0, 10)},
			CauseCallers, []string{"x", "y"}, 0, "x (75% of the burn), y (25% of the burn)",
		}, {
			"all callers within shares, target slow",
			Callers{"a": bothSides(500, 400, 0, 100, 0), "b": bothSides(500, 400, 0, 100, 0)},
			CauseTargetOverload, nil, 1, "no caller was above its share",
		}, {
			"target slow, one caller slightly above its share",
			Callers{"a": bothSides(500, 400, 0, 100, 50), "b": bothSides(500, 400, 0, 100, 0)},
			CauseTargetOverload, nil, 0.95, "of calls were above a share",
		}, {
			"one caller above its share, counted by entry nodes only",
			Callers{"flood": {Entry: Counts{Offered: 1000, Good: 500, Shed: 500, OverShare: 500}}, "b": {Entry: Counts{Offered: 1000, Good: 1000}}},
			CauseCallers, []string{"flood"}, 0, "flood (100% of the burn)",
		}, {
			"target failing",
			Callers{"a": bothSides(500, 0, 500, 0, 0)},
			CauseTargetFailing, nil, 1, "The target itself failed",
		}, {
			"target failing, one caller slightly above its share",
			Callers{"a": bothSides(500, 0, 500, 100, 100)},
			CauseTargetFailing, nil, 0.8333, "The target itself failed",
		}, {
			"one caller sends calls that crash the target",
			Callers{"kiosk": {Entry: Counts{Offered: 600, Good: 400, Failed: 20, Quarantined: 180}}, "b": bothSides(1000, 0, 0, 0, 0)},
			CauseCrashingCalls, []string{"kiosk"}, 0.1, "Calls that crash the targets and are kept from them: kiosk (90% of the burn)",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			attr := Attribute(c.callers, 0.999)
			g.Expect(attr.Cause).To(Equal(c.cause), attr.Summary)
			g.Expect(attr.Named).To(Equal(c.named))
			g.Expect(attr.ByTarget).To(BeNumerically("~", c.byTarget, 0.001))
			g.Expect(attr.Summary).To(ContainSubstring(c.summary))
			sum := attr.ByTarget
			for _, fraction := range attr.ByCaller {
				sum += fraction
			}
			if attr.BurnRate > 0 {
				g.Expect(sum).To(BeNumerically("~", 1, 1e-9))
			}
		})
	}
}

func TestBurnRate(t *testing.T) {
	g := NewWithT(t)
	c := Counts{Offered: 1100, Good: 990, Failed: 10, RateLimited: 100}
	g.Expect(BurnRate(c, 0.99)).To(BeNumerically("~", 1, 1e-9), "the objective does not cover rate-limited calls")
	g.Expect(BurnRate(c, 0.999)).To(BeNumerically("~", 10, 1e-9))
	g.Expect(BurnRate(c, 1)).To(Equal(math.MaxFloat64))
	g.Expect(BurnRate(Counts{Offered: 1, Good: 1}, 1)).To(BeZero())
	g.Expect(BurnRate(Counts{}, 0.99)).To(BeZero())
}

func TestTimeToExhaustion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(TimeToExhaustion(0.5)).To(BeZero())
	g.Expect(TimeToExhaustion(10)).To(Equal(72 * time.Hour))
	g.Expect(TimeToExhaustion(math.MaxFloat64)).To(BeNumerically(">", 0))
}

func nodeReport(t *testing.T, host model.HostID, release uint64, callers Callers, latency time.Duration) NodeReport {
	t.Helper()
	h := NewHistogram()
	for range 100 {
		RecordDuration(h, latency)
	}
	text, err := EncodeHistogram(h)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	at := time.Unix(1200, 0).UTC()
	return NodeReport{
		Host:      host,
		Service:   "records",
		Release:   release,
		At:        at,
		Objective: Objective{Availability: 0.99 + float64(release)/1000},
		Windows: []Window{
			{Name: "short", Length: time.Minute, Callers: callers},
			{Name: "long", Length: time.Hour, Callers: callers},
		},
		Step:     2 * time.Minute,
		Timeline: []Point{{From: at, Callers: callers}},
		Latency:  text,
	}
}

func TestMergeSumsUpNodeReports(t *testing.T) {
	g := NewWithT(t)
	a := nodeReport(t, "h2", 4, Callers{"x": bothSides(10, 0, 0, 90, 90)}, time.Millisecond)
	b := nodeReport(t, "h1", 5, Callers{"x": bothSides(5, 0, 0, 5, 5), "y": bothSides(10, 0, 0, 0, 0)}, 100*time.Millisecond)
	r, err := Merge([]NodeReport{a, b})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Nodes).To(Equal([]model.HostID{"h1", "h2"}))
	g.Expect(r.Release).To(Equal(uint64(5)))
	g.Expect(r.Objective.Availability).To(BeNumerically("~", 0.995, 1e-9))
	g.Expect(r.Windows).To(HaveLen(2))
	g.Expect(r.Windows[0].Name).To(Equal("short"))
	g.Expect(r.Windows[0].Callers["x"].Entry.Shed).To(Equal(uint64(95)))
	g.Expect(r.Windows[0].Total.Entry.Offered).To(Equal(uint64(120)))
	g.Expect(r.Windows[0].Attribution.Named).To(Equal([]string{"x"}))
	g.Expect(r.Timeline).To(HaveLen(1))
	g.Expect(r.Timeline[0].Callers["x"].Target.OverShare).To(Equal(uint64(95)))
	g.Expect(r.Latency.Count).To(Equal(int64(200)))
	g.Expect(r.Latency.P50).To(BeNumerically("~", time.Millisecond, 20*time.Microsecond))
	g.Expect(r.Latency.P99).To(BeNumerically("~", 100*time.Millisecond, 2*time.Millisecond))
	g.Expect(r.Worst().Attribution.BurnRate).To(BeNumerically("~", 95.0/120/0.005, 1e-6))
	_, err = Merge(nil)
	g.Expect(err).To(HaveOccurred())
	a.Latency = "no histogram"
	_, err = Merge([]NodeReport{a})
	g.Expect(err).To(MatchError(ContainSubstring("h2")))
}
