package membership

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/model"
)

// View implements model.Fleet.
func (r *roster) View() *model.View {
	return r.view.Load()
}

// Subscribe implements model.Fleet.
func (r *roster) Subscribe(f func(*model.View)) {
	r.viewSubscribers = append(r.viewSubscribers, f)
}

func (r *roster) markDirty() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// publishViews builds a view after changes, at most one per interval, and passes it
// to the subscribers, until ctx ends.
func (r *roster) publishViews(ctx context.Context, interval time.Duration) {
	for {
		select {
		case <-r.dirty:
			r.mu.Lock()
			r.rebuildView()
			r.mu.Unlock()
			r.notify()
		case <-ctx.Done():
			return
		}
		if !clock.Sleep(ctx, interval) {
			return
		}
	}
}

func (r *roster) notify() {
	view := r.View()
	for _, f := range r.viewSubscribers {
		f(view)
	}
}

// rebuildView builds a new view from the records; the lock must be held.
func (r *roster) rebuildView() {
	members := make([]model.Member, 0, len(r.order))
	for _, id := range r.order {
		current := r.records[id]
		m := model.Member{Host: current.host, State: current.state, Incarnation: current.incarnation}
		if id == r.host.ID {
			m.State = max(r.ownState, current.healthyState())
			m.Incarnation = r.incarnation
		}
		members = append(members, m)
	}
	r.metrics.views.Add(1)
	r.view.Store(model.NewView(r.revision, members))
}
