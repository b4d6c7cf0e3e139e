package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

const (
	// tickInterval is the time between two checks for expired timeouts.
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is the shortest time without activity of the roster that
	// counts as a pause of the process.
	pauseThreshold = 1500 * time.Millisecond
)

// roster holds the records of all hosts and the view built from them.
type roster struct {
	timing      timing
	host        model.Host
	incarnation model.Incarnation
	hooks       *kernel.Hooks
	log         *event.Log
	metrics     metrics

	viewSubscribers   []func(*model.View)
	noticeSubscribers []func(model.Notice)

	view  atomic.Pointer[model.View]
	dirty chan struct{}

	mu       sync.Mutex
	revision uint64
	records  map[model.HostID]*record
	// order holds the host IDs sorted, as views list them.
	order []model.HostID
	// timeDependent holds the hosts whose state can change without new input.
	timeDependent map[model.HostID]bool
	// ownState is the node's own state, and sequence the highest sequence known
	// of a notice about its current process.
	ownState model.MemberState
	sequence uint64
	// lastRun is when the roster last ran, for the detection of pauses.
	lastRun time.Time
	// resumedAt is the end of the latest pause of the process.
	resumedAt time.Time
	// lastContact is when the node itself last received evidence that another host
	// is up; zero after a pause.
	lastContact time.Time
}

// rosterConfig holds the settings and dependencies of a roster.
type rosterConfig struct {
	timing      timing
	host        model.Host
	incarnation model.Incarnation
	hooks       *kernel.Hooks
	log         *event.Log
}

func newRoster(c rosterConfig) *roster {
	r := &roster{
		timing:        c.timing,
		host:          c.host,
		incarnation:   c.incarnation,
		hooks:         c.hooks,
		log:           c.log,
		dirty:         make(chan struct{}, 1),
		records:       map[model.HostID]*record{},
		timeDependent: map[model.HostID]bool{},
		lastRun:       time.Now(),
	}
	r.view.Store(model.NewView(0, nil))
	return r
}

// SubscribeNotices implements model.Fleet.
func (r *roster) SubscribeNotices(f func(model.Notice)) {
	r.noticeSubscribers = append(r.noticeSubscribers, f)
}

// SetHostList implements model.Fleet. The new view is in place on return.
func (r *roster) SetHostList(list *model.HostList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Revision <= r.revision {
		return
	}
	now := time.Now()
	records := make(map[model.HostID]*record, len(list.Hosts))
	r.order = make([]model.HostID, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		records[host.ID] = r.recordFor(host, now)
		r.order = append(r.order, host.ID)
	}
	slices.Sort(r.order)
	r.records = records
	r.revision = list.Revision
	for id := range r.timeDependent {
		if records[id] == nil {
			delete(r.timeDependent, id)
		}
	}
	r.rebuildView()
	r.markDirty()
}

// recordFor returns the record for a host of a new list; the lock must be held. A
// host whose peer address has changed gets a new record.
func (r *roster) recordFor(host model.Host, now time.Time) *record {
	old := r.records[host.ID]
	if old == nil || old.host.PeerAddress != host.PeerAddress {
		fresh := &record{host: host, changedAt: now}
		fresh.state = fresh.healthyState()
		return fresh
	}
	updated := *old
	updated.host = host
	if updated.state == model.MemberLive || updated.state == model.MemberLeaving {
		updated.setState(updated.healthyState(), now)
	}
	return &updated
}

// Observe implements model.Fleet.
func (r *roster) Observe(o model.Observation) {
	r.mu.Lock()
	now := r.detectPause(time.Now())
	if o.At.IsZero() {
		o.At = now
	}
	res := r.applyObservation(o, now)
	r.mu.Unlock()
	r.broadcast(res.originate)
}

// applyObservation applies evidence; the lock must be held. It ignores failures
// observed before the end of a pause, since the pause may have caused them.
func (r *roster) applyObservation(o model.Observation, now time.Time) result {
	contact := o.Evidence == model.EvidenceAlive || o.Evidence == model.EvidenceDraining
	old := r.records[o.Host]
	if old == nil || o.Host == r.host.ID || (!contact && o.At.Before(r.resumedAt)) {
		return result{}
	}
	if contact {
		r.lastContact = now
	}
	updated, res := r.timing.observe(*old, o, r.mayBroadcast(now))
	r.store(old, updated)
	return res
}

// store replaces the contents of a record; the lock must be held.
func (r *roster) store(old *record, updated record) {
	visible := old.state != updated.state || old.incarnation != updated.incarnation
	if old.state != updated.state {
		r.metrics.transitions.Add(updated.state.String(), 1)
	}
	*old = updated
	if updated.timeDependent() {
		r.timeDependent[updated.host.ID] = true
	} else {
		delete(r.timeDependent, updated.host.ID)
	}
	if visible {
		r.markDirty()
	}
}
