package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// lockedGate is the gate of the node's own target, safe for concurrent use.
type lockedGate struct {
	mu   sync.Mutex
	gate *gate
}

func newLockedGate(s gateSettings) *lockedGate {
	return &lockedGate{gate: newGate(s, 1)}
}

func (l *lockedGate) setNodes(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.setNodes(nodes)
}

func (l *lockedGate) offer(now time.Time, r model.AdmissionRequest) (*ticket, decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.limiter.setSlots(r.Service.Slots)
	return l.gate.offer(now, offer{
		caller:   r.Caller.Name,
		grant:    r.Grant,
		cost:     costOf(r),
		deadline: r.Deadline,
	})
}

func costOf(r model.AdmissionRequest) float64 {
	if r.Route != nil && r.Route.Cost > 0 {
		return r.Route.Cost
	}
	return 1
}

func (l *lockedGate) expire(now time.Time, tk *ticket, reason model.Reason) (decision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.expire(now, tk, reason)
}

func (l *lockedGate) finish(now time.Time, tk *ticket, r model.AdmissionResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.finish(now, tk, r)
}

func (l *lockedGate) cancel(now time.Time, tk *ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.cancel(now, tk)
}

func (l *lockedGate) load() model.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.load()
}

// Admit admits a call, or queues it until a slot is free. It returns a
// rejection if the call is rejected on arrival, evicted from the queue or not
// started in time.
func (a *Admission) Admit(ctx context.Context, r model.AdmissionRequest) (model.Permit, *model.Rejection) {
	if err := a.ctx.Hooks().At(ctx, kernel.HookQueue); err != nil {
		return nil, &model.Rejection{Reason: model.ReasonOverloaded, RetryAfter: minRetryAfter}
	}
	tk, d := a.gate.offer(time.Now(), r)
	if d.waiting {
		d = a.wait(ctx, tk, r.Deadline)
	}
	if !d.started {
		return nil, &model.Rejection{
			Reason:     d.rejection.Reason,
			RetryAfter: d.rejection.RetryAfter,
			OverShare:  d.rejection.OverShare,
		}
	}
	return &permit{gate: a.gate, ticket: tk}, nil
}

// wait blocks until a queued call gets its decision, its startBy time passes or
// ctx is done.
func (a *Admission) wait(ctx context.Context, tk *ticket, deadline time.Time) decision {
	timer := time.NewTimer(time.Until(tk.startBy))
	defer timer.Stop()
	select {
	case d := <-tk.ready:
		return a.recheck(ctx, tk, d, deadline)
	case <-ctx.Done():
	case <-timer.C:
	}
	now := time.Now()
	if d, expired := a.gate.expire(now, tk, a.abandonReason(ctx, tk, now, deadline)); expired {
		return d
	}
	return a.recheck(ctx, tk, <-tk.ready, deadline) // the decision was already sent
}

// abandonReason returns the reason why a queued call stops waiting.
func (a *Admission) abandonReason(ctx context.Context, tk *ticket, now, deadline time.Time) model.Reason {
	switch {
	case !now.Before(deadline):
		return model.ReasonDeadline
	case ctx.Err() != nil:
		return model.ReasonCanceled
	default:
		return overloadReason(policy(a.settings.Policy), tk)
	}
}

// recheck releases the slot of a started call if its context is done or its
// deadline has passed by the time its goroutine runs, as after a process pause.
func (a *Admission) recheck(ctx context.Context, tk *ticket, d decision, deadline time.Time) decision {
	now := time.Now()
	if !d.started || now.Before(deadline) && ctx.Err() == nil {
		return d
	}
	a.gate.cancel(now, tk)
	reason := a.abandonReason(ctx, tk, now, deadline)
	return decision{rejection: model.Rejection{Reason: reason, OverShare: tk.demandOverShare}}
}

// Load returns the current load of the target.
func (a *Admission) Load() model.Load {
	return a.gate.load()
}

// permit is a slot held by an admitted call.
type permit struct {
	gate   *lockedGate
	ticket *ticket
	done   atomic.Bool
}

// Done releases the slot. Further calls have no effect.
func (p *permit) Done(r model.AdmissionResult) {
	if p.done.Swap(true) {
		return
	}
	p.gate.finish(time.Now(), p.ticket, r)
}

// OverShare reports whether the call exceeded its caller's share.
func (p *permit) OverShare() bool {
	return p.ticket.overShare
}
