package replica

import (
	"context"
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// fetchFromHost fetches the present changes from a host, without waiting for later ones.
// It does nothing if host is the zero address.
func (r *Replica) fetchFromHost(ctx context.Context, host netip.Addr) {
	if host.IsValid() {
		r.fetchFrom(ctx, netip.AddrPortFrom(host, r.peerPort).String(), 0)
	}
}

// fetchFrom fetches changes from the copy of the node at a peer address and applies them.
// The peer waits for up to wait if it has none. It returns nil if the call fails.
func (r *Replica) fetchFrom(ctx context.Context, peer string, wait time.Duration) *peerResponse {
	return r.fetch(ctx, peer, r.peerRequest(wait))
}

// fetch sends a request to the node at a peer address and applies the changes. It returns nil if
// the call fails.
func (r *Replica) fetch(ctx context.Context, peer string, q peerRequest) *peerResponse {
	start := time.Now()
	response, err := r.client.watch(ctx, peer, q)
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil // the node stops
	}
	if err != nil {
		r.peerFailed(peer, err)
		return nil
	}
	items, err := r.unpackAll(response)
	if err != nil {
		r.peerFailed(peer, err)
		return nil
	}
	now := time.Now()
	// The response was sent at least the time after the start for which it was held.
	sentAt := start.Add(min(response.Held, now.Sub(start)))
	confirmed := sentAt.Add(-response.Age)
	var failedAt time.Time
	if response.SinceStoreFailure > 0 {
		failedAt = sentAt.Add(-response.SinceStoreFailure)
	}
	r.mu.Lock()
	r.peerFailures = 0
	r.call.sourceAge = response.Age
	r.links.apply(response.Links, r.list.Load().Hosts)
	r.outage.recordPeerAge(response.Age)
	r.outage.recordPeerOutage(response.SinceOutage, now.Sub(r.fresh.confirmed) > r.settings.refreshAge(), now)
	r.fresh.recordPeer(confirmed, failedAt)
	r.mu.Unlock()
	r.apply(update{
		items:     items,
		position:  response.position(),
		complete:  response.Complete,
		peerGap:   response.gap(),
		confirmed: confirmed,
		via:       peer,
	})
	return response
}

// peerRequest returns a request for the changes after the copy's position.
func (r *Replica) peerRequest(wait time.Duration) peerRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peerRequest{after: r.copy.position, wait: wait, mbps: r.settings.LinkMbps, links: r.links.digest, held: r.copy.deltaBases()}
}

// unpackAll decompresses the items of a peer's response.
func (r *Replica) unpackAll(response *peerResponse) ([]model.Item, error) {
	items := make([]model.Item, len(response.Items))
	for i, p := range response.Items {
		var err error
		if items[i], err = unpack(p, response.era, r.heldItem); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// heldItem returns the version that the copy holds of an item, zero if there is none.
func (r *Replica) heldItem(key string) model.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copy.items[key]
}

func (r *Replica) peerFailed(peer string, err error) {
	r.mu.Lock()
	r.peerFailures++
	r.peerFailedAt = time.Now()
	r.mu.Unlock()
	r.metrics.peerFailures.Add(1)
	r.log.Emit(eventPeerLost, event.Fields{"peer": peer, "error": err.Error()})
}
