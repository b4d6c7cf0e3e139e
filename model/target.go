package model

import (
	"net/netip"
	"time"
)

// TargetID names one incarnation of a target, as the platform lists it.
type TargetID string

// Target is a target as the platform's list gives it. The list lags behind the
// truth.
type Target struct {
	ID      TargetID
	Service string
	// Address is where the target listens. Only its own host reaches it; the node
	// beside it has the same IP address.
	Address netip.AddrPort
	// Domain is the failure domain of the target's host.
	Domain string
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Leaving is set once the target has announced its end.
	Leaving bool
	// Cold is how much longer the target is slow after its start, as of the time
	// at which it wrote so.
	Cold time.Duration
	// Born is the start of this incarnation.
	Born time.Time
	// Revision is the store's revision of the entry.
	Revision uint64
}

// TargetList is an immutable list of targets.
type TargetList struct {
	// Revision is the store's revision of which the list is true.
	Revision uint64
	// ByID holds all targets, and ByService those of each service, sorted by ID.
	ByID      map[TargetID]*Target
	ByService map[string][]*Target
	// Hosts holds the hosts of all targets, sorted by address, each once.
	Hosts []TargetHost
}

// TargetHost is a host with a target, and so with a node.
type TargetHost struct {
	Address netip.Addr
	Domain  string
}

// At returns the target that listens at address, nil if there is none. Of two
// entries with one address the later incarnation counts.
func (l *TargetList) At(address netip.AddrPort) *Target {
	var found *Target
	for _, t := range l.ByID {
		if t.Address == address && (found == nil || t.Born.After(found.Born)) {
			found = t
		}
	}
	return found
}
