package replica

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// source is where a node gets its next changes from.
type source uint8

const (
	// sourceStore watches the store.
	sourceStore source = iota
	// sourcePeer watches another node's copy.
	sourcePeer
)

// sourceState is the state that the choice of a source depends on.
type sourceState struct {
	self   netip.Addr
	domain string
	hosts  []model.TargetHost
	// links holds the known link rates of hosts, in Mbit/s.
	links map[netip.Addr]float64
	// age is the time since the copy was last confirmed to be up to date.
	age time.Duration
	// staleAfter is the age from which a node reads the store itself.
	staleAfter time.Duration
	// failures counts the consecutive failed calls to peers.
	failures int
	// follower is a host with a slower link that this one followed and that has reported
	// recently to follow this one, or the zero address.
	follower netip.Addr
}

// chooseSource returns the source of the next changes, and the address of the peer if it
// is one. Readers watch the store, all other nodes a reader of their failure domain. When
// all readers fail, they follow the next host in rank, which reads the store because it
// cannot follow itself; the loss of a reader thus does not send all of its followers to
// the store. A node whose copy is stale nevertheless reads the store.
//
// While hosts learn each other's link rates, they rank them differently, and two may follow
// each other. The one with the faster link then reads the store, unless it follows another
// host whose link rate it knows.
func chooseSource(s sourceState) (source, netip.Addr) {
	from, host := chooseByRank(&s)
	if from == sourcePeer && s.follower.IsValid() {
		_, known := s.links[host]
		if !known || host == s.follower {
			return sourceStore, netip.Addr{}
		}
	}
	return from, host
}

// chooseByRank returns the source of the next changes as if all hosts ranked each other
// in the same way.
func chooseByRank(s *sourceState) (source, netip.Addr) {
	hosts := rankedHosts(s)
	count := readerCount(len(hosts))
	readers := hosts[:count]
	if count == 0 || slices.Contains(readers, s.self) || s.age > s.staleAfter {
		return sourceStore, netip.Addr{}
	}
	if s.failures < count {
		return sourcePeer, readerFor(s.self, readers, s.failures)
	}
	if s.failures == count && count < len(hosts) && hosts[count] != s.self {
		return sourcePeer, hosts[count]
	}
	return sourceStore, netip.Addr{}
}

// minRetryPause is the shortest mean pause after a failed call to the store.
const minRetryPause = 250 * time.Millisecond

// retryRateShare is the share of the store's rate limit that retries may use when all
// nodes read the store at once.
const retryRateShare = 0.25

// retryPause returns how long to wait after a failed call before the store is called
// again. The mean grows with the consecutive failures, up to two doublings, and with the
// number of hosts, so that all nodes together stay far below the store's rate limit.
// random, from 0 to 1, adds jitter of half the mean in either direction.
func retryPause(failures, hosts int, readsPerSecond float64, random float64) time.Duration {
	floor := minRetryPause << min(failures, 2)
	fleetPause := time.Duration(float64(hosts) / (readsPerSecond * retryRateShare) * float64(time.Second))
	pause := max(floor, fleetPause)
	return pause/2 + time.Duration(random*float64(pause))
}
