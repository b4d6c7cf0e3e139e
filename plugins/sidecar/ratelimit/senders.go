package ratelimit

import (
	"net/netip"
	"time"
)

const (
	// sendersWindow is the time for which a node that has offered a request counts.
	sendersWindow = 10 * time.Second
	// overcommit is by how much the nodes together may offer more than a limit, so that
	// it is used although they differ in their load. What is too much is rejected.
	overcommit = 2
)

// Share returns the rate at which each of a number of nodes may offer requests to a target
// with the given limit, both in requests per second.
func Share(limit float64, nodes int) float64 {
	return Usable(limit) * float64(min(nodes, overcommit)) / float64(max(nodes, 1))
}

// Senders counts the nodes that offer requests to a target. It is not safe for concurrent
// use.
type Senders struct {
	// offeredAt holds when each node last offered a request.
	offeredAt map[netip.Addr]time.Time
}

// Offered records that a node offers a request.
func (s *Senders) Offered(node netip.Addr, now time.Time) {
	if s.offeredAt == nil {
		s.offeredAt = map[netip.Addr]time.Time{}
	}
	s.offeredAt[node] = now
}

// Pause returns how long a node whose request was rejected should offer no further one, so
// that all nodes together do not offer much more than the limit, in requests per second.
// wait is the time until the limit allows for another request.
func (s *Senders) Pause(limit float64, wait time.Duration, now time.Time) time.Duration {
	s.prune(now)
	if len(s.offeredAt) <= 1 {
		return wait
	}
	return max(wait, time.Duration(float64(time.Second)/Share(limit, len(s.offeredAt))))
}

// prune drops the nodes that no longer count.
func (s *Senders) prune(now time.Time) {
	for node, at := range s.offeredAt {
		if now.Sub(at) > sendersWindow {
			delete(s.offeredAt, node)
		}
	}
}
