package draining

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// init registers fakes of the plug-ins that draining requires.
func init() {
	kernel.Register(kernel.Registration{Name: "membership", New: func() kernel.Plugin { return &fakeFleet{} }})
	kernel.Register(kernel.Registration{Name: "operator", New: func() kernel.Plugin { return &fakeMux{} }})
}

type fakeFleet struct {
	model.Fleet
	mu          sync.Mutex
	announced   []model.MemberState
	subscribers []func(*model.View)
}

func (f *fakeFleet) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.Fleet](ctx, f)
	return nil
}

func (f *fakeFleet) Subscribe(s func(*model.View)) { f.subscribers = append(f.subscribers, s) }

func (f *fakeFleet) Announce(s model.MemberState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = append(f.announced, s)
}

type fakeMux struct {
	model.OperatorMux
	drain http.Handler
}

func (m *fakeMux) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.OperatorMux](ctx, m)
	return nil
}

func (m *fakeMux) HandleRaw(_ string, h http.Handler) { m.drain = h }

type testNode struct {
	kernel  *kernel.Kernel
	drainer model.Drainer
	fleet   *fakeFleet
	mux     *fakeMux
	mu      sync.Mutex
	stages  []model.DrainStage
}

func startNode(t *testing.T, settings string) *testNode {
	k, err := kernel.New(&kernel.Settings{
		Host:    model.Host{ID: "self"},
		Plugins: map[string]*kernel.Section{"draining": kernel.NewSection(settings)},
	}, event.NewDiscardLog())
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{kernel: k}
	n.drainer, _ = kernel.Value[model.Drainer](k)
	fleet, _ := kernel.Value[model.Fleet](k)
	mux, _ := kernel.Value[model.OperatorMux](k)
	n.fleet, n.mux = fleet.(*fakeFleet), mux.(*fakeMux)
	n.drainer.Subscribe(func(s model.DrainStage) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.stages = append(n.stages, s)
	})
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *testNode) observedStages() []model.DrainStage {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]model.DrainStage(nil), n.stages...)
}

func TestDrainStagesAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{"linger": "2s", "limit": "31s"}`)
		g.Expect(n.drainer.Enter(model.RoleEntry)).To(BeTrue())
		g.Expect(n.drainer.Enter(model.RoleTarget)).To(BeTrue())

		n.drainer.Drain("test")
		g.Expect(n.drainer.Enter(model.RoleTarget)).To(BeFalse(), "new calls in the target role are rejected at once")
		g.Expect(n.drainer.Enter(model.RoleEntry)).To(BeTrue(), "new calls in the entry role are still accepted")
		synctest.Wait()
		g.Expect(n.fleet.announced).To(Equal([]model.MemberState{model.MemberLeaving}))

		time.Sleep(2*time.Second + time.Millisecond)
		synctest.Wait()
		g.Expect(n.drainer.Stage()).To(Equal(model.StageFinishing))
		g.Expect(n.drainer.Enter(model.RoleEntry)).To(BeFalse())
		n.drainer.Drain("again")
		g.Expect(n.drainer.Stage()).To(Equal(model.StageFinishing))

		n.drainer.Leave(model.RoleEntry)
		n.drainer.Leave(model.RoleEntry)
		synctest.Wait()
		g.Expect(n.drainer.Stage()).To(Equal(model.StageFinishing), "a call in the target role is in flight")
		n.drainer.Leave(model.RoleTarget)
		<-n.drainer.Done()
		g.Expect(n.observedStages()).To(Equal([]model.DrainStage{model.StageRefusing, model.StageFinishing, model.StageDone}))
		g.Expect(n.kernel.Stop(context.Background())).To(Succeed())
	})
}

func TestLimitBoundsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{"linger": "1s", "limit": "10s"}`)
		g.Expect(n.drainer.Enter(model.RoleTarget)).To(BeTrue())
		startTime := time.Now()
		g.Expect(n.kernel.Stop(context.Background())).To(Succeed())
		g.Expect(time.Since(startTime)).To(Equal(11 * time.Second))
		g.Expect(n.drainer.Stage()).To(Equal(model.StageDone))
	})
}

func TestStopWaitsForCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{"linger": "1s"}`)
		g.Expect(n.drainer.Enter(model.RoleTarget)).To(BeTrue())
		go func() {
			time.Sleep(5 * time.Second)
			n.drainer.Leave(model.RoleTarget)
		}()
		startTime := time.Now()
		g.Expect(n.kernel.Stop(context.Background())).To(Succeed())
		g.Expect(time.Since(startTime)).To(Equal(5 * time.Second))
	})
}

func TestStopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{}`)
		g.Expect(n.drainer.Enter(model.RoleTarget)).To(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(n.kernel.Stop(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

func TestHostListDrainsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{"linger": "1s"}`)
		view := func(self, other bool) *model.View {
			return model.NewView(1, []model.Member{
				{Host: model.Host{ID: "other", Leaving: other}},
				{Host: model.Host{ID: "self", Leaving: self}},
			})
		}
		n.fleet.subscribers[0](view(false, true))
		g.Expect(n.drainer.Stage()).To(Equal(model.StageServing))
		n.fleet.subscribers[0](view(true, false))
		g.Expect(n.drainer.Stage()).To(Equal(model.StageRefusing))
		n.fleet.subscribers[0](view(false, false))
		g.Expect(n.drainer.Stage()).To(Equal(model.StageRefusing), "stages only advance")
		<-n.drainer.Done()
		g.Expect(n.kernel.Stop(context.Background())).To(Succeed())
	})
}

func TestOperatorDrainsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{"linger": "1s"}`)
		get := httptest.NewRecorder()
		n.mux.drain.ServeHTTP(get, httptest.NewRequest(http.MethodGet, "/v1/drain", nil))
		g.Expect(get.Code).To(Equal(http.StatusMethodNotAllowed))
		g.Expect(n.drainer.Stage()).To(Equal(model.StageServing))
		post := httptest.NewRecorder()
		n.mux.drain.ServeHTTP(post, httptest.NewRequest(http.MethodPost, "/v1/drain", nil))
		g.Expect(post.Code).To(Equal(http.StatusAccepted))
		g.Expect(post.Body.String()).To(ContainSubstring("refusing"))
		<-n.drainer.Done()
		g.Expect(n.kernel.Stop(context.Background())).To(Succeed())
	})
}

func TestNodeThatNeverServedSkipsLinger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := startNode(t, `{"linger": "1h"}`)
		plugin, _ := n.drainer.(*Draining)
		plugin.serving.Store(false)
		startTime := time.Now()
		g.Expect(n.kernel.Stop(context.Background())).To(Succeed())
		g.Expect(time.Since(startTime)).To(BeZero())
	})
}
