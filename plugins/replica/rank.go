package replica

import (
	"net/netip"
	"sort"

	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
)

// hostsPerReader is the number of hosts of a failure domain that one reader of the
// store feeds. It bounds the readers of a large fleet and the followers of a node.
const hostsPerReader = 50

// readers returns the hosts of each failure domain that watch the store on behalf
// of the others there: those with the highest rank. It depends on nothing but the
// list, so every node names the same ones and a change of the list moves few.
func readers(hosts []model.TargetHost) map[string][]netip.Addr {
	byDomain := map[string][]netip.Addr{}
	for _, host := range hosts {
		byDomain[host.Domain] = append(byDomain[host.Domain], host.Address)
	}
	for domain, ranked := range byDomain {
		sort.Slice(ranked, func(i, j int) bool { return rank(ranked[i]) > rank(ranked[j]) })
		count := (len(ranked) + hostsPerReader - 1) / hostsPerReader
		byDomain[domain] = ranked[:count]
	}
	return byDomain
}

func rank(host netip.Addr) uint64 {
	bytes := host.As16()
	return xxhash.Sum64(bytes[:])
}

// readerOf returns the reader that a host follows: one of its failure domain, and
// after failures in a row the next one.
func readerOf(host netip.Addr, readers []netip.Addr, failures int) netip.Addr {
	first := rank(host) % uint64(len(readers))
	return readers[(int(first)+failures)%len(readers)]
}
