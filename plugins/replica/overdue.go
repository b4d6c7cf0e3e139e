package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// overdueAfter is the time beyond the wait of a watch after which it is overdue.
	overdueAfter = 200 * time.Millisecond
	// askTimeout bounds the calls to other nodes after a failed or overdue call to the
	// store, and retryTimeout the second call to the store. An overdue watch and these end
	// at about the same time, before the copy is too old.
	askTimeout   = 150 * time.Millisecond
	retryTimeout = 350 * time.Millisecond
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

// verifyFailure finds out whether other nodes have newer copies, and calls the store once more
// if they have not. It reports whether the store responded.
func (r *Replica) verifyFailure(ctx context.Context, s *sourceState) bool {
	r.askOthers(ctx, s)
	return r.outageSuspected() && r.retryStore(ctx)
}

// askOthers fetches changes from minStalePeers other hosts at once, of other failure domains if
// possible.
func (r *Replica) askOthers(ctx context.Context, s *sourceState) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for range minStalePeers {
		calls.Go(func() { r.fetchFromHost(ctx, otherDomainHost(s, rand.Uint64())) })
	}
	calls.Wait()
}

// outageSuspected reports whether the last call to the store may have failed because of an
// outage of the store.
func (r *Replica) outageSuspected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh.failure.suspected()
}

// retryStore calls the store once more, at once, after other nodes have responded: the first
// call may have failed because this node was cut off. It reports whether the store responded.
func (r *Replica) retryStore(ctx context.Context) bool {
	position := r.Position()
	if position.IsZero() {
		return false
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	items, upTo, err := r.store.Watch(ctx, position, 0)
	switch {
	case errors.Is(err, model.ErrCompacted):
		r.storeSucceeded()
		return true // the next call lists the store
	case err != nil:
		_ = r.storeFailed(start, err) // the pause after the first call applies
		return false
	}
	r.apply(update{items: items, position: upTo, confirmed: start, via: viaStore})
	r.storeSucceeded()
	return true
}
