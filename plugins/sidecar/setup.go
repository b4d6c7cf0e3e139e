// Package sidecar is the plug-in that proxies requests: from a caller on the node's host,
// through the node beside a target, to that target of the service that the configuration
// routes to, and back. A node has two roles: entry for the callers on its host, and target
// side for the target on its host.
package sidecar

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/unknownheader"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/nesting"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
	"github.com/pkg/errors"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "sidecar",
		Profile:  kernel.ProfileSidecar,
		Requires: []string{"transport", "clearplate", "replica", "quarantine"},
		New:      func() kernel.Plugin { return newSidecar() },
	})
}

// Sidecar is the plug-in. It holds both roles of the node.
type Sidecar struct {
	// settings holds the settings read at startup, live the active ones.
	settings   Settings
	live       liveSettings
	doc        *jsonc.Document
	entry      *entry
	targetSide *targetSide
	drain      *drain
	tracer     *tracer
	spawn      func(task string, run func(ctx context.Context))
}

func newSidecar() *Sidecar {
	return &Sidecar{settings: defaults()}
}

// Provision reads the settings and registers the handlers of both roles.
func (s *Sidecar) Provision(ctx *kernel.Context) error {
	s.doc = ctx.Settings(&s.settings)
	transport, err := kernel.Lookup[model.Transport](ctx)
	if err != nil {
		return err
	}
	exchange, err := kernel.Lookup[model.Exchange](ctx)
	if err != nil {
		return err
	}
	replica, err := kernel.Lookup[model.Replica](ctx)
	if err != nil {
		return err
	}
	quarantine, err := kernel.Lookup[model.Quarantine](ctx)
	if err != nil {
		return err
	}
	peer, err := netip.ParseAddrPort(ctx.Host().PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	target, err := netip.ParseAddrPort(ctx.NodeSettings().TargetAddress)
	if err != nil {
		return errors.Wrap(err, "target address")
	}
	s.live.Store(&s.settings)
	s.drain = &drain{settings: &s.live, log: ctx.Log()}
	s.tracer = newTracer(ctx.Log(), s.settings.LogLines)
	s.spawn = ctx.Go
	m := newMetrics(ctx.Metrics())
	link := uplink.New(s.settings.LinkMbps)
	ctx.Metrics().Set("link_backlog_ms", expvar.Func(func() any { return link.Backlog().Milliseconds() }))
	hosts := func() int { return len(replica.Targets().Hosts) }
	s.targetSide = &targetSide{
		address:   target,
		peerPort:  strconv.Itoa(int(peer.Port())),
		settings:  &s.live,
		exchange:  exchange,
		replica:   replica,
		metrics:   m,
		tracer:    s.tracer,
		drain:     s.drain,
		dial:      transport.DialTarget,
		instances: map[model.TargetID]*instance{},
		origins:   nesting.New(),
		log:       ctx.Log(),

		unknownHeaders: &unknownheader.Recorder{Counts: &m.unknownHeaders, OnNew: func(name string) {
			ctx.Log().Emit(eventUnknownHeader, event.Fields{"header": name})
		}},
		departures: newDepartures(),
		quarantine: quarantine,
		uplink:     link,
	}
	s.entry = &entry{
		host:     ctx.Host(),
		settings: &s.live,
		exchange: exchange,
		replica:  replica,
		metrics:  m,
		tracer:   s.tracer,
		stats:    newTargetStats(&s.live, peer.Addr(), ctx.Host().Domain, ctx.Log()),
		splitter: &ingress.Splitter{},
		budgets:  newRetryBudgets(&s.live, hosts),
		drain:    s.drain,

		quarantine: quarantine,
		uplink:     link,
	}
	quarantine.SetPeers(func() []string { return peerAddresses(replica.Targets(), peer.Port()) })
	s.targetSide.onNested = s.entry.stats.recordNested
	s.entry.stats.departures = s.targetSide.departures
	s.entry.stats.fleetSize = hosts
	s.entry.stats.warmup = func(service string) ingress.Warmup {
		return s.live.Load().warmup(warmupOf(replica.Table(), service))
	}
	ctx.Metrics().Set("target_limits", expvar.Func(func() any { return s.targetSide.limits() }))
	s.entry.sender = s.newSender(peer, transport, replica)
	s.entry.sender.quarantine = quarantine
	transport.HandleCalls(s.entry)
	transport.HandlePeer("POST "+pathHandover, s.targetSide)
	transport.HandlePeer("GET "+pathAlive, http.HandlerFunc(serveAlive))
	replica.Subscribe(s.retain)
	s.registerReadiness(ctx, quarantine)
	return nil
}

// newSender returns the sender of the entry role. It reports unreachable peers to the role's
// target statistics, which start probes through it.
func (s *Sidecar) newSender(peer netip.AddrPort, transport model.Transport, replica model.Replica) *sender {
	stats := s.entry.stats
	sender := &sender{
		settings:        &s.live,
		self:            peer.Addr(),
		peerPort:        strconv.Itoa(int(peer.Port())),
		replica:         replica,
		targetSide:      s.targetSide,
		prober:          &prober{settings: &s.live, dial: transport.DialPeer, hosts: map[netip.Addr]*probeResult{}},
		markUnreachable: stats.markUnreachable,
		charge:          s.entry.charge,
		dial:            transport.DialPeer,
		pools:           map[netip.Addr]*httpconn.Pool{},
	}
	stats.probe = func(t *model.Target) {
		sender.probe(t, func(alive bool) { stats.recordProbe(t, alive, time.Now()) })
	}
	return sender
}

// retain drops the state of targets and hosts that are not in the list.
func (s *Sidecar) retain(list *model.TargetList) {
	s.targetSide.update(list)
	s.entry.stats.retain(list)
	s.entry.sender.retain(list)
}

// peerAddresses returns the peer addresses of the listed hosts, nil if there are none.
func peerAddresses(list *model.TargetList, port uint16) []string {
	if len(list.Hosts) == 0 {
		return nil
	}
	peers := make([]string, len(list.Hosts))
	for i, host := range list.Hosts {
		peers[i] = netip.AddrPortFrom(host.Address, port).String()
	}
	return peers
}

// registerReadiness makes the node report not ready while it drains, and at its start until it
// has asked which requests crash targets.
func (s *Sidecar) registerReadiness(ctx *kernel.Context, quarantine model.Quarantine) {
	readiness, err := kernel.Lookup[model.Readiness](ctx)
	if err != nil {
		return
	}
	readiness.Require("quarantine", quarantine.Synchronized)
	readiness.Require("draining", func() error {
		if s.drain.draining() {
			return errors.New("the node is leaving")
		}
		return nil
	})
}

// Validate checks the settings.
func (s *Sidecar) Validate(findings *finding.List) {
	s.settings.check(s.doc, findings)
}

// Reload checks changed settings and returns a function that applies them to subsequent
// requests.
func (s *Sidecar) Reload(decode func(dst any) *jsonc.Document, findings *finding.List) func() {
	next := defaults()
	next.check(decode(&next), findings)
	return func() { s.live.Store(&next) }
}

// Start begins the periodic reports of requests that were not logged.
func (s *Sidecar) Start(_ context.Context) error {
	s.spawn("trace", s.tracer.run)
	return nil
}

// Stop drains the node. It waits for the requests in flight, since the plug-ins and
// listeners that they need are stopped later.
func (s *Sidecar) Stop(ctx context.Context) error {
	s.drain.start()
	s.drain.wait(ctx)
	s.entry.sender.close()
	return nil
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Sidecar)(nil)
	_ kernel.Validator = (*Sidecar)(nil)
	_ kernel.Starter   = (*Sidecar)(nil)
	_ kernel.Stopper   = (*Sidecar)(nil)
	_ kernel.Reloader  = (*Sidecar)(nil)
)
