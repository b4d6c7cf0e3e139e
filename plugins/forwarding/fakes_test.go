package forwarding

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// init registers fakes of the required plug-ins that are not imported.
func init() {
	register("membership", func(ctx *kernel.Context, f *fakes) { kernel.Provide[model.Fleet](ctx, f.fleet) })
	register("distribution", func(ctx *kernel.Context, f *fakes) { kernel.Provide[model.Configuration](ctx, f.configuration) })
	register("admission", func(ctx *kernel.Context, f *fakes) { kernel.Provide[model.Admitter](ctx, f.admitter) })
	register("burn", func(ctx *kernel.Context, f *fakes) { kernel.Provide[model.Recorder](ctx, f.recorder) })
	register("operator", func(ctx *kernel.Context, f *fakes) { kernel.Provide[model.OperatorMux](ctx, f.mux) })
}

func register(name string, provide func(*kernel.Context, *fakes)) {
	kernel.Register(kernel.Registration{Name: name, New: func() kernel.Plugin { return fakePlugin(provide) }})
}

type fakePlugin func(*kernel.Context, *fakes)

func (p fakePlugin) Provision(ctx *kernel.Context) error {
	value, _ := fakesByHost.Load(ctx.Host().ID)
	p(ctx, value.(*fakes))
	return nil
}

// fakesByHost maps a model.HostID to the *fakes of the node under construction.
var fakesByHost sync.Map

type fakes struct {
	fleet         *fakeFleet
	configuration *fakeConfiguration
	admitter      *fakeAdmitter
	recorder      *fakeRecorder
	mux           *fakeMux
}

type fakeFleet struct {
	mesh *mesh
	self model.HostID

	mu        sync.Mutex
	announced []model.MemberState
	observed  []model.Observation
	subs      []func(*model.View)
}

func (f *fakeFleet) View() *model.View { return f.mesh.view() }

func (f *fakeFleet) Observe(o model.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, o)
}

func (f *fakeFleet) SetHostList(*model.HostList) {}

func (f *fakeFleet) Apply(model.Notice) bool { return false }

func (f *fakeFleet) SubscribeNotices(func(model.Notice)) {}

func (f *fakeFleet) Subscribe(s func(*model.View)) { f.subs = append(f.subs, s) }

func (f *fakeFleet) Announce(state model.MemberState) {
	f.mu.Lock()
	f.announced = append(f.announced, state)
	f.mu.Unlock()
	f.mesh.setState(f.self, state)
}

// fakeConfiguration returns the node's own snapshot if it is set, and else that of
// the mesh.
type fakeConfiguration struct {
	mesh *mesh
	own  atomic.Pointer[config.Snapshot]
}

func (c *fakeConfiguration) Current() *config.Snapshot {
	if own := c.own.Load(); own != nil {
		return own
	}
	return c.mesh.snapshot
}

func (c *fakeConfiguration) Subscribe(func(*config.Snapshot)) {}

func (c *fakeConfiguration) ObserveRelease(model.HostID, uint64) {}

func (c *fakeConfiguration) Status() model.ConfigurationStatus { return model.ConfigurationStatus{} }

// fakeAdmitter admits all calls unless rejection is set. If gate is set, calls wait
// until it is closed.
type fakeAdmitter struct {
	mu        sync.Mutex
	rejection *model.Rejection
	gate      chan struct{}
	inFlight  uint32
}

func (a *fakeAdmitter) Admit(ctx context.Context, _ model.AdmissionRequest) (model.Permit, *model.Rejection) {
	a.mu.Lock()
	gate, rejection := a.gate, a.rejection
	a.mu.Unlock()
	if rejection != nil {
		return nil, rejection
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, &model.Rejection{Reason: model.ReasonDeadline}
		}
	}
	a.mu.Lock()
	a.inFlight++
	a.mu.Unlock()
	return a, nil
}

func (a *fakeAdmitter) Done(model.AdmissionResult) {
	a.mu.Lock()
	a.inFlight--
	a.mu.Unlock()
}

func (a *fakeAdmitter) OverShare() bool { return false }

func (a *fakeAdmitter) Load() model.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return model.Load{InFlight: a.inFlight, Limit: 10}
}

func (a *fakeAdmitter) reject(r *model.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejection = r
}

type fakeRecorder struct {
	mu      sync.Mutex
	records []model.CallRecord
}

func (r *fakeRecorder) Record(c model.CallRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, c)
}

func (r *fakeRecorder) of(role model.Role) []model.CallRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []model.CallRecord
	for _, c := range r.records {
		if c.Role == role {
			out = append(out, c)
		}
	}
	return out
}

type fakeMux struct {
	mu  sync.Mutex
	raw map[string]http.Handler
}

func (m *fakeMux) Handle(string, func(*http.Request) (any, error)) {}

func (m *fakeMux) HandleRaw(path string, h http.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.raw == nil {
		m.raw = map[string]http.Handler{}
	}
	m.raw[path] = h
}

func (m *fakeMux) Address() string { return "" }
