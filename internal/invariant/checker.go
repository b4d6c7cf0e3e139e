package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
)

// maxViolations bounds the number of violations that are kept. Further ones are only
// counted.
const maxViolations = 1000

// Bounds are the limits that the checker applies.
type Bounds struct {
	// InForce is the time within which a release must be in force on a host, from its
	// publication or from the moment the host became reachable, whichever is later.
	InForce time.Duration
	// LeavingGrace is the time from the moment a host is marked as leaving within which its
	// target may still start calls.
	LeavingGrace time.Duration
}

// RequiredBounds are the bounds that the system is designed to meet.
var RequiredBounds = Bounds{InForce: 3 * time.Second, LeavingGrace: 2 * time.Second}

// Checker collects observations and checks the promises against them. It is safe for
// concurrent use.
type Checker struct {
	bounds Bounds

	mu sync.Mutex
	// releases holds the acceptable releases by their numbers.
	releases map[uint64]release
	hosts    map[model.HostID]*host
	// calls holds the calls by their IDs.
	calls      map[string]*call
	violations []Violation
	// counts holds the number of violations of each promise.
	counts [promiseCount]int
}

// release is an acceptable release.
type release struct {
	digest      config.Digest
	publishedAt time.Time
}

// host holds the observations of a host.
type host struct {
	// highest is the highest number of a release that the host has applied.
	highest uint64
	// leavingSince is zero unless the host is leaving.
	leavingSince time.Time
	// reachableSince is zero unless the host is reachable.
	reachableSince time.Time
	// appliedAt holds the time at which the host first applied each release.
	appliedAt map[uint64]time.Time
}

// New returns a checker without observations.
func New(bounds Bounds) *Checker {
	return &Checker{
		bounds:   bounds,
		releases: map[uint64]release{},
		hosts:    map[model.HostID]*host{},
		calls:    map[string]*call{},
	}
}

// violate counts a violation and keeps its evidence. The caller holds mu.
func (c *Checker) violate(p Promise, format string, args ...any) {
	c.counts[p]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Promise: p, Evidence: fmt.Sprintf(format, args...)})
	}
}

// Violated records a violation that the observer has found itself.
func (c *Checker) Violated(p Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(p, format, args...)
}

// host returns the observations of a host. The caller holds mu.
func (c *Checker) host(id model.HostID) *host {
	h := c.hosts[id]
	if h == nil {
		h = &host{appliedAt: map[uint64]time.Time{}}
		c.hosts[id] = h
	}
	return h
}

// Published records the publication of an acceptable release.
func (c *Checker) Published(number uint64, digest config.Digest, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releases[number] = release{digest: digest, publishedAt: at}
}

// Applied records the release in force on a host. The observations of a host must be
// recorded in the order in which they were made.
func (c *Checker) Applied(id model.HostID, number uint64, digest config.Digest, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.host(id)
	if number < h.highest {
		c.violate(NeverBackwards, "host %s applied release %d after %d", id, number, h.highest)
	}
	h.highest = max(h.highest, number)
	if _, seen := h.appliedAt[number]; !seen {
		h.appliedAt[number] = at
	}
	r, known := c.releases[number]
	if !known {
		c.violate(AllOrNothing, "host %s applied release %d, which is not acceptable", id, number)
		return
	}
	if r.digest != digest {
		c.violate(AllOrNothing, "host %s applied release %d as %s instead of %s", id, number, digest.Short(), r.digest.Short())
	}
}

// Snapshot checks that every reference in the snapshot in force on a host resolves.
func (c *Checker) Snapshot(id model.HostID, s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, grant := range s.Grants() {
		service := s.Service(grant.Service)
		if service == nil || s.Caller(grant.Caller) == nil {
			c.violate(NoDanglingRoute, "host %s, release %d: grant of %s for %s does not resolve", id, s.Number, grant.Caller, grant.Service)
			continue
		}
		for _, route := range grant.Routes {
			if service.RouteByName(route) == nil {
				c.violate(NoDanglingRoute, "host %s, release %d: service %s has no route %s", id, s.Number, grant.Service, route)
			}
		}
	}
}

// DanglingRoute records a route that a node reported or used without having its resource.
func (c *Checker) DanglingRoute(id model.HostID, number uint64, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(NoDanglingRoute, "host %s, release %d: dangling route %s", id, number, route)
}

// Reachable records that a host has been reachable since a time. Bounds.InForce is measured
// from that time if it is later than the publication. The zero time excludes the host from this check.
func (c *Checker) Reachable(id model.HostID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host(id).reachableSince = at
}

// Leaving records that a host has been marked as leaving.
func (c *Checker) Leaving(id model.HostID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host(id).leavingSince = at
}

// StoppedLeaving records that a host is no longer leaving.
func (c *Checker) StoppedLeaving(id model.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host(id).leavingSince = time.Time{}
}
