package model

import (
	"net/netip"
	"time"
)

// TargetID identifies one incarnation of a target in the platform's list.
type TargetID string

// Target is an entry of the platform's list of targets. The list may lag behind the
// actual state of the targets.
type Target struct {
	ID      TargetID
	Service string
	// Address is the target's listen address. It is reachable only from the target's
	// own host; the node on that host has the same IP address.
	Address netip.AddrPort
	// Domain is the failure domain of the target's host.
	Domain string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving is set once the target has announced its shutdown.
	Leaving bool
	// SlowStartRemaining is the remaining time of the target's slow start, measured
	// from the time at which the target wrote its entry.
	SlowStartRemaining time.Duration
	// Region is the region of the target's failure domain, empty if it is not known.
	Region string
	// Evacuated is set while an operator keeps all requests from the targets of Domain, and
	// ReturnedAt is when the node learned that the last such request had ended; zero if it
	// has seen none end.
	Evacuated  bool
	ReturnedAt time.Time
	// StartedAt is the time at which this incarnation started.
	StartedAt time.Time
	// Position is the store's position at which the entry was written.
	Position Position
}

// TargetList is an immutable list of targets.
type TargetList struct {
	// Position is the store's position that the list reflects.
	Position Position
	// ByID holds all targets, and ByService those of each service, sorted by ID.
	ByID      map[TargetID]*Target
	ByService map[string][]*Target
	// Hosts holds the hosts of all targets, sorted by address, each once.
	Hosts []TargetHost
}

// TargetHost is a host that runs a target, and therefore a node.
type TargetHost struct {
	Address netip.Addr
	Domain  string
}

// ByAddress returns the target that listens at address, nil if there is none. If several
// entries have the address, it returns the one that started last.
func (l *TargetList) ByAddress(address netip.AddrPort) *Target {
	var found *Target
	for _, t := range l.ByID {
		if t.Address == address && (found == nil || t.StartedAt.After(found.StartedAt)) {
			found = t
		}
	}
	return found
}
