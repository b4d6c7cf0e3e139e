package distribution

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// fakeReader implements model.Reader.
type fakeReader struct {
	platform *platform
	reading  bool
	onHead   func([]byte)
	onHosts  func(*model.HostList)
	starved  func() bool
	lastHead string
	lastList uint64
}

func (r *fakeReader) Pack(context.Context, int) ([]byte, error) {
	return nil, model.ErrNotFound
}

func (r *fakeReader) Part(_ context.Context, digest config.Digest) ([]byte, error) {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.platform.reads++
	if data, ok := r.platform.parts[digest]; ok && !r.platform.down {
		return data, nil
	}
	return nil, model.ErrNotFound
}

func (r *fakeReader) Record(_ context.Context, number uint64) ([]byte, error) {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.platform.reads++
	if raw, ok := r.platform.records[number]; ok && !r.platform.down {
		return raw, nil
	}
	return nil, model.ErrNotFound
}

func (r *fakeReader) SubscribeHead(f func([]byte)) { r.onHead = f }

func (r *fakeReader) SubscribeHosts(f func(*model.HostList)) { r.onHosts = f }

func (r *fakeReader) SetStarved(f func() bool) { r.starved = f }

func (r *fakeReader) Reading() bool { return r.reading }

// watch polls the platform at a short interval.
func (r *fakeReader) watch(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.reading || r.starved() {
			r.poll()
		}
	}
}

func (r *fakeReader) poll() {
	r.platform.mu.Lock()
	head, hosts, down := r.platform.head, r.platform.hosts, r.platform.down
	r.platform.mu.Unlock()
	if down {
		return
	}
	if string(head) != r.lastHead {
		r.lastHead = string(head)
		r.onHead(head)
	}
	if hosts != nil && hosts.Revision != r.lastList {
		r.lastList = hosts.Revision
		r.onHosts(hosts)
	}
}

// fakeFleet implements model.Fleet. All listed hosts are considered alive.
type fakeFleet struct {
	mu       sync.Mutex
	view     *model.View
	notices  func(model.Notice)
	seen     map[model.Notice]bool
	evidence map[model.Evidence]int
}

func (f *fakeFleet) View() *model.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFleet) Observe(o model.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence[o.Evidence]++
}

func (f *fakeFleet) SetHostList(list *model.HostList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]model.Member, 0, len(list.Hosts))
	for _, h := range list.Hosts {
		members = append(members, model.Member{Host: h})
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	f.view = model.NewView(list.Revision, members)
}

func (f *fakeFleet) Apply(n model.Notice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen[n] {
		return false
	}
	f.seen[n] = true
	return true
}

func (f *fakeFleet) hasNotice(n model.Notice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[n]
}

func (f *fakeFleet) Announce(model.MemberState) {}

func (f *fakeFleet) SubscribeNotices(g func(n model.Notice)) { f.notices = g }

func (f *fakeFleet) Subscribe(func(*model.View)) {}

// fakeMux implements model.OperatorMux.
type fakeMux struct{}

func (fakeMux) Handle(string, func(*http.Request) (any, error)) {}

func (fakeMux) HandleRaw(string, http.Handler) {}

func (fakeMux) Address() string { return "" }

// fakes are the fake plug-ins of one node.
type fakes struct {
	reader *fakeReader
	fleet  *fakeFleet
}

func fakesFor(id model.HostID) *fakes {
	fakesMu.Lock()
	defer fakesMu.Unlock()
	return fakesOf[id]
}

type fakeSource struct {
	ctx *kernel.Context
}

func (s *fakeSource) Provision(ctx *kernel.Context) error {
	s.ctx = ctx
	kernel.Provide[model.Reader](ctx, fakesFor(ctx.Host().ID).reader)
	return nil
}

func (s *fakeSource) Start(context.Context) error {
	reader := fakesFor(s.ctx.Host().ID).reader
	s.ctx.Go("watch", func(ctx context.Context) {
		reader.watch(ctx)
	})
	return nil
}

type fakeMembership struct{}

func (fakeMembership) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.Fleet](ctx, fakesFor(ctx.Host().ID).fleet)
	return nil
}

type fakeOperator struct{}

func (fakeOperator) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.OperatorMux](ctx, fakeMux{})
	return nil
}

func init() {
	kernel.Register(kernel.Registration{Name: "source", New: func() kernel.Plugin { return &fakeSource{} }})
	kernel.Register(kernel.Registration{Name: "membership", New: func() kernel.Plugin { return fakeMembership{} }})
	kernel.Register(kernel.Registration{Name: "operator", New: func() kernel.Plugin { return fakeOperator{} }})
}
