package replica

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// targets holds the decoded target entries of a copy, and those whose entry was removed
// but that still count for a grace period. It is not safe for concurrent use.
type targets struct {
	entries map[string]*model.Target
	// writes holds the write that each entry was decoded from.
	writes map[string]model.Item
	// expiresAt holds the end of the grace period of each removed entry.
	expiresAt map[string]time.Time
	// superseded holds the writes that were replaced or removed.
	superseded superseded
	// deferred holds superseded writes that a restored store shows again.
	deferred map[string]deferredEntry
}

// deferredEntry is an entry that counts from a time on, unless it is written again before.
type deferredEntry struct {
	target *model.Target
	write  model.Item
	from   time.Time
}

func newTargets() *targets {
	return &targets{
		entries:    map[string]*model.Target{},
		writes:     map[string]model.Item{},
		expiresAt:  map[string]time.Time{},
		superseded: superseded{},
		deferred:   map[string]deferredEntry{},
	}
}

// set adds or replaces an entry, decoded from a write.
func (t *targets) set(target *model.Target, write model.Item, now time.Time) {
	t.supersede(write.Key, now)
	t.entries[write.Key], t.writes[write.Key] = target, write
	delete(t.expiresAt, write.Key)
	delete(t.deferred, write.Key)
}

// supersede records that the present write of an entry no longer counts.
func (t *targets) supersede(key string, now time.Time) {
	if held, known := t.writes[key]; known {
		t.superseded.add(held, now)
	}
}

// setRestored adds or replaces an entry that a restored store shows. One that was superseded
// before the restore counts from a time on only, so that what superseded it can be written
// again until then. It reports whether the entry counts at once.
func (t *targets) setRestored(target *model.Target, write model.Item, from, now time.Time) bool {
	if !t.superseded.includes(write) {
		t.set(target, write, now)
		return true
	}
	t.deferred[write.Key] = deferredEntry{target: target, write: write, from: from}
	return false
}

// remove removes an entry at a given time, at once if that time is not in the future.
func (t *targets) remove(key string, at, now time.Time) {
	delete(t.deferred, key)
	if _, known := t.entries[key]; !known {
		return
	}
	if at.After(now) {
		t.expiresAt[key] = at
		return
	}
	t.drop(key, now)
}

func (t *targets) drop(key string, now time.Time) {
	t.supersede(key, now)
	delete(t.entries, key)
	delete(t.writes, key)
	delete(t.expiresAt, key)
}

// expire removes the entries whose grace period is over, and adds those that were deferred
// until now. It reports whether there were any, and returns the time of the next such
// change, zero if there is none.
func (t *targets) expire(now time.Time) (changed bool, next time.Time) {
	for key, at := range t.expiresAt {
		if at.After(now) {
			next = earliest(next, at)
			continue
		}
		t.drop(key, now)
		changed = true
	}
	for _, entry := range t.deferred {
		if entry.from.After(now) {
			next = earliest(next, entry.from)
			continue
		}
		t.set(entry.target, entry.write, now)
		changed = true
	}
	return changed, next
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// list returns the entries of current incarnations as an immutable list. listed returns the
// target that is published for an entry.
func (t *targets) list(position model.Position, listed func(*model.Target) *model.Target) *model.TargetList {
	l := &model.TargetList{
		Position:  position,
		ByID:      make(map[model.TargetID]*model.Target, len(t.entries)),
		ByService: map[string][]*model.Target{},
	}
	domains := map[netip.Addr]string{}
	for _, entry := range currentIncarnations(t.entries) {
		target := listed(entry)
		l.ByID[target.ID] = target
		l.ByService[target.Service] = append(l.ByService[target.Service], target)
		domains[target.Address.Addr()] = target.Domain
	}
	for _, instances := range l.ByService {
		sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	}
	for address, domain := range domains {
		l.Hosts = append(l.Hosts, model.TargetHost{Address: address, Domain: domain})
	}
	slices.SortFunc(l.Hosts, func(a, b model.TargetHost) int { return a.Address.Compare(b.Address) })
	return l
}
