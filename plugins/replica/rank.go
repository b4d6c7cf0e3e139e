package replica

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
)

// hostsPerReader is the number of hosts of a failure domain that share one reader of the
// store. It bounds the number of readers in a large fleet and of followers of a reader.
const hostsPerReader = 50

// rankedHosts returns the hosts of the own failure domain in the order in which they are
// chosen as readers of the store: those with the fastest links first, because a reader
// forwards all that it reads, and hosts with equal links by a hash of the address, so that
// a change of the list of hosts changes few readers. A host whose link rate is not known
// counts as equal to the own one.
func rankedHosts(s *sourceState) []netip.Addr {
	type candidate struct {
		host netip.Addr
		mbps float64
		hash uint64
	}
	var own []candidate
	for _, host := range s.hosts {
		if host.Domain != s.domain {
			continue
		}
		mbps, known := s.links[host.Address]
		if !known {
			mbps = s.links[s.self]
		}
		own = append(own, candidate{host: host.Address, mbps: mbps, hash: hashAddress(host.Address)})
	}
	slices.SortFunc(own, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.mbps, a.mbps), cmp.Compare(b.hash, a.hash))
	})
	hosts := make([]netip.Addr, len(own))
	for i, c := range own {
		hosts[i] = c.host
	}
	return hosts
}

// sameDomainHost returns another host of the own failure domain, chosen by random, or the
// zero address if there is none.
func sameDomainHost(s *sourceState, random uint64) netip.Addr {
	return otherHost(s, random, func(host model.TargetHost) bool { return host.Domain == s.domain })
}

// otherDomainHost returns a host of another failure domain, chosen by random. If there is
// none, it returns another host of the own one, or the zero address.
func otherDomainHost(s *sourceState, random uint64) netip.Addr {
	if host := otherHost(s, random, func(host model.TargetHost) bool { return host.Domain != s.domain }); host.IsValid() {
		return host
	}
	return sameDomainHost(s, random)
}

// otherHost returns a host other than the own one that matches, chosen by random, or the
// zero address if there is none.
func otherHost(s *sourceState, random uint64, matches func(model.TargetHost) bool) netip.Addr {
	var hosts []netip.Addr
	for _, host := range s.hosts {
		if host.Address != s.self && matches(host) {
			hosts = append(hosts, host.Address)
		}
	}
	if len(hosts) == 0 {
		return netip.Addr{}
	}
	return hosts[random%uint64(len(hosts))]
}

// readerCount returns the number of readers in a failure domain with that many hosts.
func readerCount(hosts int) int {
	return (hosts + hostsPerReader - 1) / hostsPerReader
}

func hashAddress(host netip.Addr) uint64 {
	bytes := host.As16()
	return xxhash.Sum64(bytes[:])
}

// readerFor returns the reader that a host follows: one chosen by a hash of its address,
// and after each consecutive failure the next one.
func readerFor(host netip.Addr, readers []netip.Addr, failures int) netip.Addr {
	first := hashAddress(host) % uint64(len(readers))
	return readers[(int(first)+failures)%len(readers)]
}
