package replica

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// overdueAfter is the time beyond the wait of a watch after which it is overdue.
	overdueAfter = 200 * time.Millisecond
	// verifyAge is the age of the copy from which other nodes are asked to call the store
	// after a failed call. Copies of followers are about as old at most without faults.
	verifyAge = 700 * time.Millisecond
	// verifyTimeout bounds such a call of another node to the store, and askTimeout the
	// request for it. Both end before the lease of the copy does.
	verifyTimeout = 350 * time.Millisecond
	askTimeout    = 450 * time.Millisecond
	// verificationTTL is how long the result of such a call is used for other requests.
	verificationTTL = 250 * time.Millisecond
	// maxAsked is the number of hosts that are asked at once; some may be down.
	maxAsked = 5
)

// checkWhenOverdue verifies, once the call to the store that started at a time is overdue,
// whether the store is in an outage. The caller must call the returned function when the call
// has ended; it waits for the check, or ends it if the call has succeeded.
func (r *Replica) checkWhenOverdue(ctx context.Context, s *sourceState, start time.Time) (end func(succeeded bool)) {
	ctx, cancel := context.WithCancel(ctx)
	called := make(chan struct{})
	var check sync.WaitGroup
	check.Go(func() {
		timer := time.NewTimer(r.settings.StoreWait.Std() + overdueAfter)
		defer timer.Stop()
		select {
		case <-timer.C:
			r.suspectFailure(start)
			r.verifyFailure(ctx, s)
		case <-called:
		case <-ctx.Done():
		}
	})
	return func(succeeded bool) {
		if succeeded {
			cancel()
		}
		close(called)
		check.Wait()
		cancel()
	}
}

// suspectFailure records that a call to the store has not been answered yet.
func (r *Replica) suspectFailure(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh.recordFailure(start, time.Now())
}

// verifyFailure asks other nodes to call the store and fetches their changes. If the copy is
// fresh or an outage is known, it fetches the changes of one node only.
func (r *Replica) verifyFailure(ctx context.Context, s *sourceState) {
	if r.age() < verifyAge || r.outageKnown() {
		r.fetchFromHost(ctx, otherDomainHost(s, rand.Uint64()))
		return
	}
	failed, responded := r.askOthers(ctx, s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh.recordVerification(failed, responded, len(s.hosts))
	r.renewLease()
}

func (r *Replica) outageKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.fresh.storeFailedAt().IsZero()
}

// askOthers asks up to maxAsked hosts, chosen by random, to call the store. It returns for how
// many of them the store failed and how many it responded to.
func (r *Replica) askOthers(ctx context.Context, s *sourceState) (failed, responded int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := r.peerRequest(0)
	q.verify = true
	asked := otherHosts(s)
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(len(asked), maxAsked)]
	responses := make([]*peerResponse, len(asked))
	var calls sync.WaitGroup
	for i, host := range asked {
		calls.Go(func() { responses[i] = r.fetch(ctx, netip.AddrPortFrom(host, r.peerPort).String(), q) })
	}
	calls.Wait()
	for _, response := range responses {
		switch {
		case response == nil:
		case response.storeFailed:
			failed++
		case response.Age < verifyAge:
			responded++
		}
	}
	return failed, responded
}

// otherHosts returns all hosts but the own one.
func otherHosts(s *sourceState) []netip.Addr {
	var hosts []netip.Addr
	for _, host := range s.hosts {
		if host.Address != s.self {
			hosts = append(hosts, host.Address)
		}
	}
	return hosts
}

// verification is the result of a call to the store at the request of another node.
type verification struct {
	// calling holds an element while a call is under way.
	calling chan struct{}
	failed  bool
	at      time.Time
}

// storeFails calls the store for another node, unless the copy is fresh or it has just done so,
// and reports whether that failed.
func (r *Replica) storeFails(ctx context.Context) bool {
	select {
	case r.verification.calling <- struct{}{}:
		defer func() { <-r.verification.calling }()
	case <-ctx.Done():
		return false
	}
	if r.age() < verificationTTL || r.Position().IsZero() {
		return false
	}
	if time.Since(r.verification.at) < verificationTTL {
		return r.verification.failed
	}
	r.verification.failed = !r.callStore(ctx)
	r.verification.at = time.Now()
	return r.verification.failed
}

// callStore reads the present changes from the store and reports whether it responded.
func (r *Replica) callStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	start := time.Now()
	items, position, err := r.store.Watch(ctx, r.Position(), 0)
	r.metrics.storeCalls.Add(1)
	if errors.Is(err, model.ErrCompacted) {
		return true // the store responds; a reader lists it
	}
	if err != nil {
		r.metrics.storeFailures.Add(1)
		return false
	}
	r.apply(update{items: items, position: position, confirmed: start, via: viaStore})
	return true
}
