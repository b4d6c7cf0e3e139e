package convergebench

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/model"
)

// pollInterval is the time between two polls of a node's status.
const pollInterval = 100 * time.Millisecond

// monitor polls the status of each node and records when it applied each release.
type monitor struct {
	checker *invariant.Checker

	mu sync.Mutex
	// applied holds the time at which each host applied each release, current the
	// release in force on each host when it last responded.
	applied map[model.HostID]map[uint64]time.Time
	current map[model.HostID]uint64
	settled map[model.HostID]bool
	polls   sync.WaitGroup
}

func newMonitor(c *invariant.Checker) *monitor {
	return &monitor{
		checker: c,
		applied: map[model.HostID]map[uint64]time.Time{},
		current: map[model.HostID]uint64{},
		settled: map[model.HostID]bool{},
	}
}

// run starts polling all nodes until ctx ends. It returns at once; wait waits for
// its goroutines.
func (m *monitor) run(ctx context.Context, procs []*procfleet.Proc) {
	for _, p := range procs {
		m.polls.Go(func() { m.poll(ctx, p) })
	}
}

func (m *monitor) wait() {
	m.polls.Wait()
}

func (m *monitor) poll(ctx context.Context, p *procfleet.Proc) {
	for ctx.Err() == nil {
		m.pollStatus(p)
		clock.Sleep(ctx, pollInterval)
	}
}

// pollStatus records the status of one node. A node that does not respond keeps its
// last known release and counts as not settled.
func (m *monitor) pollStatus(p *procfleet.Proc) {
	var status model.ConfigurationStatus
	err := p.Get("/v1/status", &status)
	m.mu.Lock()
	defer m.mu.Unlock()
	id := p.Host.ID
	m.settled[id] = err == nil && status.Settled
	if err != nil || status.Release == 0 {
		return
	}
	m.checker.Applied(id, status.Release, status.Digest, status.AppliedAt)
	if m.applied[id] == nil {
		m.applied[id] = map[uint64]time.Time{}
	}
	if _, found := m.applied[id][status.Release]; !found {
		m.applied[id][status.Release] = status.AppliedAt
	}
	m.current[id] = status.Release
}

// inForce reports whether a node has settled with the release or a later one in
// force.
func (m *monitor) inForce(id model.HostID, release uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settled[id] && m.current[id] >= release
}

// appliedAt returns when a host first applied the release or a later one.
func (m *monitor) appliedAt(id model.HostID, release uint64) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return firstAtLeast(m.applied[id], release)
}

// firstAtLeast returns the earliest time at which the release or a later one was
// applied.
func firstAtLeast(applied map[uint64]time.Time, release uint64) (first time.Time, found bool) {
	for number, at := range applied {
		if number >= release && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}
