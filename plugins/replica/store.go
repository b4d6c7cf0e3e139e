package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// readStore watches the store, or lists it if the copy is empty or the history after its
// position is not available. If the store fails, it fetches changes from another node, since
// the store may be unreachable from this one only. It reports whether the store responded.
func (r *Replica) readStore(ctx context.Context, s *sourceState) bool {
	r.startCall(viaStore)
	start := time.Now()
	endCheck := r.checkWhenOverdue(ctx, s, start)
	err := r.watchStore(ctx)
	if errors.Is(err, model.ErrCompacted) {
		err = r.listStore(ctx, false)
	}
	endCheck(err == nil)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		r.storeSucceeded()
		_ = clock.Sleep(ctx, r.settings.StorePause.Std()) // the loop ends with ctx
		return true
	}
	pause := r.storeFailed(start, err)
	r.verifyFailure(ctx, s)
	_ = clock.Sleep(ctx, pause) // the loop ends with ctx
	return false
}

func (r *Replica) watchStore(ctx context.Context) error {
	position := r.Position()
	if position.IsZero() {
		return r.firstList(ctx)
	}
	start := time.Now()
	wait := r.settings.StoreWait.Std()
	items, upTo, err := r.store.Watch(ctx, position, wait)
	if err != nil {
		return err
	}
	r.apply(update{items: items, position: upTo, confirmed: watchConfirmed(start, time.Now(), wait, len(items)), via: viaStore})
	return nil
}

// watchConfirmed returns a time at which the result of a watch from start to end was up to
// date. The response may have been on its way for long: it is only known to have been sent
// after the start, and after the whole wait if there were no changes.
func watchConfirmed(start, end time.Time, wait time.Duration, changes int) time.Time {
	if changes > 0 || end.Sub(start) < wait {
		return start
	}
	return start.Add(wait)
}

// firstList fills an empty copy. If the store's rate limit is exceeded, as when all nodes
// start at once, it reads a stale list; the next watch returns the later changes.
func (r *Replica) firstList(ctx context.Context) error {
	err := r.listStore(ctx, false)
	if errors.Is(err, model.ErrRateLimited) {
		err = r.listStore(ctx, true)
	}
	return err
}

func (r *Replica) listStore(ctx context.Context, stale bool) error {
	start := time.Now()
	items, position, err := r.store.List(ctx, stale)
	if err != nil {
		return err
	}
	if position.Before(r.Position()) {
		return errors.Errorf("store returned a list of position %s, older than the copy's position %s", position, r.Position())
	}
	r.apply(update{items: items, position: position, complete: true, stale: stale, confirmed: start, via: viaStore})
	return nil
}

func (r *Replica) storeSucceeded() {
	r.mu.Lock()
	failures := r.outage.recordSuccess(time.Now())
	r.fresh.recordSuccess()
	r.mu.Unlock()
	r.metrics.storeCalls.Add(1)
	if failures > 0 {
		r.log.Emit(eventStoreBack, event.Fields{"revision": r.Position(), "failures": failures})
	}
}

// storeFailed records a failed call to the store that started at a time, and returns how
// long to wait before the next one.
func (r *Replica) storeFailed(start time.Time, err error) time.Duration {
	now := time.Now()
	r.mu.Lock()
	r.outage.recordFailure(now)
	r.fresh.recordFailure(start, now)
	failures := r.outage.failures
	r.peerFailures = 0 // try the readers again
	hosts := len(r.list.Load().Hosts)
	r.mu.Unlock()
	r.metrics.storeCalls.Add(1)
	r.metrics.storeFailures.Add(1)
	if failures == 1 {
		r.log.Emit(eventStoreLost, event.Fields{"revision": r.Position(), "error": err.Error()})
	}
	return retryPause(failures-1, hosts, r.settings.StoreReadsPerSecond, rand.Float64())
}
