package burn

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/fixedseed"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/burn/slo"
	_ "github.com/bronzemast/bronzemast/plugins/operator" // required
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m)
}

// fixedConfiguration provides a fixed snapshot.
type fixedConfiguration struct {
	model.Configuration
	snapshot *config.Snapshot
}

func (f *fixedConfiguration) Current() *config.Snapshot { return f.snapshot }

func (f *fixedConfiguration) Status() model.ConfigurationStatus {
	return model.ConfigurationStatus{Settled: true}
}

func (f *fixedConfiguration) Provision(ctx *kernel.Context) error {
	snapshot, err := config.NewSnapshot(config.SnapshotContents{
		Number: 3,
		Services: []*config.Service{{
			Name:      "records",
			Team:      "desk",
			Objective: config.Objective{Availability: 0.99, Latency: 50 * time.Millisecond},
		}},
	})
	f.snapshot = snapshot
	kernel.Provide[model.Configuration](ctx, f)
	return err
}

func init() {
	kernel.Register(kernel.Registration{
		Name: "distribution",
		New:  func() kernel.Plugin { return &fixedConfiguration{} },
	})
}

func newTestKernel(t *testing.T, section string) (*kernel.Kernel, *event.Log, error) {
	t.Helper()
	log := event.NewDiscardLog()
	k, err := kernel.New(&kernel.Settings{
		Fleet: "test",
		Host:  model.Host{ID: "h1", Region: "r", Domain: "d"},
		Plugins: map[string]*kernel.Section{
			"operator": kernel.NewSection(`{"address": "127.0.0.1:0"}`),
			"burn":     kernel.NewSection(section),
		},
	}, log)
	return k, log, err
}

func get(t *testing.T, k *kernel.Kernel, path string, dst any) int {
	t.Helper()
	g := NewWithT(t)
	mux, _ := kernel.Value[model.OperatorMux](k)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + mux.Address() + path)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(json.NewDecoder(response.Body).Decode(dst)).To(Succeed())
	return response.StatusCode
}

func TestPagesShowRecords(t *testing.T) {
	g := NewWithT(t)
	before := goleak.IgnoreCurrent()
	k, _, err := newTestKernel(t, `{}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Start(t.Context())).To(Succeed())
	recorder, _ := kernel.Value[model.Recorder](k)
	now := time.Now()
	good := model.CallRecord{At: now, Service: "records", Caller: "a", Outcome: model.OutcomeRan, Status: 200, Latency: time.Millisecond}
	slow, shed, unknown := good, good, good
	slow.Latency = time.Second
	shed.Role, shed.Outcome, shed.Reason, shed.OverShare = model.RoleTarget, model.OutcomeNotRun, model.ReasonOverShare, true
	unknown.Service, unknown.Outcome, unknown.Reason = "unknown", model.OutcomeNotRun, model.ReasonNoService
	records := []model.CallRecord{good, good, slow, shed, unknown}
	for _, r := range records {
		recorder.Record(r)
	}
	b := recorder.(*Burn)
	g.Eventually(b.metrics.recorded.Value, 10*time.Second).Should(Equal(int64(len(records))))
	var report slo.NodeReport
	g.Expect(get(t, k, "/v1/report?service=records", &report)).To(Equal(200))
	g.Expect(report.Windows).To(HaveLen(2))
	for _, w := range report.Windows {
		g.Expect(w.Callers["a"].Entry).To(Equal(slo.Counts{Offered: 3, Good: 2, Slow: 1}))
		g.Expect(w.Callers["a"].Target).To(Equal(slo.Counts{Offered: 1, Shed: 1, OverShare: 1}))
	}
	g.Expect(report.Timeline).To(HaveLen(bucketsPerWindow))
	merged, err := slo.Merge([]slo.NodeReport{report})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(merged.Latency.Count).To(Equal(int64(3)))
	var calls CallsResponse
	g.Expect(get(t, k, "/v1/calls", &calls)).To(Equal(200))
	g.Expect(calls.RecentBad).To(HaveLen(2))
	g.Expect(calls.Totals).To(ContainElement(SeriesTotal{Service: unknownService, Role: "entry", Caller: "a", Counts: slo.Counts{Refused: 1}}))
	var failure map[string]string
	g.Expect(get(t, k, "/v1/report", &failure)).To(Equal(400))
	g.Expect(get(t, k, "/v1/report?service=absent", &failure)).To(Equal(404))
	g.Expect(k.Stop(context.Background())).To(Succeed())
	goleak.VerifyNone(t, before)
}

func TestFullRingDropsNewRecords(t *testing.T) {
	g := NewWithT(t)
	k, _, err := newTestKernel(t, `{}`)
	g.Expect(err).NotTo(HaveOccurred())
	recorder, _ := kernel.Value[model.Recorder](k)
	for range recordCapacity + 5 {
		recorder.Record(model.CallRecord{})
	}
	g.Expect(recorder.(*Burn).metrics.dropped.Value()).To(Equal(int64(5)))
}

func TestValidateSettings(t *testing.T) {
	g := NewWithT(t)
	_, _, err := newTestKernel(t, `{"short_window": "1s", "long_window": "1s", "alert_burn": 0}`)
	g.Expect(err).To(MatchError(And(
		ContainSubstring("short_window"), ContainSubstring("long_window"), ContainSubstring("alert_burn"),
	)))
}

// TestWindowsMatchReferenceCount compares the bucket rings with a count over all calls.
func TestWindowsMatchReferenceCount(t *testing.T) {
	steps := newWindowSteps(30*time.Second, 300*time.Second)
	rapid.Check(t, func(t *rapid.T) {
		agg := newAggregator(steps)
		now := time.Unix(1_900_000_000, 0)
		var times []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "gap")) * time.Millisecond)
			at := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond)
			times = append(times, at)
			agg.add(model.CallRecord{At: at, Service: "s", Caller: "c", Outcome: model.OutcomeRan, Status: 200}, 0)
		}
		short, long := agg.windows(now, "s")
		for _, w := range []struct {
			got  uint64
			step time.Duration
		}{{short["c"].Entry.Good, steps.short}, {long["c"].Entry.Good, steps.long}} {
			want := uint64(0)
			for _, at := range times {
				if epochOf(at, w.step) > epochOf(now, w.step)-bucketsPerWindow {
					want++
				}
			}
			if w.got != want {
				t.Fatalf("window of %v steps: %d calls, want %d", w.step, w.got, want)
			}
		}
	})
}

func TestNumberOfSeriesIsBounded(t *testing.T) {
	g := NewWithT(t)
	agg := newAggregator(newWindowSteps(time.Minute, time.Hour))
	now := time.Unix(1_900_000_000, 0)
	for i := range maxSeries + 500 {
		agg.add(model.CallRecord{At: now, Service: "s", Caller: fmt.Sprint(i)}, 0)
	}
	g.Expect(agg.size()).To(BeNumerically("<=", maxSeries+1))
	short, _ := agg.windows(now, "s")
	g.Expect(short[otherCallers].Entry.Offered).To(Equal(uint64(500)))
	g.Expect(short.Total().Entry.Offered).To(Equal(uint64(maxSeries + 500)))
	g.Expect(agg.recentBad()).To(HaveLen(maxRecentBad))
	later := now.Add(2 * time.Hour)
	agg.add(model.CallRecord{At: later, Service: "s", Caller: "new"}, 0)
	g.Expect(agg.size()).To(Equal(1), "idle series are dropped at the limit")
}

func TestTimelineIsOrderedByTime(t *testing.T) {
	g := NewWithT(t)
	agg := newAggregator(newWindowSteps(30*time.Second, 300*time.Second))
	now := time.Unix(1_900_000_000, 0)
	for i := range 100 {
		agg.add(model.CallRecord{At: now.Add(time.Duration(i) * 10 * time.Second), Service: "s", Caller: "c"}, 0)
	}
	points := agg.timeline(now.Add(990*time.Second), "s")
	g.Expect(points).To(HaveLen(bucketsPerWindow))
	for i, p := range points {
		g.Expect(p.Callers["c"].Entry.Offered).To(Equal(uint64(1)))
		if i > 0 {
			g.Expect(p.From.Sub(points[i-1].From)).To(Equal(10 * time.Second))
		}
	}
}

func TestFastBurnIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	k, log, err := newTestKernel(t, `{}`)
	g.Expect(err).NotTo(HaveOccurred())
	recorder, _ := kernel.Value[model.Recorder](k)
	b := recorder.(*Burn)
	var numbers []int
	log.Observe(func(r event.Record) { numbers = append(numbers, r.Event.Number) })
	now := time.Unix(1_900_000_000, 0)
	send := func(at time.Time, calls int, reason model.Reason) {
		for range calls {
			r := model.CallRecord{At: at, Service: "records", Caller: "a", Outcome: model.OutcomeRan, Status: 200}
			if reason != model.ReasonNone {
				r.Outcome, r.Reason = model.OutcomeNotRun, reason
			}
			b.countRecord(r)
		}
	}
	send(now, 50, model.ReasonOverloaded)
	b.checkServices(now)
	g.Expect(numbers).To(BeEmpty(), "too few calls")
	send(now, 100, model.ReasonOverloaded)
	b.checkServices(now)
	b.checkServices(now)
	g.Expect(numbers).To(Equal([]int{2000}))
	later := now.Add(10 * time.Minute)
	send(later, 1000, model.ReasonNone)
	b.checkServices(later)
	g.Expect(numbers).To(Equal([]int{2000, 2001}))
}

func BenchmarkRecord(b *testing.B) {
	agg := newAggregator(newWindowSteps(defaultShortWindow, defaultLongWindow))
	r := model.CallRecord{At: time.Now(), Service: "s", Caller: "c", Outcome: model.OutcomeRan, Status: 200, Latency: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		agg.add(r, time.Second)
	}
}

func BenchmarkReport(b *testing.B) {
	agg := newAggregator(newWindowSteps(defaultShortWindow, defaultLongWindow))
	now := time.Now()
	for i := range maxSeries {
		agg.add(model.CallRecord{At: now, Service: fmt.Sprint("s", i%130), Caller: fmt.Sprint("c", i/130), Role: model.Role(i % 2)}, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		agg.windows(now, "s1")
		agg.timeline(now, "s1")
	}
}
