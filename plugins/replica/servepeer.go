package replica

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/fxamacker/cbor/v2"
)

// servePeer handles a peer's request.
func (r *Replica) servePeer(w http.ResponseWriter, request *http.Request) {
	q, err := parsePeerRequest(request.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.assumeEra(r.Position().Era)
	arrived := time.Now()
	host, sameDomain := r.recordRequester(request, q)
	r.waitForChange(request.Context(), host, q.after, q.wait)
	storeFailed := q.verify && r.storeFails(request.Context())
	response := r.responseTo(q, arrived)
	if response == nil {
		http.Error(w, "the node holds nothing yet", http.StatusServiceUnavailable)
		return
	}
	if sameDomain {
		response.Links = r.linksFor(q)
	}
	data, err := cbor.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	response.position().SetHeader(w.Header())
	if storeFailed {
		w.Header()[headerStoreFailed] = []string{"1"}
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(data))}
	_, _ = w.Write(data) // the peer may have disconnected
}

// recordRequester records the position and the link rate of the node that sent a request.
// It returns that node's host and whether it is in the own failure domain; link rates are
// exchanged within one only.
func (r *Replica) recordRequester(request *http.Request, q peerRequest) (host netip.Addr, sameDomain bool) {
	requester, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		return netip.Addr{}, false
	}
	host = requester.Addr().Unmap()
	r.ObservePosition(netip.AddrPortFrom(host, r.peerPort).String(), q.after)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, listed := range r.list.Load().Hosts {
		if listed.Address == host && listed.Domain == r.domain {
			r.links.record(host, q.mbps)
			return host, true
		}
	}
	return host, false
}

// linksFor returns the link rates that the node knows, nil if the requester has the same.
func (r *Replica) linksFor(q peerRequest) []peerLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.links == r.links.digest {
		return nil
	}
	return r.links.sorted()
}

// waitForChange blocks until the copy is newer than a position or has been confirmed to be
// up to date since the call, for at most wait, or until ctx ends or the node stops. It does
// not block if the node follows the host that waits, which has to read the store then.
func (r *Replica) waitForChange(ctx context.Context, host netip.Addr, after model.Position, wait time.Duration) {
	start := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !r.stopping.Load() {
		r.mu.Lock()
		updated := r.copy.position.After(after) || r.fresh.confirmed.After(start) || r.follows.IsValid() && r.follows == host
		updates := r.updated
		r.mu.Unlock()
		if updated {
			return
		}
		select {
		case <-updates:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// responseTo returns the response to a request, nil if the node's copy is empty.
func (r *Replica) responseTo(q peerRequest, arrived time.Time) *peerResponse {
	response, outgoing := r.missingItems(q, arrived)
	for _, x := range outgoing {
		response.Items = append(response.Items, r.packer.pack(x))
	}
	return response
}

// sinceStoreFailure returns the time since a call to the store last failed in the present
// outage, 0 if there is none. The caller holds mu.
func (r *Replica) sinceStoreFailure(now time.Time) time.Duration {
	failedAt := r.fresh.storeFailedAt()
	if failedAt.IsZero() {
		return 0
	}
	return max(now.Sub(failedAt), 1)
}

// missingItems returns a response without items, and the items that the requester lacks.
// The caller packs these outside of the lock.
func (r *Replica) missingItems(q peerRequest, arrived time.Time) (*peerResponse, []outgoingItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copy.position.IsZero() {
		return nil, nil
	}
	now := time.Now()
	response := &peerResponse{
		era:               r.copy.position.Era,
		Revision:          r.copy.position.Revision,
		Age:               now.Sub(r.fresh.confirmed),
		Held:              now.Sub(arrived),
		GapAfter:          r.copy.gap.after.Revision,
		GapBefore:         r.copy.gap.before.Revision,
		SinceOutage:       r.outage.since(now),
		SinceStoreFailure: r.sinceStoreFailure(now),
		Follows:           r.follows,
	}
	if !q.after.Before(r.copy.position) {
		return response, nil
	}
	items, complete := r.copy.since(q.after)
	response.Complete = complete
	outgoing := make([]outgoingItem, len(items))
	for i, item := range items {
		outgoing[i].item = item
		outgoing[i].unchanged = q.after.Era == r.copy.position.Era && !item.Position.After(q.after) && !item.Removed
		if base, ok := r.copy.base(item.Key, q.held[item.Key]); ok {
			outgoing[i].base = base
		}
	}
	return response, outgoing
}
