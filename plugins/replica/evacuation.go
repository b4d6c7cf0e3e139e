package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// evacuations holds the failure domains that operators evacuate. An evacuation lasts for as
// long as its item is in the store. It is not safe for concurrent use.
type evacuations struct {
	// active holds the evacuated failure domains.
	active map[string]bool
	// endsAt holds the end of each active evacuation that a restored store does not show.
	endsAt map[string]time.Time
	// endedAt holds when the node learned that the latest evacuation of a failure domain had
	// ended.
	endedAt map[string]time.Time
}

func newEvacuations() *evacuations {
	return &evacuations{active: map[string]bool{}, endsAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

// start begins an evacuation. It reports whether there was none.
func (e *evacuations) start(domain string) (changed bool) {
	delete(e.endsAt, domain)
	changed = !e.active[domain]
	e.active[domain] = true
	return changed
}

// end ends an evacuation at a given time, at once if that time is not in the future. It reports
// whether it has ended.
func (e *evacuations) end(domain string, at, now time.Time) (changed bool) {
	if !e.active[domain] {
		return false
	}
	if at.After(now) {
		e.endsAt[domain] = at
		return false
	}
	delete(e.active, domain)
	delete(e.endsAt, domain)
	e.endedAt[domain] = now
	return true
}

// expire ends the evacuations whose time is over and returns their failure domains. next is the
// time of the next such end, zero if there is none.
func (e *evacuations) expire(now time.Time) (ended []string, next time.Time) {
	for domain, at := range e.endsAt {
		if e.end(domain, at, now) {
			ended = append(ended, domain)
		} else {
			next = earliest(next, at)
		}
	}
	return ended, next
}

// apply returns a target as it is listed: with the state of its failure domain.
func (e *evacuations) apply(t *model.Target) *model.Target {
	evacuated, returnedAt := e.active[t.Domain], e.endedAt[t.Domain]
	if !evacuated && returnedAt.IsZero() {
		return t
	}
	listed := *t
	listed.Evacuated, listed.ReturnedAt = evacuated, returnedAt
	return &listed
}

// applyEvacuation begins or ends an evacuation. An item whose data cannot be read counts if it
// names a failure domain: to send requests where an operator wants none would be worse, and all
// nodes must act alike, whichever versions of the item they have seen. The caller holds mu.
func (r *Replica) applyEvacuation(item model.Item, c change) {
	domain, err := withoutPanic(item, r.decoder.Evacuation)
	if err != nil {
		r.metrics.unreadable.Add(1)
		r.log.Emit(eventUnreadableEvacuation, event.Fields{"failure_domain": domain, "revision": item.Position, "error": errorText(err)})
	}
	if domain == "" {
		return
	}
	changed := false
	if item.Removed {
		changed = r.evacuations.end(domain, r.evacuationEnd(c), c.at)
	} else {
		changed = r.evacuations.start(domain)
	}
	if changed {
		r.logEvacuation(domain, item.Position, c.via)
	}
}

// evacuationEnd returns when an evacuation ends whose item is missing: later if a restored
// store may have lost it, so that the operator can request it again. The caller holds mu.
func (r *Replica) evacuationEnd(c change) time.Time {
	if c.restored {
		return c.at.Add(r.settings.RestoreGrace.Std())
	}
	return c.at
}

// evacuatedDomains returns the evacuated failure domains, sorted.
func (r *Replica) evacuatedDomains() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.evacuations.active))
}

// logEvacuation logs the beginning or the end of an evacuation. The caller holds mu.
func (r *Replica) logEvacuation(domain string, position model.Position, via string) {
	targets := 0
	for _, t := range r.targets.entries {
		if t.Domain == domain {
			targets++
		}
	}
	r.log.Emit(eventEvacuation, event.Fields{
		"failure_domain": domain,
		"active":         r.evacuations.active[domain],
		"known":          r.settings.knowsDomain(domain),
		"targets":        targets,
		"revision":       position,
		"via":            via,
	})
}
