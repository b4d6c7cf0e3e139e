package replica

import (
	"runtime/debug"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// update is the result of one read of the store or of a peer's copy.
type update struct {
	items    []model.Item
	position model.Position
	// complete is set when the items are the whole copy and not just changes.
	complete bool
	// peerGap is the gap of the peer's copy.
	peerGap gap
	// stale is set when the items may be seconds old.
	stale bool
	// confirmed is a time at which the items were up to date.
	confirmed time.Time
	// via is the source of the update in events: viaStore or the address of a peer.
	via string
}

// apply applies an update to the copy and publishes what it changes.
func (r *Replica) apply(u update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := change{via: u.via, at: time.Now(), restored: r.restores(u)}
	earlier := r.copy.position
	items := r.applyToCopy(u)
	r.confirm(u)
	targetsChanged := false
	for _, item := range items {
		switch r.decoder.Kind(item.Key) {
		case model.ItemConfiguration:
			r.applyConfiguration(item, u.via)
		case model.ItemTarget:
			r.applyTarget(item, c)
			targetsChanged = true
		case model.ItemEvacuation:
			r.applyEvacuation(item, c)
			targetsChanged = true
		}
	}
	if c.restored {
		r.logRestore(earlier, len(items), u.via)
	}
	if targetsChanged {
		r.publishTargets()
	}
	position := r.copy.position
	r.position.Store(&position)
	r.renewLease()
	r.wakeWaiters()
}

// change describes the update that changed an item.
type change struct {
	via string
	at  time.Time
	// restored is set if the store was restored from an older copy.
	restored bool
}

// restores reports whether an update is the first one of a later era. The caller holds mu.
func (r *Replica) restores(u update) bool {
	return u.complete && !r.copy.position.IsZero() && u.position.Era > r.copy.position.Era
}

// applyToCopy applies an update to the copy and returns the items that changed. The caller
// holds mu.
func (r *Replica) applyToCopy(u update) []model.Item {
	switch {
	case !u.complete:
		return r.copy.applyFromPeer(u.items, u.position, u.peerGap)
	case u.position.Before(r.copy.position):
		return nil
	default:
		return r.copy.replace(u.items, u.position)
	}
}

func (r *Replica) logRestore(earlier model.Position, changes int, via string) {
	r.log.Emit(eventRestored, event.Fields{"revision": r.copy.position, "earlier": earlier, "changes": changes, "via": via})
}

// confirm updates the time at which the copy was last known to be up to date. The caller
// holds mu.
func (r *Replica) confirm(u update) {
	if !u.stale && !u.position.Before(r.copy.position) {
		r.fresh.confirm(u.confirmed)
	}
}

// applyConfiguration puts a configuration in force, or rejects it as a whole.
func (r *Replica) applyConfiguration(item model.Item, via string) {
	if item.Removed {
		return // the configuration in force remains until there is a later one
	}
	table, err := withoutPanic(item, r.compile)
	if err != nil {
		r.metrics.refused.Add(1)
		r.log.Emit(eventRefused, event.Fields{"revision": item.Position, "via": via, "error": errorText(err)})
		return
	}
	r.table.Store(table)
	r.log.Emit(eventApplied, event.Fields{
		"configuration": table.Number,
		"revision":      item.Position,
		"routes":        len(table.Routes()),
		"via":           via,
	})
}

// withoutPanic reads an item and returns a panic as an error. All nodes read the same items, again
// after a restart, so that a fault in reading one would end all of them for good.
func withoutPanic[T any](item model.Item, read func(model.Item) (T, error)) (value T, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("reading %q panicked: %v\n%s", item.Key, cause, debug.Stack())
		}
	}()
	return read(item)
}

// maxErrorBytes bounds the text of an error in an event. Errors quote the item, which may have 1 MB.
const maxErrorBytes = 4 << 10

// errorText returns the text of an error about an item, shortened if it is long.
func errorText(err error) string {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}

// compile decodes and compiles a configuration. It fails if its number is lower than that
// of the configuration in force.
func (r *Replica) compile(item model.Item) (*ingress.Table, error) {
	document, err := r.decoder.Configuration(item)
	if err != nil {
		return nil, err
	}
	if held := r.table.Load(); held != nil && document.Number < held.Number {
		return nil, errors.Errorf("configuration number %d is lower than %d, which is in force", document.Number, held.Number)
	}
	return ingress.Compile(document)
}

// The states of a target's entry as logged.
const (
	entryReady    = "ready"
	entryLeaving  = "leaving"
	entryGone     = "gone"
	entryDeferred = "deferred"
)

// applyTarget adds, replaces or removes a target. The caller holds mu.
func (r *Replica) applyTarget(item model.Item, c change) {
	fields := event.Fields{"target": item.Key, "service": "", "state": entryGone, "revision": item.Position, "via": c.via}
	if item.Removed {
		r.targets.remove(item.Key, r.removalTime(c), c.at)
		r.log.Emit(eventTarget, fields)
		return
	}
	target, err := withoutPanic(item, r.decoder.Target)
	if err != nil {
		r.metrics.unreadable.Add(1)
		r.log.Emit(eventEntry, event.Fields{"revision": item.Position, "error": errorText(err)})
		r.targets.remove(item.Key, c.at, c.at)
		return
	}
	target.Region = r.settings.FailureDomains[target.Domain]
	fields["service"] = target.Service
	fields["state"] = entryReady
	if target.Leaving {
		fields["state"] = entryLeaving
	}
	if !c.restored {
		r.targets.set(target, item, c.at)
	} else if !r.targets.setRestored(target, item, c.at.Add(r.settings.RestoreGrace.Std()), c.at) {
		fields["state"] = entryDeferred
	}
	r.log.Emit(eventTarget, fields)
}

// removalTime returns when a target whose entry is missing is removed. An entry that lapsed
// during an outage of the store, or that the store has lost, is written again soon after if
// its target is alive. The caller holds mu.
func (r *Replica) removalTime(c change) time.Time {
	if c.restored {
		return c.at.Add(r.settings.ReturnGrace.Std())
	}
	return r.outage.endedAt.Add(r.settings.ReturnGrace.Std())
}

// publishTargets publishes the list of targets and starts a timer for its next change by
// time. The caller holds mu.
func (r *Replica) publishTargets() {
	now := time.Now()
	_, next := r.targets.expire(now)
	ended, nextEnd := r.evacuations.expire(now)
	for _, domain := range ended {
		r.logEvacuation(domain, r.copy.position, viaStore)
	}
	next = earliest(next, nextEnd)
	list := r.targets.list(r.copy.position, r.evacuations.apply)
	r.list.Store(list)
	r.links.retain(r.self, list.Hosts)
	if !next.IsZero() {
		time.AfterFunc(next.Sub(now), r.expireTargets)
	}
	for _, f := range r.subscribers {
		f(list)
	}
}

func (r *Replica) expireTargets() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishTargets()
}
