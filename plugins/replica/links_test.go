package replica

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/model"
)

func TestHostsWithFastLinksReadStore(t *testing.T) {
	g := NewWithT(t)
	hosts := hostsIn(60, 4)
	rates := map[netip.Addr]float64{}
	for i, host := range hosts {
		rates[host.Address] = 5
		if i >= 40 && i < 44 {
			rates[host.Address] = 100
		}
	}
	for i, host := range hosts {
		s := stateOf(hosts, i)
		s.links = rates
		from, reader := chooseSource(s)
		if rates[host.Address] == 100 {
			g.Expect(from).To(Equal(sourceStore))
			continue
		}
		g.Expect(from).To(Equal(sourcePeer))
		g.Expect(rates[reader]).To(Equal(100.0))
	}
}

func TestNextHostInRankReplacesFailedReader(t *testing.T) {
	g := NewWithT(t)
	hosts := hostsIn(60, 4)
	standbys := map[netip.Addr]bool{}
	readers := 0
	for i := range hosts {
		s := stateOf(hosts, i)
		order := rankedHosts(&s)
		if order[0] == s.self {
			continue // this host is the failed reader
		}
		s.failures = 1
		from, host := chooseSource(s)
		if from == sourceStore {
			g.Expect(s.self).To(Equal(order[1]))
			readers++
			continue
		}
		g.Expect(host).To(Equal(order[1]))
		standbys[host] = true
		s.failures = 2
		from, _ = chooseSource(s)
		g.Expect(from).To(Equal(sourceStore))
	}
	g.Expect(readers).To(Equal(4), "one of each domain")
	g.Expect(standbys).To(HaveLen(4))
}

func TestDomainOfOneHostHasNoStandby(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(hostsIn(2, 1), 0)
	s.hosts = s.hosts[:1]
	s.self = netip.MustParseAddr("10.9.9.9")
	s.failures = 1
	from, _ := chooseSource(s)
	g.Expect(from).To(Equal(sourceStore))
}

// Property: for any link rates, after some rounds of requests exactly readerCount hosts read
// the store, those with the fastest links, and all others follow one of them.
func TestHostsConvergeOnReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsIn(rapid.SampledFrom([]int{2, 9, 55, 104}).Draw(t, "hosts"), 1)
		nodes := map[netip.Addr]*links{}
		var rates []float64
		for _, host := range hosts {
			l := newLinks()
			l.record(host.Address, rapid.SampledFrom([]float64{5, 20, 100}).Draw(t, "mbps"))
			nodes[host.Address] = l
			rates = append(rates, l.rates[host.Address])
		}
		const rounds = 30
		var reading []float64
		var followed map[netip.Addr]bool
		for round := range rounds {
			reading, followed = nil, map[netip.Addr]bool{}
			for i, host := range hosts {
				s := stateOf(hosts, i)
				own := nodes[host.Address]
				s.links = own.rates
				from, reader := chooseSource(s)
				if from == sourceStore {
					reading = append(reading, own.rates[host.Address])
					reader = sameDomainHost(&s, uint64(round*7+i))
				} else {
					followed[reader] = true
				}
				nodes[reader].record(host.Address, own.rates[host.Address])
				if nodes[reader].digest != own.digest {
					own.apply(nodes[reader].sorted(), hosts)
				}
			}
		}
		slices.Sort(rates)
		slices.Sort(reading)
		if want := rates[len(rates)-readerCount(len(hosts)):]; !slices.Equal(reading, want) {
			t.Fatalf("hosts with links of %v read the store, not of %v", reading, want)
		}
		if len(followed) > len(reading) {
			t.Fatalf("%d hosts are followed, but %d read the store", len(followed), len(reading))
		}
	})
}

func TestInvalidLinkRatesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	l := newLinks()
	empty := l.digest
	host := netip.MustParseAddr("10.0.0.1")
	for _, mbps := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		l.record(host, mbps)
	}
	l.apply([]peerLink{{Address: host, Mbps: 5}}, nil)
	g.Expect(l.rates).To(BeEmpty(), "the host is not listed")
	g.Expect(l.digest).To(Equal(empty))
	l.apply([]peerLink{{Address: host, Mbps: 5}}, []model.TargetHost{{Address: host}})
	g.Expect(l.digest).NotTo(Equal(empty))
	l.retain(netip.MustParseAddr("10.0.0.2"), nil)
	g.Expect(l.digest).To(Equal(empty))
}

func TestLinksRoundTripThroughEncoding(t *testing.T) {
	g := NewWithT(t)
	sent := peerResponse{Revision: 3, Links: []peerLink{{Address: netip.MustParseAddr("10.0.0.1"), Mbps: 2.5}}}
	data, err := cbor.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	var read peerResponse
	g.Expect(peerDecoding.Unmarshal(data, &read)).To(Succeed())
	g.Expect(read.Links).To(Equal(sent.Links))
}

func TestPeerRequestRoundTripsThroughQuery(t *testing.T) {
	g := NewWithT(t)
	q := peerRequest{after: at(7), wait: 600 * time.Millisecond, mbps: 2.5, links: 1 << 63, held: map[string]model.Position{"a:b c": at(5), "d": at(1)}}
	g.Expect(parsePeerRequest(q.query())).To(Equal(q))
	for _, field := range []string{"after", "wait_ms", "link_mbps", "links", "held"} {
		query := q.query()
		query.Set(field, "x")
		_, err := parsePeerRequest(query)
		g.Expect(err).To(MatchError(ContainSubstring(field)))
	}
}
