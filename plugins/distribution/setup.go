// Package distribution is the plug-in that replicates releases and host lists
// between nodes over an overlay of peer links, and puts releases in force.
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
	// statusInterval is the maximum age of the published status while inputs
	// arrive.
	statusInterval = 250 * time.Millisecond
	// tickInterval is the interval at which the engine runs work that is due.
	tickInterval = 50 * time.Millisecond
	// inboxLength is the capacity of the engine's input queue.
	inboxLength = 512
	// localInboxLength is the capacity of the queue of notices and observations
	// from other plug-ins.
	localInboxLength = 256
	// snapshotQueueLength is the capacity of the queue of snapshots for the
	// subscribers.
	snapshotQueueLength = 16
	// observeInterval is the minimum time between two observations of a different
	// release number on calls that are passed to the engine.
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
	settings         Settings
	doc              *jsonc.Document
	ctx              *kernel.Context
	transport        model.Transport
	reader           model.Reader
	fleet            model.Fleet
	metrics          *metrics
	handshakeLimiter *handshakeLimiter
	sessions         sessions
	lastLinkID       atomic.Uint64
	engine           *engine
	fetcher          *fetcher

	// inbox queues inputs for the engine. Producers block when it is full, which
	// puts backpressure on the peers through their connections.
	inbox *kernel.Ring[input]
	// localInbox queues inputs from other plug-ins, which must not block. When it
	// is full the oldest is dropped; the next call or notice repeats the
	// information.
	localInbox *kernel.Ring[input]
	// fetchQueue holds the latest fetch request; it replaces one that has not been
	// started.
	fetchQueue *kernel.Ring[fetchRequest]
	// snapshots queues snapshots for the subscribers; the oldest is dropped when
	// it is full.
	snapshots   *kernel.Ring[*config.Snapshot]
	subscribers []func(*config.Snapshot)

	current atomic.Pointer[config.Snapshot]
	status  atomic.Pointer[model.ConfigurationStatus]
	// statusStale forces an update of the status, and statusUpdatedAt is the time
	// of the last one. Only the goroutine of the engine uses them.
	statusStale     bool
	statusUpdatedAt time.Time

	starved atomic.Bool
	// lastObserved is the Unix time, in nanoseconds, of the last observation that
	// was passed to the engine.
	lastObserved atomic.Int64
	stopping     atomic.Bool
	// runContext is cancelled by Stop once the links have had time to close.
	runContext context.Context
	cancelRun  context.CancelFunc
	// dialWork tracks the goroutines of dialled links.
	dialWork sync.WaitGroup
}

func newPlugin() *Plugin {
	return &Plugin{
		settings:   defaultSettings(),
		inbox:      kernel.NewRing[input](inboxLength, kernel.Block),
		localInbox: kernel.NewRing[input](localInboxLength, kernel.DropOldest),
		fetchQueue: kernel.NewRing[fetchRequest](1, kernel.DropOldest),
		snapshots:  kernel.NewRing[*config.Snapshot](snapshotQueueLength, kernel.DropOldest),
	}
}

// Provision looks up the required plug-ins and provides model.Configuration.
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
	mux, err := kernel.Lookup[model.OperatorMux](ctx)
	if err != nil {
		return err
	}
	p.metrics = newMetrics(ctx.Metrics())
	p.handshakeLimiter = newHandshakeLimiter(&p.settings) // inbound links may arrive before Start
	p.status.Store(&model.ConfigurationStatus{})
	p.runContext, p.cancelRun = context.WithCancel(context.Background())
	p.fetcher = &fetcher{reader: p.reader, hooks: ctx.Hooks(), metrics: p.metrics}
	p.subscribe(mux)
	kernel.Provide[model.Configuration](ctx, p)
	return nil
}

func (p *Plugin) subscribe(mux model.OperatorMux) {
	p.transport.HandlePeer(linkPath, p)
	p.reader.SubscribeHead(func(raw []byte) { p.enqueue(headInput{raw: raw}) })
	p.reader.SubscribeHosts(func(list *model.HostList) { p.enqueue(hostListInput{list: list}) })
	p.reader.SetStarved(p.starved.Load)
	p.fleet.SubscribeNotices(func(n model.Notice) { p.enqueueLocal(noticeInput{notice: n}) })
	mux.Handle("/v1/peers", func(*http.Request) (any, error) { return p.Status(), nil })
}

// Validate checks the settings.
func (p *Plugin) Validate(findings *finding.List) {
	p.settings.validate(p.doc, findings)
}

// Start starts the engine and the goroutines around it.
func (p *Plugin) Start(context.Context) error {
	p.engine = p.newEngine(time.Now())
	p.starved.Store(!p.engine.spreadsViaPeers())
	p.ctx.Go("decide", p.runEngine)
	p.ctx.Go("tick", p.runTicker)
	p.ctx.Go("local", p.forwardLocal)
	p.ctx.Go("fetch", p.runFetches)
	p.ctx.Go("subscribers", p.notifySubscribers)
	return nil
}

func (p *Plugin) newEngine(now time.Time) *engine {
	e := newEngine(&p.settings, p.ctx.Host(), p.ctx.NodeSettings().Fleet, p.ctx.Incarnation(), p, now)
	e.metrics = p.metrics
	e.hooks = p.ctx.Hooks()
	e.random = rand.Float64
	return e
}

// Stop sends a goodbye to all peers and waits for the links to close.
func (p *Plugin) Stop(ctx context.Context) error {
	p.stopping.Store(true)
	if p.engine == nil {
		p.cancelRun()
		return nil
	}
	done := make(chan struct{})
	if p.enqueue(stopInput{done: done}) {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	p.sessions.waitClosed(ctx)
	p.cancelRun()
	p.sessions.closeAll()
	p.dialWork.Wait()
	p.inbox.Close()
	p.localInbox.Close()
	return nil
}

// runEngine passes inputs to the engine and publishes its state.
func (p *Plugin) runEngine(ctx context.Context) {
	for {
		in, err := p.inbox.Get(ctx)
		if err != nil {
			return
		}
		now := time.Now()
		p.engine.detectPause(now)
		in.apply(p.engine, now)
		if _, tick := in.(tickInput); tick {
			p.engine.setView(p.fleet.View())
			p.starved.Store(p.engine.isStarved(now))
		}
		if p.statusStale || now.Sub(p.statusUpdatedAt) >= statusInterval {
			p.updateStatus(now)
		}
	}
}

// runTicker queues a tick for the engine every tickInterval.
func (p *Plugin) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.enqueue(tickInput{})
	}
}

// forwardLocal passes the inputs of other plug-ins to the inbox.
func (p *Plugin) forwardLocal(ctx context.Context) {
	for {
		in, err := p.localInbox.Get(ctx)
		if err != nil {
			return
		}
		p.enqueue(in)
	}
}

// runFetches executes fetch requests one at a time.
func (p *Plugin) runFetches(ctx context.Context) {
	for {
		request, err := p.fetchQueue.Get(ctx)
		if err != nil {
			return
		}
		release, err := p.fetcher.fetch(ctx, request)
		p.enqueue(fetchedInput{request: request, release: release, err: err})
	}
}

// notifySubscribers calls the subscribers with each snapshot in order.
func (p *Plugin) notifySubscribers(ctx context.Context) {
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

// enqueue queues an input, waiting while the inbox is full. It reports false if
// the node has stopped.
func (p *Plugin) enqueue(in input) bool {
	return p.inbox.Put(p.runContext, in) == nil
}

func (p *Plugin) enqueueLocal(in input) {
	_ = p.localInbox.Put(p.runContext, in) // fails only when the node has stopped
}

// linkContext returns the parent context of all links.
func (p *Plugin) linkContext() context.Context {
	return p.runContext
}

func (p *Plugin) nextLinkID() linkID {
	return linkID(p.lastLinkID.Add(1))
}

// updateStatus publishes the state of the engine for other goroutines.
func (p *Plugin) updateStatus(now time.Time) {
	p.statusStale = false
	p.statusUpdatedAt = now
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
