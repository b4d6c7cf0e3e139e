package replica

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/model"
)

const (
	// refreshInterval is the time between two requests to other nodes while the copy is
	// stale.
	refreshInterval = 150 * time.Millisecond
	// maxRefreshes bounds the requests in progress. On a congested link the responses may
	// take seconds.
	maxRefreshes = 4
)

// refresh fetches changes from hosts chosen by random while the copy is stale, until ctx
// ends. It does not wait for the calls to the node's source, which may be slow or fail.
func (r *Replica) refresh(ctx context.Context) {
	slots := make(chan struct{}, maxRefreshes)
	for round := 0; r.waitUntilStale(ctx); round++ {
		select {
		case slots <- struct{}{}:
			r.startTask("refresh", func(ctx context.Context) {
				defer func() { <-slots }()
				r.fetchFromHost(ctx, r.refreshHost(round))
			})
		default:
		}
		_ = clock.Sleep(ctx, refreshInterval) // the loop ends with ctx
	}
}

// waitUntilStale waits until the copy is stale. It returns false if ctx ends first.
func (r *Replica) waitUntilStale(ctx context.Context) bool {
	for {
		remaining := r.settings.refreshAge() - r.age()
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if !clock.Sleep(ctx, remaining) {
			return false
		}
	}
}

// refreshHost returns the host to ask in a round, or the zero address if there is none:
// by turns a reader of the own failure domain, which is the first to know of an outage of
// the store, and any host, chosen by random.
func (r *Replica) refreshHost(round int) netip.Addr {
	s := r.sourceState()
	hosts := rankedHosts(&s)
	readers := hosts[:readerCount(len(hosts))]
	if round%2 == 0 && len(readers) > 0 {
		if reader := readerFor(r.self, readers, round/2); reader != r.self {
			return reader
		}
	}
	return otherHost(&s, rand.Uint64(), func(model.TargetHost) bool { return true })
}

// newerPeerMinAge is the age of the copy, since it was last confirmed, from which changes
// are fetched from a peer with a later position. Before that they come from the reader,
// which has them packed for all of its followers.
const newerPeerMinAge = 1200 * time.Millisecond

// newerPeerInterval is the shortest time between two such fetches, so that an unreachable
// peer is not called for each request that it sends.
const newerPeerInterval = 100 * time.Millisecond

// ObservePosition implements model.Replica. It does not block.
func (r *Replica) ObservePosition(peer string, position model.Position) {
	if !position.After(r.Position()) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fresh.newestPosition = model.LatestPosition(r.fresh.newestPosition, position)
	r.renewLease()
	if r.newerPeer == "" && now.Sub(r.fresh.confirmed) >= newerPeerMinAge && now.Sub(r.newerPeerAt) >= newerPeerInterval {
		r.newerPeer, r.newerPeerAt = peer, now
		r.startTask("fetch from newer peer", r.fetchFromNewerPeer)
	}
}

// fetchFromNewerPeer fetches changes from the peer that has a later position.
func (r *Replica) fetchFromNewerPeer(ctx context.Context) {
	r.mu.Lock()
	peer := r.newerPeer
	r.mu.Unlock()
	r.fetchFrom(ctx, peer, 0)
	r.mu.Lock()
	r.newerPeer = ""
	r.mu.Unlock()
}
