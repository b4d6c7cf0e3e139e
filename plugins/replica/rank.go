package replica

import (
	"net/netip"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// hostsPerReader is the number of hosts that one reader of the store feeds. It
// bounds both the readers of a large fleet and the followers of one node.
const hostsPerReader = 50

// leastReaders keeps the fleet fed while one reader restarts.
const leastReaders = 2

// readers returns the hosts that watch the store on behalf of all: those with the
// highest rank, which depends on nothing but the list, so that every node names
// the same ones and a change of the list moves few.
func readers(hosts []netip.Addr) []netip.Addr {
	ranked := slices.Clone(hosts)
	sort.Slice(ranked, func(i, j int) bool { return rank(ranked[i]) > rank(ranked[j]) })
	count := max(leastReaders, (len(hosts)+hostsPerReader-1)/hostsPerReader)
	return ranked[:min(count, len(ranked))]
}

func rank(host netip.Addr) uint64 {
	bytes := host.As16()
	return xxhash.Sum64(bytes[:])
}

// readerOf returns the reader that a host follows, by the number of readers that
// have failed it in a row.
func readerOf(host netip.Addr, readers []netip.Addr, failures int) netip.Addr {
	first := rank(host) % uint64(len(readers))
	return readers[(int(first)+failures)%len(readers)]
}
