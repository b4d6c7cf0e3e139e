package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// The sources of what is known of a warm-up, as logged.
const (
	warmupFromEntry      = "entry"
	warmupFromStart      = "start"
	warmupFromReturn     = "evacuation-end"
	warmupFromConnection = "connection"
	warmupFromCrash      = "crash"
	warmupFromHealth     = "health-check"
)

// observeEntry notes what the target's entry says of its warm-up. A node that sees a target for
// the first time cannot tell from the entry how long ago it was written, so it asks the target.
// It returns why the target may be cold, empty if nothing is new.
func (i *instance) observeEntry(t *model.Target, service serviceWarmup, now time.Time) (source string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.warmup.Configure(service.warmup)
	i.health.path = service.healthPath
	if !service.warmup.Limited() {
		return ""
	}
	isNew := i.entryPosition.IsZero()
	if t.Position != i.entryPosition {
		i.entryPosition = t.Position
		if t.SlowStartRemaining > 0 {
			i.warmup.Extend(now.Add(t.SlowStartRemaining))
			source = warmupFromEntry
		}
	}
	switch {
	case isNew:
		i.warmup.Assume(now)
		source = warmupFromStart
	case !t.StartedAt.Equal(i.startedAt):
		i.warmup.Assume(now)
		source = warmupFromStart
	case t.ReturnedAt.After(i.returnedAt):
		i.warmup.Assume(t.ReturnedAt)
		source = warmupFromReturn
	}
	i.returnedAt = t.ReturnedAt
	i.applyLimit(now)
	return source
}

// observeUnlisted configures the warm-up of a target that is not listed. It reports whether the
// target is new to the node, and is then taken to be cold.
func (i *instance) observeUnlisted(service serviceWarmup, now time.Time) (isNew bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !service.warmup.Limited() || i.warmup.Limited() {
		return false
	}
	i.warmup.Configure(service.warmup)
	i.health.path = service.healthPath
	i.warmup.Assume(now)
	i.applyLimit(now)
	return true
}

// assumeCold treats the target as cold until a health check tells how long it is. It returns
// false if cold targets are not limited.
func (i *instance) assumeCold(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.warmup.Limited() {
		return false
	}
	i.warmup.Assume(now)
	i.applyLimit(now)
	return true
}

// recordSent records that the target is sent a request.
func (i *instance) recordSent(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.warmup.Sent(now)
}

// overloadedWhileCold reports whether the target is cold and has been sent more than it
// tolerates.
func (i *instance) overloadedWhileCold() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.warmup.Overloaded(time.Now())
}

// mayBeCold reports whether the target is as slow as a cold one, though it is not known to be
// cold.
func (i *instance) mayBeCold() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.slowdown >= coldSlowdown && i.warmup.Limited() && !i.warmup.Cold(time.Now())
}

// coldFor returns how much longer the target is taken to be cold.
func (i *instance) coldFor(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.warmup.ColdFor(now)
}
