// Package distribution is the plug-in that spreads releases and host lists from
// node to node and puts releases in force.
package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

const (
	// reportInterval is the longest time between two reports of the state.
	reportInterval = 250 * time.Millisecond
	// tickInterval is the interval of the engine's housekeeping.
	tickInterval = 50 * time.Millisecond
	// inboxLength bounds the inputs that wait for the engine.
	inboxLength = 512
	// localLength bounds the notices and observations that wait for the engine.
	localLength = 256
	// snapshotsLength bounds the snapshots that wait for the subscribers.
	snapshotsLength = 16
	// observeInterval is the shortest time between two observations of another
	// release number on calls.
	observeInterval = 100 * time.Millisecond
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "distribution",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"transport", "source", "membership", "operator"},
		New:      func() kernel.Plugin { return newPlugin() },
	})
}

// Plugin implements model.Configuration.
type Plugin struct {
	settings  Settings
	doc       *jsonc.Document
	ctx       *kernel.Context
	transport model.Transport
	reader    model.Reader
	fleet     model.Fleet
	metrics   *metrics
	gate      *gate
	sessions  sessions
	links     atomic.Uint64
	engine    *engine
	fetcher   *fetcher

	// inbox holds inputs for the engine. Producers wait when it is full, which
	// slows the peers down through their connections.
	inbox *kernel.Ring[input]
	// local holds inputs of other plug-ins, which must not wait; the oldest is
	// dropped, and the next call or notice repeats it.
	local *kernel.Ring[input]
	// orders holds the newest fetch; an earlier one that has not begun is
	// dropped.
	orders *kernel.Ring[fetchOrder]
	// snapshots holds the snapshots for the subscribers; the oldest is dropped.
	snapshots   *kernel.Ring[*config.Snapshot]
	subscribers []func(*config.Snapshot)

	current atomic.Pointer[config.Snapshot]
	status  atomic.Pointer[model.ConfigurationStatus]
	// changed and reported belong to the engine's duty.
	changed  bool
	reported time.Time

	starved   atomic.Bool
	observed  atomic.Int64
	stopping  atomic.Bool
	running   context.Context
	stopLinks context.CancelFunc
	linkWork  sync.WaitGroup
}

func newPlugin() *Plugin {
	return &Plugin{
		settings:  defaultSettings(),
		inbox:     kernel.NewRing[input](inboxLength, kernel.Block),
		local:     kernel.NewRing[input](localLength, kernel.DropOldest),
		orders:    kernel.NewRing[fetchOrder](1, kernel.DropOldest),
		snapshots: kernel.NewRing[*config.Snapshot](snapshotsLength, kernel.DropOldest),
	}
}

// Provision looks up the other plug-ins and offers the configuration.
func (p *Plugin) Provision(ctx *kernel.Context) error {
	p.doc = ctx.Settings(&p.settings)
	p.ctx = ctx
	var err error
	if p.transport, err = kernel.Lookup[model.Transport](ctx); err != nil {
		return err
	}
	if p.reader, err = kernel.Lookup[model.Reader](ctx); err != nil {
		return err
	}
	if p.fleet, err = kernel.Lookup[model.Fleet](ctx); err != nil {
		return err
	}
	pages, err := kernel.Lookup[model.OperatorMux](ctx)
	if err != nil {
		return err
	}
	p.metrics = newMetrics(ctx.Metrics())
	p.gate = newGate(&p.settings) // links may come in before Start
	p.status.Store(&model.ConfigurationStatus{})
	p.running, p.stopLinks = context.WithCancel(context.Background())
	p.fetcher = &fetcher{reader: p.reader, hooks: ctx.Hooks(), metrics: p.metrics}
	p.subscribe(pages)
	kernel.Provide[model.Configuration](ctx, p)
	return nil
}

func (p *Plugin) subscribe(pages model.OperatorMux) {
	p.transport.HandlePeer(linkPath, p)
	p.reader.SubscribeHead(func(raw []byte) { p.put(headInput{raw: raw}) })
	p.reader.SubscribeHosts(func(list *model.HostList) { p.put(hostListInput{list: list}) })
	p.reader.SetStarved(p.starved.Load)
	p.fleet.SubscribeNotices(func(n model.Notice) { p.putLocal(noticeInput{notice: n}) })
	pages.Handle("/v1/peers", func(*http.Request) (any, error) { return p.Status(), nil })
}

// Validate checks the settings.
func (p *Plugin) Validate(findings *finding.List) {
	p.settings.validate(p.doc, findings)
}

// Start starts the duties.
func (p *Plugin) Start(context.Context) error {
	p.engine = p.newEngine(time.Now())
	p.starved.Store(!p.engine.spreading())
	p.ctx.Go("decide", p.decide)
	p.ctx.Go("tick", p.tick)
	p.ctx.Go("local", p.forward)
	p.ctx.Go("fetch", p.fetchAll)
	p.ctx.Go("subscribers", p.notify)
	return nil
}

func (p *Plugin) newEngine(now time.Time) *engine {
	e := newEngine(&p.settings, p.ctx.Host(), p.ctx.Node().Fleet, p.ctx.Incarnation(), p, now)
	e.metrics = p.metrics
	e.hooks = p.ctx.Hooks()
	e.random = rand.Float64
	return e
}

// Stop says goodbye to all peers and waits for the links to end.
func (p *Plugin) Stop(ctx context.Context) error {
	p.stopping.Store(true)
	if p.engine == nil {
		p.stopLinks()
		return nil
	}
	done := make(chan struct{})
	if p.put(stopInput{done: done}) {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	p.sessions.wait(ctx)
	p.stopLinks()
	p.sessions.endAll()
	p.linkWork.Wait()
	p.inbox.Close()
	p.local.Close()
	return nil
}

// decide feeds the engine.
func (p *Plugin) decide(ctx context.Context) {
	for {
		in, err := p.inbox.Get(ctx)
		if err != nil {
			return
		}
		now := time.Now()
		p.engine.wake(now)
		in.apply(p.engine, now)
		if _, tick := in.(tickInput); tick {
			p.engine.viewChanged(p.fleet.View())
			p.starved.Store(p.engine.starved(now))
		}
		if p.changed || now.Sub(p.reported) >= reportInterval {
			p.report(now)
		}
	}
}

// tick lets the engine do its housekeeping.
func (p *Plugin) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.put(tickInput{})
	}
}

// forward passes the inputs of other plug-ins on.
func (p *Plugin) forward(ctx context.Context) {
	for {
		in, err := p.local.Get(ctx)
		if err != nil {
			return
		}
		p.put(in)
	}
}

// fetchAll carries out fetches one after the other.
func (p *Plugin) fetchAll(ctx context.Context) {
	for {
		order, err := p.orders.Get(ctx)
		if err != nil {
			return
		}
		release, err := p.fetcher.fetch(ctx, order)
		p.put(fetchedInput{order: order, release: release, err: err})
	}
}

// notify calls the subscribers.
func (p *Plugin) notify(ctx context.Context) {
	for {
		snapshot, err := p.snapshots.Get(ctx)
		if err != nil {
			return
		}
		for _, f := range p.subscribers {
			f(snapshot)
		}
	}
}

// put queues an input and reports whether the engine will see it.
func (p *Plugin) put(in input) bool {
	return p.inbox.Put(p.running, in) == nil
}

func (p *Plugin) putLocal(in input) {
	_ = p.local.Put(p.running, in) // fails only when the node has stopped
}

// context is the context of all links.
func (p *Plugin) context() context.Context {
	return p.running
}

func (p *Plugin) nextLink() linkID {
	return linkID(p.links.Add(1))
}

// report publishes what the engine knows to other goroutines.
func (p *Plugin) report(now time.Time) {
	p.changed = false
	p.reported = now
	status := p.engine.describe(now)
	status.Reader = p.reader.Reading()
	for i := range status.Links {
		if s := p.sessions.get(p.engine.links[i].id); s != nil {
			status.Links[i].SentBytes = s.counter.sent.Load()
			status.Links[i].RecvBytes = s.counter.received.Load()
		}
	}
	p.status.Store(status)
}

// Interface guards.
var (
	_ kernel.Plugin       = (*Plugin)(nil)
	_ kernel.Validator    = (*Plugin)(nil)
	_ kernel.Starter      = (*Plugin)(nil)
	_ kernel.Stopper      = (*Plugin)(nil)
	_ model.Configuration = (*Plugin)(nil)
	_ http.Handler        = (*Plugin)(nil)
	_ effects             = (*Plugin)(nil)
)
