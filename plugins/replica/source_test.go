package replica

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/model"
)

// hostsIn returns n hosts spread evenly over failure domains.
func hostsIn(n, domains int) []model.TargetHost {
	hosts := make([]model.TargetHost, n)
	for i := range hosts {
		hosts[i] = model.TargetHost{
			Address: netip.AddrFrom4([4]byte{10, byte(i % domains), byte(i / 250), byte(i % 250)}),
			Domain:  fmt.Sprintf("d%d", i%domains),
		}
	}
	return hosts
}

// stateOf returns the state of a host whose copy is fresh.
func stateOf(hosts []model.TargetHost, i int) sourceState {
	return sourceState{self: hosts[i].Address, domain: hosts[i].Domain, hosts: hosts, staleAfter: 2 * time.Second}
}

func TestFewHostsOfEachDomainReadStore(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []struct{ hosts, domains, readers int }{{9, 4, 4}, {67, 4, 4}, {2000, 21, 42}} {
		hosts := hostsIn(size.hosts, size.domains)
		storeReaders := 0
		followers := map[netip.Addr]int{}
		for i, host := range hosts {
			from, reader := chooseSource(stateOf(hosts, i))
			if from == sourceStore {
				storeReaders++
				continue
			}
			g.Expect(reader).NotTo(Equal(host.Address))
			followers[reader]++
		}
		g.Expect(storeReaders).To(Equal(size.readers), "of %d hosts", size.hosts)
		for _, n := range followers {
			g.Expect(n).To(BeNumerically("<=", 2*hostsPerReader))
		}
	}
}

func TestHostWithFailedReadersOrStaleCopyReadsStore(t *testing.T) {
	g := NewWithT(t)
	hosts := hostsIn(67, 4)
	for i := range hosts {
		s := stateOf(hosts, i)
		s.age = 3 * time.Second
		from, _ := chooseSource(s)
		g.Expect(from).To(Equal(sourceStore))
		s = stateOf(hosts, i)
		s.failures = 5
		from, _ = chooseSource(s)
		g.Expect(from).To(Equal(sourceStore))
	}
}

func TestHostWithoutHostListReadsStore(t *testing.T) {
	g := NewWithT(t)
	from, _ := chooseSource(sourceState{self: netip.MustParseAddr("10.0.0.1"), domain: "d0"})
	g.Expect(from).To(Equal(sourceStore))
}

func TestHostListChangeMovesFewReaders(t *testing.T) {
	g := NewWithT(t)
	hosts := hostsIn(210, 21)
	fewer := append(hosts[:100:100], hosts[101:]...)
	moved := 0
	for i := range 21 {
		domain := fmt.Sprintf("d%d", i)
		if rankedHosts(&sourceState{domain: domain, hosts: hosts})[0] != rankedHosts(&sourceState{domain: domain, hosts: fewer})[0] {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<=", 1))
}

// Property: when the calls of all hosts fail at once, their retries stay below
// retryRateShare of the store's rate limit.
func TestFleetRetriesStayBelowStoreRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 5000).Draw(t, "hosts")
		const rate = 2000.0
		mean := (retryPause(5, hosts, rate, 0) + retryPause(5, hosts, rate, 1)) / 2
		if calls := float64(hosts) / mean.Seconds(); calls > rate*retryRateShare+float64(hosts)/0.9 || hosts > 1000 && calls > rate*retryRateShare*1.1 {
			t.Fatalf("%d hosts make %.0f calls per second", hosts, calls)
		}
	})
}

func TestRemovedEntryCountsUntilGracePeriodEnds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	ts := newTargets()
	entry := model.Item{Key: "entries/i-1", Position: at(1)}
	target := &model.Target{ID: "i-1", Service: "alpha", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	ts.set(target, entry, now)
	ts.remove("entries/i-1", now.Add(-time.Second), now)
	g.Expect(ts.list(at(1), newEvacuations().apply).ByID).To(BeEmpty(), "without an outage it is removed at once")

	ts.set(target, entry, now)
	ts.remove("entries/i-1", now.Add(2*time.Second), now)
	g.Expect(ts.list(at(1), newEvacuations().apply).ByID).To(HaveLen(1))
	changed, next := ts.expire(now.Add(time.Second))
	g.Expect(changed).To(BeFalse())
	g.Expect(next).To(Equal(now.Add(2 * time.Second)))
	changed, _ = ts.expire(now.Add(2 * time.Second))
	g.Expect(changed).To(BeTrue())
	g.Expect(ts.list(at(1), newEvacuations().apply).ByID).To(BeEmpty())

	ts.set(target, entry, now)
	ts.remove("entries/i-1", now.Add(2*time.Second), now)
	ts.set(target, entry, now)
	changed, next = ts.expire(now.Add(time.Hour))
	g.Expect(changed).To(BeFalse(), "a renewed entry stays")
	g.Expect(next).To(BeZero())
}

func TestAnotherHostReplacesUnreachableStore(t *testing.T) {
	g := NewWithT(t)
	hosts := hostsIn(9, 3)
	s := stateOf(hosts, 0)
	chosen := map[netip.Addr]bool{}
	for i := range uint64(100) {
		host := otherDomainHost(&s, i)
		g.Expect(host.As4()[1]).NotTo(Equal(s.self.As4()[1]), "the store may be unreachable from the whole failure domain")
		chosen[host] = true
	}
	g.Expect(chosen).To(HaveLen(6))
	s.hosts = hostsIn(9, 1)
	g.Expect(otherDomainHost(&s, 3).IsValid()).To(BeTrue(), "there is only one failure domain")
	s.hosts = s.hosts[:1]
	g.Expect(otherDomainHost(&s, 3).IsValid()).To(BeFalse())
}

func TestHostFollowedByItsPeerReadsStoreUnlessFasterHostIsKnown(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(hostsIn(16, 1), 0)
	s.links = map[netip.Addr]float64{s.self: 5}
	s.follower = s.hosts[3].Address
	from, _ := chooseSource(s)
	g.Expect(from).To(Equal(sourceStore), "the next host is chosen without knowing its link")
	fast := s.hosts[7].Address
	s.links[fast] = 100
	from, host := chooseSource(s)
	g.Expect(from).To(Equal(sourcePeer))
	g.Expect(host).To(Equal(fast))
	s.follower = fast
	from, _ = chooseSource(s)
	g.Expect(from).To(Equal(sourceStore), "the faster host follows this one")
}
