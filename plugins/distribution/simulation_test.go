package distribution

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// simulation is a deterministic discrete-event simulation of a fleet: it runs
// engines on a virtual clock over simulated links, with all randomness from one
// seed.
type simulation struct {
	t             *testing.T
	g             *WithT
	random        *rand.Rand
	now           time.Time
	events        eventQueue
	eventSequence uint64
	nodes         []*simNode
	platform      *simPlatform
	faults        simFaults
	lastLink      uint64
	// highest is the highest release that each host has applied.
	highest map[model.HostID]uint64
	// bytes and messages count what was sent by kind of message.
	bytes    map[wire.Kind]int
	messages map[wire.Kind]int
}

// simFaults configures the faults of the links.
type simFaults struct {
	// drop, duplicate and corrupt are probabilities per message; only pushes are
	// corrupted, and hellos are neither dropped nor duplicated.
	drop, duplicate, corrupt float64
	// reorder delivers the messages of a link out of order.
	reorder bool
	// cut reports whether two hosts cannot reach each other.
	cut func(a, b model.HostID) bool
	// silent reports whether messages from a to b are lost while the connection
	// stays open.
	silent func(a, b model.HostID) bool
}

type simEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simPlatform is the simulated platform.
type simPlatform struct {
	head     *config.Release
	releases map[uint64]*config.Release
	hosts    *model.HostList
	down     bool
	reads    int
}

// simNode is one host. Its engine is nil while the process is not running.
type simNode struct {
	sim          *simulation
	host         model.Host
	reading      bool
	paused       bool
	deferred     []func()
	engine       *engine
	view         *model.View
	links        map[linkID]*simLink
	seen         map[model.Notice]bool
	incarnation  uint64
	lastHead     config.Digest
	lastHostList uint64
	applied      map[uint64]time.Time
	current      *config.Snapshot
	events       map[int]int
	dials        int
}

func newSimulation(t *testing.T, seed uint64, size, readers int) *simulation {
	s := &simulation{
		t: t, g: NewWithT(t),
		random:   rand.New(rand.NewPCG(seed, 7)),
		now:      time.Unix(1_700_000_000, 0),
		platform: &simPlatform{releases: map[uint64]*config.Release{}},
		highest:  map[model.HostID]uint64{},
		bytes:    map[wire.Kind]int{},
		messages: map[wire.Kind]int{},
	}
	list := &model.HostList{Revision: 1}
	for i := range size {
		host := model.Host{
			ID:          model.HostID(fmt.Sprintf("host-%03d", i)),
			Domain:      fmt.Sprintf("domain-%d", i%8),
			Region:      fmt.Sprintf("region-%d", i%8%3),
			PeerAddress: fmt.Sprintf("10.0.0.%d:1", i),
		}
		list.Hosts = append(list.Hosts, host)
		s.nodes = append(s.nodes, &simNode{sim: s, host: host, reading: i < readers})
	}
	s.platform.hosts = list
	return s
}

func simSettings() *Settings {
	s := defaultSettings()
	return &s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.eventSequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), sequence: s.eventSequence, run: run})
}

// run advances the clock by d and executes the events that are due.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil advances the clock until done returns true, and returns the
// simulated time that this took. It fails the test after the limit.
func (s *simulation) runUntil(limit time.Duration, done func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !done() {
		if s.now.Sub(start) > limit {
			s.t.Fatalf("not done after %v: %v", limit, s.releases())
		}
		s.run(5 * time.Millisecond)
	}
	return s.now.Sub(start)
}

func (s *simulation) releases() map[model.HostID]uint64 {
	all := map[model.HostID]uint64{}
	for _, n := range s.nodes {
		if n.engine != nil {
			all[n.host.ID] = n.release()
		}
	}
	return all
}

func (s *simulation) allAt(number uint64) func() bool {
	return func() bool {
		for _, n := range s.nodes {
			if n.engine != nil && n.release() != number {
				return false
			}
		}
		return true
	}
}

func (s *simulation) publish(r *config.Release) {
	s.platform.releases[r.Record.Number] = r
	s.platform.head = r
}

func (s *simulation) startAll() {
	for _, n := range s.nodes {
		n.start(simSettings())
	}
}

func (s *simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(s.random.IntN(9000))*time.Microsecond
}

// start starts the process of a host with a new incarnation.
func (n *simNode) start(settings *Settings) {
	n.incarnation++
	n.links = map[linkID]*simLink{}
	n.seen = map[model.Notice]bool{}
	n.applied = map[uint64]time.Time{}
	n.events = map[int]int{}
	n.view = model.NewView(0, nil)
	n.current = nil
	n.paused = false
	n.deferred = nil
	n.lastHead = config.Digest{}
	n.lastHostList = 0
	n.engine = newEngine(settings, n.host, testFleet, model.Incarnation(n.incarnation), n, n.sim.now)
	n.engine.random = n.sim.random.Float64
	n.tick(n.incarnation)
}

// kill terminates the process, which breaks its links.
func (n *simNode) kill() {
	n.engine = nil
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		n.links[id].breakLink()
	}
	n.links = nil
}

// dispatch runs f unless the process has been stopped or restarted since the
// given incarnation. While the process is paused, f is deferred until it
// resumes.
func (n *simNode) dispatch(incarnation uint64, f func(now time.Time)) {
	if n.engine == nil || n.incarnation != incarnation {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.dispatch(incarnation, f) })
		return
	}
	n.engine.detectPause(n.sim.now)
	f(n.sim.now)
}

func (n *simNode) resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (n *simNode) tick(incarnation uint64) {
	n.dispatch(incarnation, func(now time.Time) {
		n.pollPlatform()
		n.engine.setView(n.view)
		n.engine.tick(now)
	})
	if n.engine != nil && n.incarnation == incarnation && !n.paused {
		n.sim.schedule(tickInterval, func() { n.tick(incarnation) })
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.sim.schedule(tickInterval, func() { n.tick(incarnation) }) })
	}
}

// pollPlatform passes changes on the platform to the engine if the node reads
// it.
func (n *simNode) pollPlatform() {
	p := n.sim.platform
	if p.down || !n.reading && !n.engine.isStarved(n.sim.now) {
		return
	}
	incarnation := n.incarnation
	if p.head != nil {
		if digest := config.DigestOf(p.head.Raw); digest != n.lastHead {
			n.lastHead = digest
			raw := p.head.Raw
			n.sim.schedule(n.sim.latency(), func() { n.dispatch(incarnation, func(now time.Time) { n.engine.handleHead(raw, now) }) })
		}
	}
	if p.hosts.Revision != n.lastHostList {
		n.lastHostList = p.hosts.Revision
		list := p.hosts
		n.sim.schedule(n.sim.latency(), func() { n.dispatch(incarnation, func(now time.Time) { n.engine.handleHostList(list, now) }) })
	}
}

func (n *simNode) release() uint64 {
	if n.current == nil {
		return 0
	}
	return n.current.Number
}

// AllowLarge implements effects.
func (n *simNode) AllowLarge(linkID, bool) {}

// Fetch implements effects.
func (n *simNode) Fetch(request fetchRequest) {
	s := n.sim
	incarnation := n.incarnation
	s.schedule(s.latency(), func() {
		s.platform.reads++
		release, err := s.platform.read(request)
		n.dispatch(incarnation, func(now time.Time) { n.engine.handleFetched(request, release, err, now) })
	})
}

func (p *simPlatform) read(request fetchRequest) (*config.Release, error) {
	if p.down {
		return nil, errors.New("the platform is down")
	}
	if p.head != nil && bytes.Equal(p.head.Raw, request.raw) {
		return p.head, nil
	}
	if r, ok := p.releases[request.number]; ok {
		return r, nil
	}
	return nil, model.ErrNotFound
}

// Publish implements effects. It fails the test if the host reverts to an older
// release.
func (n *simNode) Publish(c *config.Snapshot) {
	s := n.sim
	if c.Number < s.highest[n.host.ID] {
		s.t.Fatalf("%s reverted from release %d to %d", n.host.ID, s.highest[n.host.ID], c.Number)
	}
	s.highest[n.host.ID] = c.Number
	n.current = c
	n.applied[c.Number] = s.now
}

// SetHosts implements effects. All listed hosts are considered alive.
func (n *simNode) SetHosts(list *model.HostList) {
	members := make([]model.Member, 0, len(list.Hosts))
	for _, h := range list.Hosts {
		members = append(members, model.Member{Host: h})
	}
	n.view = model.NewView(list.Revision, members)
}

// ApplyNotice implements effects.
func (n *simNode) ApplyNotice(notice model.Notice) bool {
	if n.seen[notice] {
		return false
	}
	n.seen[notice] = true
	return true
}

// Observe implements effects.
func (n *simNode) Observe(model.Observation) {}

// Emit implements effects.
func (n *simNode) Emit(e *event.Event, _ event.Fields) {
	n.events[e.Number]++
}

// Interface guards.
var _ effects = (*simNode)(nil)
