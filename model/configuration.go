package model

import (
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
)

// Configuration provides the configuration in force. The plug-in "distribution"
// provides it.
type Configuration interface {
	// Current returns the snapshot in force, nil before the first one. Each call
	// keeps the snapshot that it started with.
	Current() *config.Snapshot
	// Subscribe calls f after each change, in order, on one goroutine. It must
	// be called before the node starts.
	Subscribe(f func(*config.Snapshot))
	// ObserveRelease records that peer has the given release number in force, as
	// learned from a call.
	ObserveRelease(peer HostID, release uint64)
	// Status describes the state of distribution for operators.
	Status() ConfigurationStatus
}

// ConfigurationStatus describes the configuration of one node.
type ConfigurationStatus struct {
	Release uint64        `json:"release"`
	Digest  config.Digest `json:"digest"`
	// Floor is the highest release number that a peer remembers this host to have
	// held. A node does not serve with an older release.
	Floor uint64 `json:"floor"`
	// HostList is the revision of the node's host list.
	HostList uint64 `json:"host_list"`
	// AppliedAt is when the release came into force on the node.
	AppliedAt time.Time `json:"applied_at"`
	// Via is the origin of the release: "source", or the ID of a peer.
	Via string `json:"via"`
	// Settled is set once the node may serve.
	Settled bool `json:"settled"`
	// Refused describes the newest refused release, if it is newer than the
	// one in force.
	Refused *RefusedRelease `json:"refused,omitempty"`
	// Highest is the highest release number known from any origin.
	Highest uint64 `json:"highest_seen"`
	// Reader reports whether the node holds a watch on the platform.
	Reader bool `json:"reader"`
	// Links holds the state of each peer link.
	Links []LinkStatus `json:"links"`
}

// RefusedRelease is a refused release and the findings that caused its refusal.
type RefusedRelease struct {
	Release  uint64            `json:"release"`
	Findings []finding.Finding `json:"findings"`
}

// LinkStatus describes one link to a peer.
type LinkStatus struct {
	Peer        HostID      `json:"peer"`
	Incarnation Incarnation `json:"incarnation"`
	// Release and HostList are the newest versions that the peer has reported.
	Release  uint64 `json:"release"`
	HostList uint64 `json:"host_list"`
	// Eager is set while the node pushes new versions on the link; otherwise it only
	// announces them.
	Eager bool `json:"eager"`
	// Outgoing is set if the node dialled the peer.
	Outgoing bool `json:"outgoing"`
	// SinceLastReceived is the time since the last message from the peer.
	SinceLastReceived time.Duration `json:"last_heard_ns"`
	SentBytes         uint64        `json:"sent_bytes"`
	RecvBytes         uint64        `json:"received_bytes"`
}
