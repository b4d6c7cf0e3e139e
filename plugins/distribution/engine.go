package distribution

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/overlay"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// linkID identifies a link within one node.
type linkID uint64

// effects carries out the side effects that the engine requests. No method
// blocks.
type effects interface {
	// Send queues an encoded message on a link.
	Send(link linkID, data []byte)
	// Close sends goodbye and closes the link, or closes it at once if goodbye is
	// nil.
	Close(link linkID, goodbye *wire.Goodbye)
	// AllowLarge sets whether a link may receive messages larger than
	// wire.MaxEagerBytes.
	AllowLarge(link linkID, allow bool)
	// Dial opens a link; the result is an openedInput or a dialFailedInput.
	Dial(d dialRequest)
	// Fetch reads a release from the platform; the result is a fetchedInput.
	Fetch(request fetchRequest)
	// Publish makes a snapshot the one in force.
	Publish(s *config.Snapshot)
	// SetHosts installs a host list.
	SetHosts(list *model.HostList)
	// ApplyNotice passes a notice to membership and reports whether it is new.
	ApplyNotice(n model.Notice) bool
	// Observe reports evidence about the reachability of a host.
	Observe(o model.Observation)
	// Emit logs an event.
	Emit(e *event.Event, fields event.Fields)
}

// dialRequest requests a link to a host.
type dialRequest struct {
	host    model.Host
	purpose wire.Purpose
	hello   *wire.Hello
}

// fetchRequest requests a release from the platform: the one with the encoded
// record raw, or the one with the given number if raw is nil.
type fetchRequest struct {
	number uint64
	raw    []byte
	// sequence identifies the request, so that outdated results are ignored.
	sequence uint64
	// held contains the parts that need not be read.
	held map[config.Digest][]byte
}

// compileFunc compiles a release, as config.Compiler does.
type compileFunc func(*config.Release) (*config.Snapshot, *finding.List)

// engine is the state machine of distribution in one node. It does no I/O and
// reads no clock: a single goroutine passes it inputs with the current time,
// and it acts through effects.
type engine struct {
	settings    *Settings
	fleet       string
	self        model.Host
	incarnation model.Incarnation
	out         effects
	hooks       *kernel.Hooks
	compile     compileFunc
	// random returns a number in [0, 1).
	random  func() float64
	metrics *metrics

	started time.Time
	// lastInput is when the last input was processed.
	lastInput time.Time

	releases        *store
	hosts           *store
	refused         refusals
	loggedConflicts map[wire.Version]bool
	// snapshot is the compiled form of the held release.
	snapshot *config.Snapshot
	// via is the origin of the held release: viaSource or the ID of a peer.
	via              string
	heldSince        time.Time
	appliedAt        time.Time
	hostsInstalledAt time.Time
	// highest is the highest release number known from any origin.
	highest uint64

	floors *floors
	// floor is the highest release that any peer remembers this host to have held.
	floor uint64
	// settledPeers contains the settled peers that this process has linked to.
	settledPeers map[model.HostID]bool
	settled      bool
	// belowFloorLogged is the held release for which eventBelowFloor was last
	// logged.
	belowFloorLogged uint64

	view *model.View
	// links are sorted by ID; the slice is replaced at each change.
	links    []*link
	dials    map[model.HostID]*dialState
	chosen   []overlay.Choice
	chosenAt time.Time
	// choicesStale is set when the peers must be chosen again.
	choicesStale bool

	pulls     map[wire.Document]*pullState
	candidate *candidate
	// fetchSequence is the sequence number of the last fetch request.
	fetchSequence uint64
	// lastUpToDate is when the node last held the newest release of its peers.
	lastUpToDate time.Time
	// lastConnected is when the node last had a persistent link.
	lastConnected time.Time
	lastRepair    time.Time
	stopped       bool
	hint          releaseHint
}

// newEngine returns an engine for a node that starts at now.
func newEngine(s *Settings, self model.Host, fleet string, incarnation model.Incarnation, out effects, now time.Time) *engine {
	return &engine{
		settings:        s,
		fleet:           fleet,
		self:            self,
		incarnation:     incarnation,
		out:             out,
		compile:         new(config.Compiler).Compile,
		metrics:         newMetrics(nil),
		started:         now,
		lastInput:       now,
		lastConnected:   now,
		releases:        newStore(wire.DocumentRelease, s.WholeReleases),
		hosts:           newStore(wire.DocumentHosts, s.WholeReleases),
		loggedConflicts: map[wire.Version]bool{},
		floors:          newFloors(),
		settledPeers:    map[model.HostID]bool{},
		view:            model.NewView(0, nil),
		dials:           map[model.HostID]*dialState{},
		pulls:           map[wire.Document]*pullState{wire.DocumentRelease: {}, wire.DocumentHosts: {}},
	}
}

func (e *engine) store(d wire.Document) *store {
	if d == wire.DocumentHosts {
		return e.hosts
	}
	return e.releases
}

// spreadsViaPeers reports whether nodes exchange documents with each other.
func (e *engine) spreadsViaPeers() bool {
	return e.settings.Spread == SpreadPeers
}

// tick runs all work that is due. It must be called several times a second.
func (e *engine) tick(now time.Time) {
	e.detectPause(now)
	e.closeSilent(now)
	e.sendDue(now)
	e.followHint(now)
	e.pullAllDue(now)
	e.fetchDue(now)
	e.settle(now)
	e.maintainLinks(now)
	e.trackStarvation(now)
}

// detectPause detects that the process was suspended, by the time since the
// last input. It must be called before each input.
func (e *engine) detectPause(now time.Time) {
	gap := now.Sub(e.lastInput)
	e.lastInput = now
	if gap > e.settings.PauseThreshold.Std() {
		e.recoverFromPause(gap, now)
	}
}

// recoverFromPause closes all links after a pause. The new handshakes bring the
// node up to date before it sends any state from before the pause.
func (e *engine) recoverFromPause(gap time.Duration, now time.Time) {
	e.out.Emit(eventPaused, event.Fields{"paused": gap.String()})
	e.metrics.pauses.Add(1)
	for _, l := range e.links {
		e.closeLink(l, nil, "pause", now)
	}
	for _, host := range slices.Sorted(maps.Keys(e.dials)) {
		d := e.dials[host]
		d.failures = 0
		d.nextAttempt = now.Add(e.dialBackoff(d.failures))
	}
	for _, pull := range e.pulls {
		*pull = pullState{}
	}
}

// settle lets a starting node serve once Settled allows it.
func (e *engine) settle(now time.Time) {
	if e.settled || e.snapshot == nil {
		return
	}
	held := e.releases.Version().Number
	state := SettleState{
		Held:       held,
		Floor:      e.floor,
		Offered:    e.highestOffered(),
		Elapsed:    now.Sub(e.started),
		Peers:      len(e.settledPeers),
		OtherHosts: e.countOtherHosts(),
		ListKnown:  e.hosts.held != nil,
	}
	if held < e.floor && e.belowFloorLogged != held {
		e.belowFloorLogged = held
		e.out.Emit(eventBelowFloor, event.Fields{"release": held, "floor": e.floor})
	}
	if !Settled(e.settings.settleRule(), state) {
		return
	}
	e.settled = true
	e.out.Emit(eventSettled, event.Fields{"release": held, "floor": e.floor, "peers": state.Peers})
	e.applyRelease(now)
	for _, l := range e.links {
		l.nextHeartbeat = now // lets starting peers count this node as settled
	}
}

// highestOffered returns the highest release held by a linked peer that this
// node has not refused.
func (e *engine) highestOffered() uint64 {
	highest := uint64(0)
	for _, l := range e.links {
		version := l.versions[wire.DocumentRelease]
		if e.spreadsViaPeers() && !e.refused.RefusedLocally(version) {
			highest = max(highest, version.Number)
		}
	}
	return highest
}

func (e *engine) countOtherHosts() int {
	if e.hosts.held == nil {
		return 0
	}
	count := 0
	for i := range e.hosts.held.hosts.List.Hosts {
		if e.hosts.held.hosts.List.Hosts[i].ID != e.self.ID {
			count++
		}
	}
	return count
}

// trackStarvation updates the times from which starvation is measured.
func (e *engine) trackStarvation(now time.Time) {
	if e.countPersistentLinks() > 0 {
		e.lastConnected = now
	}
	if !e.isBehind() {
		e.lastUpToDate = now
	}
}

// isBehind reports whether the node holds no release, an older one than a peer,
// or one below its floor.
func (e *engine) isBehind() bool {
	held := e.releases.Version()
	if held.Number == 0 {
		return true
	}
	for _, l := range e.links {
		if l.versions[wire.DocumentRelease].Newer(held) && !e.refused.RefusedLocally(l.versions[wire.DocumentRelease]) {
			return true
		}
	}
	return held.Number < e.floor
}

// isStarved reports whether the node should read the platform itself because
// its peers do not keep it up to date.
func (e *engine) isStarved(now time.Time) bool {
	limit := e.settings.StarvedAfter.Std()
	return !e.spreadsViaPeers() || now.Sub(e.lastConnected) > limit || now.Sub(e.lastUpToDate) > limit
}

// runHook runs a fault-injection hook.
func (e *engine) runHook(hook kernel.Hook) error {
	return e.hooks.At(context.Background(), hook)
}
