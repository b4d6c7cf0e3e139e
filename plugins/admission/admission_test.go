package admission

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	_ "github.com/bronzemast/bronzemast/plugins/membership" // required
	_ "github.com/bronzemast/bronzemast/plugins/operator"   // required
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

// fixedConfiguration is a model.Configuration with a constant snapshot.
type fixedConfiguration struct {
	model.Configuration
	snapshot *config.Snapshot
}

func (f *fixedConfiguration) Current() *config.Snapshot { return f.snapshot }

func (f *fixedConfiguration) Status() model.ConfigurationStatus {
	return model.ConfigurationStatus{Settled: true, Release: f.snapshot.Number}
}

func (f *fixedConfiguration) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.Configuration](ctx, f)
	return nil
}

func init() {
	kernel.Register(kernel.Registration{
		Name: "distribution",
		New:  func() kernel.Plugin { return &fixedConfiguration{snapshot: testSnapshot()} },
	})
}

func testSnapshot() *config.Snapshot {
	snapshot, err := config.NewSnapshot(config.SnapshotContents{
		Number: 7,
		Services: []*config.Service{{
			Name:  "records",
			Slots: 2,
			Place: finding.Place{File: "teams/records.jsonc", Line: 3},
			Routes: []*config.Route{
				{Name: "read", Method: "GET", PathPrefix: "/r", Cost: 1, Place: finding.Place{File: "templates/records.jsonc", Line: 9}},
				{Name: "file", Method: "POST", PathPrefix: "/f", Cost: 2},
			},
		}},
		Callers: []*config.Caller{{Name: "desk"}, {Name: "export"}, {Name: "stranger"}},
		Grants: []*config.Grant{
			{Caller: "desk", Service: "records", Routes: []string{"read"}, Rate: 1e6, Burst: 100, Share: 3, Place: finding.Place{File: "teams/records.jsonc", Line: 12}},
			{Caller: "export", Service: "records", Rate: 0.001, Burst: 1, Share: 1, Place: finding.Place{File: "teams/records.jsonc", Line: 14}},
		},
	})
	if err != nil {
		panic(err)
	}
	return snapshot
}

func newTestKernel(t testing.TB, section string) (*kernel.Kernel, error) {
	t.Helper()
	return kernel.New(&kernel.Settings{
		Fleet: "test",
		Host:  model.Host{ID: "h1", Region: "r", Domain: "d", Service: "records"},
		Plugins: map[string]*kernel.Section{
			"operator":  kernel.NewSection(`{"address": "127.0.0.1:0"}`),
			"admission": kernel.NewSection(section),
		},
	}, event.NewDiscardLog())
}

func startAdmission(t testing.TB, section string) (*Admission, *kernel.Kernel) {
	t.Helper()
	k, err := newTestKernel(t, section)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	admitter, _ := kernel.Value[model.Admitter](k)
	return admitter.(*Admission), k
}

func request(caller string, deadline time.Time) model.AdmissionRequest {
	s := testSnapshot()
	service := s.Service("records")
	return model.AdmissionRequest{
		Snapshot: s,
		Service:  service,
		Route:    service.RouteByName("read"),
		Caller:   s.Caller(caller),
		Grant:    s.Grant(caller, "records"),
		Deadline: deadline,
	}
}

func inOneMinute() time.Time { return time.Now().Add(time.Minute) }

// fill occupies both slots of the target.
func fill(t testing.TB, a *Admission) [2]model.Permit {
	t.Helper()
	var permits [2]model.Permit
	for i := range permits {
		p, rejection := a.Admit(t.Context(), request("desk", inOneMinute()))
		if rejection != nil {
			t.Fatalf("rejected: %+v", rejection)
		}
		permits[i] = p
	}
	return permits
}

func TestWaitingCallGetsTheNextSlot(t *testing.T) {
	g := NewWithT(t)
	a, _ := startAdmission(t, `{"queue_wait": "1s"}`)
	permits := fill(t, a)
	admitted := make(chan model.Permit, 1)
	go func() {
		p, _ := a.Admit(context.Background(), request("desk", inOneMinute()))
		admitted <- p
	}()
	g.Eventually(func() uint32 { return a.Load().Queued }, 10*time.Second).Should(Equal(uint32(1)))
	g.Expect(a.Load()).To(Equal(model.Load{InFlight: 2, Queued: 1, Limit: 2}))
	permits[0].Done(model.AdmissionResult{ServiceTime: time.Millisecond})
	permits[0].Done(model.AdmissionResult{ServiceTime: time.Millisecond})
	var p model.Permit
	g.Eventually(admitted, 10*time.Second).Should(Receive(&p))
	g.Expect(p).NotTo(BeNil())
	g.Expect(a.Load()).To(Equal(model.Load{InFlight: 2, Limit: 2}))
	p.Done(model.AdmissionResult{})
	permits[1].Done(model.AdmissionResult{})
	g.Expect(a.Load()).To(Equal(model.Load{Limit: 2}))
}

func TestRejections(t *testing.T) {
	a, k := startAdmission(t, `{"queue_wait": "5ms"}`)
	fill(t, a)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name       string
		ctx        context.Context
		request    model.AdmissionRequest
		reason     model.Reason
		retryAfter bool
	}{
		{"no slot within the wait", t.Context(), request("desk", inOneMinute()), model.ReasonOverloaded, true},
		{"caller canceled", canceled, request("desk", inOneMinute()), model.ReasonCanceled, false},
		{"deadline has passed", t.Context(), request("desk", time.Now()), model.ReasonDeadline, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			permit, rejection := a.Admit(c.ctx, c.request)
			g.Expect(permit).To(BeNil())
			g.Expect(rejection.Reason).To(Equal(c.reason))
			g.Expect(rejection.RetryAfter > 0).To(Equal(c.retryAfter))
			g.Expect(a.Load()).To(Equal(model.Load{InFlight: 2, Limit: 2}))
		})
	}
	k.Hooks().Set(kernel.HookQueue, func(context.Context) error { return errors.New("fault") })
	_, rejection := a.Admit(t.Context(), request("desk", inOneMinute()))
	NewWithT(t).Expect(rejection.Reason).To(Equal(model.ReasonOverloaded))
}

func TestRateLimitedCallGetsARetryDelay(t *testing.T) {
	g := NewWithT(t)
	a, _ := startAdmission(t, `{}`)
	p, rejection := a.Admit(t.Context(), request("export", inOneMinute()))
	g.Expect(rejection).To(BeNil())
	p.Done(model.AdmissionResult{})
	_, rejection = a.Admit(t.Context(), request("export", inOneMinute()))
	g.Expect(rejection.Reason).To(Equal(model.ReasonRateLimited))
	g.Expect(rejection.RetryAfter).To(BeNumerically(">", time.Minute))
}

// TestConcurrentCallsKeepTheLimit admits calls from many goroutines; run it with
// -race.
func TestConcurrentCallsKeepTheLimit(t *testing.T) {
	g := NewWithT(t)
	before := goleak.IgnoreCurrent()
	k, err := newTestKernel(t, `{}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Start(t.Context())).To(Succeed())
	admitter, _ := kernel.Value[model.Admitter](k)
	var mu sync.Mutex
	running, most, started, rejected := 0, 0, 0, 0
	count := func(change int) {
		mu.Lock()
		defer mu.Unlock()
		running += change
		most = max(most, running)
	}
	var senders sync.WaitGroup
	for range 16 {
		senders.Go(func() {
			for range 200 {
				p, rejection := admitter.Admit(context.Background(), request("desk", inOneMinute()))
				if rejection != nil {
					mu.Lock()
					rejected++
					mu.Unlock()
					continue
				}
				count(1)
				time.Sleep(50 * time.Microsecond)
				count(-1)
				p.Done(model.AdmissionResult{ServiceTime: 50 * time.Microsecond})
				mu.Lock()
				started++
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	g.Expect(most).To(BeNumerically("<=", 2))
	g.Expect(started + rejected).To(Equal(16 * 200))
	g.Expect(started).To(BeNumerically(">", 0))
	g.Expect(admitter.Load().InFlight).To(BeZero())
	g.Expect(k.Stop(context.Background())).To(Succeed())
	goleak.VerifyNone(t, before)
}

func TestSettingsFindings(t *testing.T) {
	g := NewWithT(t)
	_, err := newTestKernel(t, `{"policy": "random", "queue_wait": "2s", "queue_per_slot": -1}`)
	g.Expect(err).To(MatchError(And(
		ContainSubstring(`"random" is neither`),
		ContainSubstring("queue_wait"),
		ContainSubstring("queue_per_slot"),
	)))
}

func TestCountRateNodes(t *testing.T) {
	member := func(id model.HostID, state model.MemberState) model.Member {
		return model.Member{Host: model.Host{ID: id, Service: "records"}, State: state}
	}
	view := model.NewView(1, []model.Member{
		member("h1", model.MemberLive),
		member("h2", model.MemberSuspected),
		member("h3", model.MemberLeaving),
		member("h4", model.MemberDead),
		{Host: model.Host{ID: "h5", Service: "other"}},
	})
	g := NewWithT(t)
	g.Expect(countRateNodes(view, "records", "h1")).To(Equal(2))
	g.Expect(countRateNodes(view, "records", "h9")).To(Equal(3), "the view may not list a new host yet")
	g.Expect(countRateNodes(view, "records", "h3")).To(Equal(3), "a node always counts itself")
	g.Expect(countRateNodes(model.NewView(0, nil), "records", "h1")).To(Equal(1))
}

func explainAt(t *testing.T, k *kernel.Kernel, caller, service string) (int, Explanation) {
	t.Helper()
	g := NewWithT(t)
	mux, _ := kernel.Value[model.OperatorMux](k)
	query := url.Values{"caller": {caller}, "service": {service}}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + mux.Address() + "/v1/explain?" + query.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var e Explanation
	g.Expect(json.NewDecoder(response.Body).Decode(&e)).To(Succeed())
	return response.StatusCode, e
}

func TestExplain(t *testing.T) {
	a, k := startAdmission(t, `{}`)
	fleet, _ := kernel.Value[model.Fleet](k)
	_, before := explainAt(t, k, "desk", "records")
	fleet.SetHostList(&model.HostList{Revision: 1, Hosts: []model.Host{{ID: "h1", Service: "records"}}})
	NewWithT(t).Eventually(func() int { return liveTargets(fleet.View(), "records") }, 10*time.Second).Should(Equal(1))
	p, _ := a.Admit(t.Context(), request("export", inOneMinute()))
	p.Done(model.AdmissionResult{})
	_, status := explainAt(t, k, "", "")
	NewWithT(t).Expect(status).To(Equal(Explanation{}))
	cases := []struct {
		caller, service, verdict string
		reason                   model.Reason
		text                     string
	}{
		{"desk", "records", VerdictAllowed, "", "teams/records.jsonc:12"},
		{"desk", "records", VerdictAllowed, "", "has sent nothing to this node yet"},
		{"export", "records", VerdictLimited, model.ReasonRateLimited, "0.001 calls/s, set at teams/records.jsonc:14"},
		{"stranger", "records", VerdictRefused, model.ReasonNotPermitted, "teams/records.jsonc:3"},
		{"nobody", "records", VerdictRefused, model.ReasonUnauthenticated, "no caller"},
		{"desk", "absent", VerdictRefused, model.ReasonNoService, "no service"},
	}
	for _, c := range cases {
		t.Run(c.caller+" "+c.service, func(t *testing.T) {
			g := NewWithT(t)
			code, e := explainAt(t, k, c.caller, c.service)
			g.Expect(code).To(Equal(200))
			g.Expect(e.Verdict).To(Equal(c.verdict))
			g.Expect(e.Reason).To(Equal(c.reason))
			g.Expect(e.Text).To(ContainSubstring(c.text))
			g.Expect(e.Release).To(Equal(uint64(7)))
		})
	}
	g := NewWithT(t)
	g.Expect(before.Reason).To(Equal(model.ReasonNoTarget))
	_, e := explainAt(t, k, "desk", "records")
	g.Expect(e.Grant.ShareFraction).To(Equal(0.75))
	g.Expect(e.Routes).To(HaveLen(2))
	g.Expect(e.Routes[0].Permitted).NotTo(Equal(e.Routes[1].Permitted))
	g.Expect(e.Local).NotTo(BeNil())
}

func TestExplainNamesTheShareOfACallerInExcess(t *testing.T) {
	g := NewWithT(t)
	s := testSnapshot()
	view := model.NewView(1, []model.Member{{Host: model.Host{ID: "h1", Service: "records"}}})
	e := explain(s, view, "desk", "records", &CallerStatus{RateQuota: 9, RateTokens: 5, Demand: 100, FairShare: 40})
	g.Expect(e.Verdict).To(Equal(VerdictLimited))
	g.Expect(e.Reason).To(Equal(model.ReasonOverShare))
	g.Expect(e.Text).To(ContainSubstring("teams/records.jsonc:12"))
	e = explain(nil, view, "desk", "records", nil)
	g.Expect(e.Reason).To(Equal(model.ReasonNoConfiguration))
}

func TestOverloadIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	var s overloadState
	g.Expect(s.observe(0)).To(Equal(overloadUnchanged))
	g.Expect(s.observe(3)).To(Equal(overloadBegan))
	g.Expect(s.observe(9)).To(Equal(overloadUnchanged))
	for range reliefIntervals - 1 {
		g.Expect(s.observe(9)).To(Equal(overloadUnchanged))
	}
	g.Expect(s.observe(9)).To(Equal(overloadEnded))
	g.Expect(s.observe(9)).To(Equal(overloadUnchanged))
}

func BenchmarkShed(b *testing.B) {
	a, _ := startAdmission(b, `{}`)
	r := request("desk", time.Now().Add(time.Hour))
	fill(b, a)
	for range withinShareFactor * minQueueLength {
		if _, d := a.gate.offer(time.Now(), r); !d.waiting {
			b.Fatalf("not queued: %+v", d)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if p, _ := a.Admit(b.Context(), r); p != nil {
			b.Fatal("admitted")
		}
	}
}

func BenchmarkRateLimited(b *testing.B) {
	a, _ := startAdmission(b, `{}`)
	r := request("export", inOneMinute())
	for {
		p, _ := a.Admit(b.Context(), r)
		if p == nil {
			break
		}
		p.Done(model.AdmissionResult{})
	}
	b.ReportAllocs()
	for b.Loop() {
		if p, _ := a.Admit(b.Context(), r); p != nil {
			b.Fatal("admitted")
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	a, _ := startAdmission(b, `{}`)
	r := request("desk", time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		p, rejection := a.Admit(b.Context(), r)
		if rejection != nil {
			continue
		}
		p.Done(model.AdmissionResult{ServiceTime: time.Millisecond})
	}
}
