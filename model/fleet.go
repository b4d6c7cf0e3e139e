package model

import (
	"time"
)

// Evidence is a kind of observation from which a node derives another host's state.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceAlive is any response from the node of the host.
	EvidenceAlive Evidence = iota
	// EvidenceLinkLost is a link that broke or exceeded its heartbeat timeout.
	EvidenceLinkLost
	// EvidenceUnreachable is a connection attempt that was refused or timed out.
	EvidenceUnreachable
	// EvidenceDraining is the host's own report that it accepts no new work.
	EvidenceDraining
)

// Observation is a piece of evidence about one host.
type Observation struct {
	Host        HostID
	Incarnation Incarnation
	Evidence    Evidence
	At          time.Time
}

// Fleet tracks the membership state of the other hosts. The plug-in "membership"
// provides it.
type Fleet interface {
	// View returns the current view; it is never nil.
	View() *View
	// Observe adds evidence. It does not block.
	Observe(o Observation)
	// SetHostList installs a newer host list; an older one is ignored.
	SetHostList(list *HostList)
	// Apply processes a notice from a peer. It reports whether the notice was new,
	// in which case the caller must broadcast it to its other peers.
	Apply(n Notice) (isNew bool)
	// Announce publishes a change of the node's own state to the fleet.
	Announce(state MemberState)
	// SubscribeNotices calls f for each notice that this node originates. It
	// must be called before the node starts.
	SubscribeNotices(f func(Notice))
	// Subscribe calls f after each change of the view, on one goroutine. It
	// must be called before the node starts.
	Subscribe(f func(*View))
}

// Notice is a gossip message about the state of one host, which every node forwards
// once. For one incarnation the notice with the higher sequence number wins; a notice
// about an incarnation that is older than the latest known one is ignored.
type Notice struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	State       MemberState `cbor:"3,keyasint"`
	Sequence    uint64      `cbor:"4,keyasint"`
}
