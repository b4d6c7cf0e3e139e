package source

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// The size and budget of the reference fleet for which the system is designed.
const (
	referenceHosts   = 2000
	referenceDomains = 21
	referenceBudget  = 2000
	// outageTime is the length of an outage; it exceeds every back-off.
	outageTime = 25 * time.Second
)

// countingPlatform answers from memory without delay and records the time of each
// call.
type countingPlatform struct {
	mu      sync.Mutex
	calls   []time.Time
	values  map[string]model.Value
	down    bool
	changed chan struct{}
}

func newCountingPlatform() *countingPlatform {
	return &countingPlatform{values: map[string]model.Value{}, changed: make(chan struct{})}
}

func (p *countingPlatform) put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.values[key].Revision + 1
	p.values[key] = model.Value{Revision: revision, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *countingPlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *countingPlatform) lookup(key string) (model.Value, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return model.Value{}, nil, errors.New("down")
	}
	value, ok := p.values[key]
	if !ok {
		return model.Value{}, nil, model.ErrNotFound
	}
	return value, p.changed, nil
}

func (p *countingPlatform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, time.Now())
}

// callCount returns the number of calls so far.
func (p *countingPlatform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

func (p *countingPlatform) Read(_ context.Context, key string) (model.Value, error) {
	p.count()
	value, _, err := p.lookup(key)
	return value, err
}

func (p *countingPlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (model.Value, bool, error) {
	p.count()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, changed, err := p.lookup(key)
		if err != nil || value.Revision != after {
			return value, false, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return model.Value{}, true, nil
		case <-ctx.Done():
			return model.Value{}, false, ctx.Err()
		}
	}
}

func (p *countingPlatform) rotate()          {}
func (p *countingPlatform) fork() replicaSet { return p }

// replicaCount is 1, since the platform counts calls regardless of the replica.
func (p *countingPlatform) replicaCount() int { return 1 }

// peak returns the largest number of calls in any window of one second.
func (p *countingPlatform) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := slices.SortedFunc(slices.Values(p.calls), time.Time.Compare)
	most, first := 0, 0
	for last := range calls {
		for calls[last].Sub(calls[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (p *countingPlatform) callsSince(start time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.calls {
		if !at.Before(start) {
			n++
		}
	}
	return n
}

// simNode is a simulated node with a real reader.
type simNode struct {
	reader  *reader
	view    atomic.Pointer[model.View]
	head    atomic.Uint64
	headAt  atomic.Int64
	starved func(n *simNode) bool
}

// simFleet is a simulated fleet whose nodes share a clock and a platform.
type simFleet struct {
	platform *countingPlatform
	nodes    []*simNode
	list     *model.HostList
	lists    sync.Map
	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

func defaultPolicy() policy {
	s := newSource().settings
	return s.policy()
}

func hostList(hosts, domains int) *model.HostList {
	list := &model.HostList{Revision: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, model.Host{
			ID:          model.HostID(fmt.Sprintf("h%05d", i)),
			Region:      "r",
			Domain:      fmt.Sprintf("d%02d", i%domains),
			CallAddress: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250+1),
			PeerAddress: fmt.Sprintf("10.%d.%d.1:7001", i/250, i%250+1),
		})
	}
	return list
}

func viewOf(list *model.HostList) *model.View {
	members := make([]model.Member, len(list.Hosts))
	for i, h := range list.Hosts {
		members[i].Host = h
	}
	return model.NewView(list.Revision, members)
}

// newSimFleet returns a fleet. Its nodes have the host list from the start if
// hostListKnown is set, and read it from the platform otherwise.
func newSimFleet(p policy, list *model.HostList, seed uint64, hostListKnown bool, starved func(*simNode) bool) *simFleet {
	s := &simFleet{platform: newCountingPlatform(), list: list}
	s.ctx, s.stop = context.WithCancel(context.Background())
	view := viewOf(list)
	log := event.NewDiscardLog()
	for i, host := range list.Hosts {
		n := &simNode{starved: starved}
		n.view.Store(model.NewView(0, nil))
		if hostListKnown {
			n.view.Store(view)
		}
		n.reader = newReader(readerConfig{
			policy: p, host: host, view: n.view.Load, platform: s.platform, log: log,
			metrics: &metrics{}, random: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		n.reader.starved = func() bool { return n.starved(n) }
		s.nodes = append(s.nodes, n)
	}
	return s
}

// start starts all nodes at the same moment.
func (s *simFleet) start(view *model.View) {
	for _, n := range s.nodes {
		head := n.reader.headFeed(func(data []byte) {
			record, err := config.DecodeRecord(data)
			if err == nil {
				n.head.Store(record.Number)
				n.headAt.Store(time.Now().UnixNano())
			}
		})
		deliver := func() { n.view.Store(view) }
		hosts := n.reader.hostsFeed(func(*model.HostList) { deliver() })
		s.cacheParsedLists(hosts, deliver)
		s.tasks.Go(func() { n.reader.follow(s.ctx, head) })
		s.tasks.Go(func() { n.reader.follow(s.ctx, hosts) })
	}
}

// cacheParsedLists makes the feed parse each version of the host list only once for
// the whole fleet, which keeps the test fast.
func (s *simFleet) cacheParsedLists(f *feed, deliver func()) {
	parse := f.parse
	f.parse = func(data []byte) (parsedValue, error) {
		digest := config.DigestOf(data)
		number, known := s.lists.Load(digest)
		if known {
			return parsedValue{number: number.(uint64), deliver: deliver}, nil
		}
		parsed, err := parse(data)
		if err == nil {
			s.lists.Store(digest, parsed.number)
		}
		return parsed, err
	}
}

func (s *simFleet) shutdown() {
	s.stop()
	s.tasks.Wait()
}

func (s *simFleet) nodesAtRelease(number uint64) int {
	n := 0
	for _, node := range s.nodes {
		if node.head.Load() == number {
			n++
		}
	}
	return n
}

func publish(g *WithT, p *countingPlatform, list *model.HostList, number uint64) {
	record := config.Record{Format: config.FormatVersion, Fleet: "test", Number: number, Previous: number - 1, ContentDigest: config.DigestParts(nil)}
	raw, err := record.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	p.put(model.KeyRecord(number), raw)
	p.put(model.KeyHead, raw)
	data, err := json.Marshal(list)
	g.Expect(err).NotTo(HaveOccurred())
	p.put(model.KeyHosts, data)
}

func always(*simNode) bool { return true }
func never(*simNode) bool  { return false }

// The worst case for the budget: all nodes restart at the same time, without a host
// list and without help from peers.
func TestColdStartStaysWithinBudget(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				list := hostList(referenceHosts, referenceDomains)
				s := newSimFleet(defaultPolicy(), list, seed, false, always)
				publish(g, s.platform, list, 1)
				s.start(viewOf(list))
				time.Sleep(20 * time.Second)
				s.shutdown()
				t.Logf("peak of %d calls in one second, %d calls in 20 s", s.platform.peak(), s.platform.callCount())
				g.Expect(s.platform.peak()).To(BeNumerically("<", referenceBudget))
				g.Expect(s.nodesAtRelease(1)).To(Equal(referenceHosts))
			})
		})
	}
}

func TestOutageStaysWithinBudget(t *testing.T) {
	t.Parallel()
	for _, hostListKnown := range []bool{false, true} {
		t.Run(fmt.Sprintf("host list known %v", hostListKnown), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				list := hostList(referenceHosts, referenceDomains)
				s := newSimFleet(defaultPolicy(), list, 4, hostListKnown, always)
				publish(g, s.platform, list, 1)
				s.platform.setDown(true)
				s.start(viewOf(list))
				time.Sleep(outageTime)
				outageCalls := s.platform.callCount()
				s.platform.setDown(false)
				time.Sleep(25 * time.Second)
				s.shutdown()
				t.Logf("peak of %d calls in one second, mean of %.0f/s during the outage", s.platform.peak(), float64(outageCalls)/outageTime.Seconds())
				g.Expect(s.platform.peak()).To(BeNumerically("<", referenceBudget))
				g.Expect(s.nodesAtRelease(1)).To(Equal(referenceHosts))
			})
		})
	}
}

// All nodes of an idle fleet lose their peers at the same moment and fall back to the
// platform.
func TestSimultaneousStarvationStaysWithinBudget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list := hostList(referenceHosts, referenceDomains)
		var peersLost atomic.Bool
		s := newSimFleet(defaultPolicy(), list, 5, true, func(*simNode) bool { return peersLost.Load() })
		publish(g, s.platform, list, 1)
		s.start(viewOf(list))
		time.Sleep(30 * time.Second)
		peersLost.Store(true)
		time.Sleep(30 * time.Second)
		s.shutdown()
		t.Logf("peak of %d calls in one second", s.platform.peak())
		g.Expect(s.platform.peak()).To(BeNumerically("<", referenceBudget))
		g.Expect(s.nodesAtRelease(1)).To(Equal(referenceHosts))
	})
}

// steadyCalls returns the calls per second of a fleet whose nodes get all values
// from their peers.
func steadyCalls(t *testing.T, g *WithT, hosts int) float64 {
	var rate float64
	synctest.Test(t, func(*testing.T) {
		list := hostList(hosts, referenceDomains)
		s := newSimFleet(defaultPolicy(), list, 6, true, never)
		publish(g, s.platform, list, 1)
		s.start(viewOf(list))
		time.Sleep(10 * time.Second)
		start := time.Now()
		time.Sleep(time.Minute)
		rate = float64(s.platform.callsSince(start)) / time.Minute.Seconds()
		s.shutdown()
	})
	return rate
}

func TestSteadyCallRateIsIndependentOfDomainSize(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	small := steadyCalls(t, g, 4*referenceDomains)
	large := steadyCalls(t, g, referenceHosts)
	t.Logf("%d hosts: %.1f calls/s; %d hosts: %.1f calls/s", 4*referenceDomains, small, referenceHosts, large)
	g.Expect(large).To(BeNumerically("~", small, small/20))
	readers := float64(defaultReadersPerDomain * referenceDomains)
	shortest := defaultWatchWait.Seconds() * (1 - watchJitter)
	g.Expect(large).To(BeNumerically("<", 2*readers/shortest))
	g.Expect(large).To(BeNumerically(">", readers))
}

// A change wakes the waiting watches of all readers within a second.
func TestReadersReceiveChangeWithinASecond(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list := hostList(referenceHosts, referenceDomains)
		s := newSimFleet(defaultPolicy(), list, 7, true, never)
		publish(g, s.platform, list, 1)
		s.start(viewOf(list))
		time.Sleep(30 * time.Second)
		published := time.Now()
		publish(g, s.platform, list, 2)
		time.Sleep(time.Second)
		s.shutdown()
		g.Expect(s.nodesAtRelease(2)).To(Equal(defaultReadersPerDomain * referenceDomains))
		last := int64(0)
		for _, n := range s.nodes {
			last = max(last, n.headAt.Load())
		}
		t.Logf("last reader received the release after %v", time.Unix(0, last).Sub(published))
	})
}
