package membership

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// Apply implements model.Fleet.
func (r *roster) Apply(n model.Notice) bool {
	r.mu.Lock()
	now := r.detectPause(time.Now())
	var res result
	if n.Host == r.host.ID {
		res = r.refuteNotice(n)
	} else if old := r.records[n.Host]; old != nil {
		var updated record
		updated, res = r.timing.applyNotice(*old, n, now)
		r.store(old, updated)
	}
	r.mu.Unlock()
	r.metrics.notices.Add(1)
	if res.fresh {
		r.metrics.freshNotices.Add(1)
	}
	r.broadcast(res.originate)
	return res.fresh
}

// refuteNotice returns a refutation of a notice that gives a wrong state of the
// node's own process; the lock must be held. Notices about other processes of the
// host are dropped.
func (r *roster) refuteNotice(n model.Notice) result {
	if n.Incarnation != r.incarnation {
		return result{}
	}
	r.sequence = max(r.sequence, n.Sequence)
	if n.State == r.ownState {
		return result{}
	}
	r.metrics.refutations.Add(1)
	refutation := r.ownNotice()
	return result{originate: &refutation}
}

// ownNotice returns a notice of the node's own state with the next sequence; the
// lock must be held.
func (r *roster) ownNotice() model.Notice {
	r.sequence++
	return model.Notice{Host: r.host.ID, Incarnation: r.incarnation, State: r.ownState, Sequence: r.sequence}
}

// Announce implements model.Fleet. A process cannot return from leaving to live.
func (r *roster) Announce(state model.MemberState) {
	r.mu.Lock()
	r.ownState = max(r.ownState, state)
	n := r.ownNotice()
	r.rebuildView()
	r.markDirty()
	r.mu.Unlock()
	r.broadcast(&n)
}

// broadcast passes a notice to the subscribers; it ignores nil. If the fault hook
// fails, a notice of leaving is dropped and logged.
func (r *roster) broadcast(n *model.Notice) {
	if n == nil {
		return
	}
	if n.State == model.MemberLeaving {
		if err := r.hooks.At(context.Background(), kernel.HookNotifyLeaving); err != nil {
			r.log.Emit(eventNoticeFailed, event.Fields{"member": string(n.Host), "error": err.Error()})
			return
		}
	}
	r.metrics.originated.Add(1)
	for _, f := range r.noticeSubscribers {
		f(*n)
	}
}

// mayBroadcast reports whether the node may announce state changes of other hosts:
// it must have received evidence from another host within trustAlive. Otherwise the
// node itself may be the one that is partitioned.
func (r *roster) mayBroadcast(now time.Time) bool {
	return !r.lastContact.IsZero() && now.Sub(r.lastContact) < r.timing.trustAlive
}
