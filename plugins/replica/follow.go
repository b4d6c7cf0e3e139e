package replica

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
)

// viaStore names the store as the source of a change in events.
const viaStore = "store"

// follow keeps the copy up to date until ctx ends.
func (r *Replica) follow(ctx context.Context) {
	var linksExchangedAt time.Time
	for ctx.Err() == nil {
		s := r.sourceState()
		from, host := chooseSource(s)
		r.setFollows(host)
		if from == sourceStore {
			if !r.readStore(ctx, &s) {
				continue
			}
			if time.Since(linksExchangedAt) >= linkExchangeInterval {
				linksExchangedAt = time.Now()
				r.exchangeLinks(ctx, &s)
			}
			continue
		}
		r.followPeer(ctx, host)
		_ = clock.Sleep(ctx, r.settings.PeerPause.Std()) // the loop ends with ctx
	}
}

// minFollowTimeout is the shortest time for a call to the followed peer.
const minFollowTimeout = 300 * time.Millisecond

// followPeer fetches the next changes from the host that the node follows. The call ends
// when the copy becomes stale, so that the node can turn to the store.
func (r *Replica) followPeer(ctx context.Context, host netip.Addr) {
	peer := netip.AddrPortFrom(host, r.peerPort).String()
	r.startCall(peer)
	timeout := max(r.settings.refreshAge()-r.age(), minFollowTimeout)
	followCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := r.fetchFrom(followCtx, peer, r.settings.PeerWait.Std())
	if response != nil && response.Follows == r.self && r.recordFollower(host) {
		r.learnLinks(ctx)
	}
}

// recordFollower records that a host which this node followed follows this node. It has no
// effect if that host's link is as fast as the own one: then neither is a likely reader, and
// both find one with the link rates that they receive.
func (r *Replica) recordFollower(host netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links.rates[host] >= r.links.rates[r.self] {
		return false
	}
	r.follower, r.followerAt = host, time.Now()
	return true
}

// maxLinkRequests is the number of hosts from which a node learns link rates at once. After
// a restart of one host, almost every other one knows the readers.
const maxLinkRequests = 3

// learnLinks learns the link rates that some other hosts of the failure domain know, until
// one of them has a faster link than the node.
func (r *Replica) learnLinks(ctx context.Context) {
	for range maxLinkRequests {
		s := r.sourceState()
		if from, _ := chooseSource(s); from == sourcePeer {
			return
		}
		r.fetchFromHost(ctx, sameDomainHost(&s, rand.Uint64()))
	}
}

// setFollows records the host that the node follows, the zero address if it reads the
// store.
func (r *Replica) setFollows(host netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follows = host
}

// linkExchangeInterval is how often a node that reads the store exchanges link rates with
// another node. All other nodes exchange them with their readers.
const linkExchangeInterval = 5 * time.Second

// exchangeLinks exchanges link rates with any other host of the failure domain. Without
// this, nodes that do not know each other's link rate would both remain readers.
func (r *Replica) exchangeLinks(ctx context.Context, s *sourceState) {
	if r.settings.LinkMbps > 0 {
		r.fetchFromHost(ctx, sameDomainHost(s, rand.Uint64()))
	}
}

// followerTTL is how long the report of a host that it follows this one counts. Link rates
// spread in that time.
const followerTTL = 2 * time.Second

// readerRetryDelay is the time since the last failed call to a peer after which a node
// tries its first reader again.
const readerRetryDelay = 10 * time.Second

func (r *Replica) sourceState() sourceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.peerFailedAt) >= readerRetryDelay {
		r.peerFailures = 0
	}
	var follower netip.Addr
	if time.Since(r.followerAt) < followerTTL {
		follower = r.follower
	}
	return sourceState{
		follower:   follower,
		self:       r.self,
		domain:     r.domain,
		hosts:      r.list.Load().Hosts,
		links:      maps.Clone(r.links.rates),
		age:        time.Since(r.fresh.confirmed),
		staleAfter: r.settings.refreshAge(),
		failures:   r.peerFailures,
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
