package sidecar

import (
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// departures remembers the targets that have announced their shutdown in an answer. Neither
// an outage of the store nor an older entry makes the node use them again; only a new
// incarnation under the same ID does. It is safe for concurrent use.
type departures struct {
	mu   sync.Mutex
	byID map[model.TargetID]departure
}

// departure is the shutdown of the incarnations of a target up to the one that started at
// startedAt.
type departure struct {
	startedAt  time.Time
	recordedAt time.Time
}

// departureTTL is how long a departure is remembered: longer than an entry of the store lasts
// that nobody renews, and than a target takes to end.
const departureTTL = 10 * time.Minute

func newDepartures() *departures {
	return &departures{byID: map[model.TargetID]departure{}}
}

// record records that a target, whose incarnation started at startedAt, announced its
// shutdown. It reports whether that is new.
func (d *departures) record(id model.TargetID, startedAt, now time.Time) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, known := d.byID[id]
	if known && !startedAt.After(held.startedAt) {
		return false
	}
	d.byID[id] = departure{startedAt: startedAt, recordedAt: now}
	for other, held := range d.byID {
		if now.Sub(held.recordedAt) > departureTTL {
			delete(d.byID, other)
		}
	}
	return true
}

// learn records what another node knows of a listed target.
func (d *departures) learn(t *model.Target, known targetState, now time.Time) {
	if known.Leaving && known.StartedAt == t.StartedAt.UnixMilli() {
		d.record(t.ID, t.StartedAt, now)
	}
}

// includes reports whether this incarnation of a target has announced its shutdown.
func (d *departures) includes(t *model.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, known := d.byID[t.ID]
	return known && !t.StartedAt.After(held.startedAt)
}

// includesID reports whether the latest known incarnation under an ID has announced its
// shutdown.
func (d *departures) includesID(id model.TargetID) bool { return d.stateOf(id).Leaving }

// stateOf returns the state of a target as it is sent to other nodes.
func (d *departures) stateOf(id model.TargetID) targetState {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, known := d.byID[id]
	if !known {
		return targetState{}
	}
	return targetState{Leaving: true, StartedAt: held.startedAt.UnixMilli()}
}
