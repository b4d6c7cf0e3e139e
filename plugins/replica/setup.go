// Package replica is the plug-in that keeps the node's copy of the platform's
// store: the configuration in force and the list of targets. A few nodes, the readers,
// watch the store. All others watch a reader's copy, and read the store themselves if the
// readers fail.
package replica

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "replica",
		Profile:  kernel.ProfileSidecar,
		Requires: []string{"transport", "clearplate"},
		New:      func() kernel.Plugin { return newReplica() },
	})
}

// Replica implements model.Replica.
type Replica struct {
	settings  Settings
	doc       *jsonc.Document
	log       *event.Log
	metrics   *metrics
	startTask func(name string, run func(ctx context.Context))
	store     model.Store
	decoder   model.ItemDecoder
	client    *peerClient
	packer    packer
	self      netip.Addr
	domain    string
	peerPort  uint16

	table    atomic.Pointer[ingress.Table]
	list     atomic.Pointer[model.TargetList]
	lease    lease
	position atomic.Pointer[model.Position]
	stopping atomic.Bool

	mu          sync.Mutex
	copy        *storeCopy
	targets     *targets
	evacuations *evacuations
	links       *links
	subscribers []func(*model.TargetList)
	fresh       freshness
	// startedAt is when the node started.
	startedAt    time.Time
	outage       outage
	verification verification
	// call is the latest call to the source of changes.
	call sourceCall
	// follows is the host whose copy is that source, the zero address if it is the store.
	// follower is the last host with a slower link that reported, at followerAt, that it
	// follows this one although this one followed it.
	follows    netip.Addr
	follower   netip.Addr
	followerAt time.Time
	// peerFailures counts the consecutive failed calls to peers, the last one at
	// peerFailedAt.
	peerFailures int
	peerFailedAt time.Time
	// newerPeer is the address of a peer with a later position from which changes are being
	// fetched, empty if there is none. The last such fetch started at newerPeerAt.
	newerPeer   string
	newerPeerAt time.Time
	// updated is closed and replaced when the copy changes or is confirmed.
	updated chan struct{}
}

func newReplica() *Replica {
	r := &Replica{
		settings:     defaultSettings(),
		copy:         newCopy(),
		targets:      newTargets(),
		evacuations:  newEvacuations(),
		links:        newLinks(),
		updated:      make(chan struct{}),
		verification: verification{calling: make(chan struct{}, 1)},
	}
	r.position.Store(&model.Position{})
	r.list.Store(r.targets.list(model.Position{}, r.evacuations.apply))
	r.startedAt = time.Now()
	r.lease.origin = r.startedAt
	return r
}

// Provision reads the settings, registers the handler for peers and provides the replica.
func (r *Replica) Provision(ctx *kernel.Context) error {
	r.doc = ctx.Settings(&r.settings)
	r.log = ctx.Log()
	r.startTask = ctx.Go
	r.metrics = newMetrics(ctx.Metrics())
	ctx.Metrics().Set("revision", expvar.Func(func() any { return r.Position().Revision }))
	ctx.Metrics().Set("era", expvar.Func(func() any { return r.Position().Era }))
	ctx.Metrics().Set("copy_age_ms", expvar.Func(func() any { return r.age().Milliseconds() }))
	ctx.Metrics().Set("evacuated_domains", expvar.Func(func() any { return r.evacuatedDomains() }))
	transport, err := kernel.Lookup[model.Transport](ctx)
	if err != nil {
		return err
	}
	if r.store, err = kernel.Lookup[model.Store](ctx); err != nil {
		return err
	}
	if r.decoder, err = kernel.Lookup[model.ItemDecoder](ctx); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(ctx.Host().PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	r.self, r.peerPort = address.Addr(), address.Port()
	r.domain = ctx.Host().Domain
	r.links.record(r.self, r.settings.LinkMbps)
	r.client = newPeerClient(transport.DialPeer)
	transport.HandlePeer("GET "+pathReplica, http.HandlerFunc(r.servePeer))
	r.requireConfiguration(ctx)
	kernel.Provide[model.Replica](ctx, r)
	return nil
}

// requireConfiguration keeps the node from being ready while it has no configuration, no
// list of targets, or a copy that is too old.
func (r *Replica) requireConfiguration(ctx *kernel.Context) {
	readiness, err := kernel.Lookup[model.Readiness](ctx)
	if err != nil {
		return
	}
	readiness.Require("configuration", func() error {
		if r.Table() == nil {
			return errors.New("there is no configuration yet")
		}
		if len(r.Targets().ByID) == 0 {
			return errors.New("there is no list of targets yet")
		}
		if !r.Current() {
			return errors.New("the configuration is too old")
		}
		return nil
	})
}

// Validate implements kernel.Validator.
func (r *Replica) Validate(findings *finding.List) {
	r.settings.check(r.doc, findings)
}

// Start starts the goroutines that keep the copy up to date and watch its age.
func (r *Replica) Start(_ context.Context) error {
	r.startTask("monitor", r.monitor)
	r.startTask("refresh", r.refresh)
	r.startTask("follow", r.follow)
	return nil
}

// Stop ends the requests of peers that wait for a change and closes idle connections.
func (r *Replica) Stop(_ context.Context) error {
	r.stopping.Store(true)
	r.mu.Lock()
	r.wakeWaiters()
	r.mu.Unlock()
	r.client.close()
	return nil
}

// Table implements model.Replica.
func (r *Replica) Table() *ingress.Table { return r.table.Load() }

// Targets implements model.Replica.
func (r *Replica) Targets() *model.TargetList { return r.list.Load() }

// Position implements model.Replica.
func (r *Replica) Position() model.Position { return *r.position.Load() }

// Subscribe implements model.Replica.
func (r *Replica) Subscribe(f func(*model.TargetList)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// wakeWaiters wakes the requests of peers that wait for an update. The caller holds mu.
func (r *Replica) wakeWaiters() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Replica)(nil)
	_ kernel.Validator = (*Replica)(nil)
	_ kernel.Starter   = (*Replica)(nil)
	_ kernel.Stopper   = (*Replica)(nil)
	_ model.Replica    = (*Replica)(nil)
)
