package distribution

import "time"

// SettleState is the input of the decision whether a starting node may serve.
type SettleState struct {
	// Held is the number of the held release, 0 for none.
	Held uint64
	// Floor is the highest release that any peer remembers this host to have held.
	Floor uint64
	// Offered is the highest release that a linked peer holds and that this node
	// has not refused.
	Offered uint64
	// Elapsed is the time since the start of the node.
	Elapsed time.Duration
	// Peers is the number of distinct settled peers that the node has exchanged
	// state with. A peer that is itself starting has no reliable state and does
	// not count.
	Peers int
	// OtherHosts is the number of other hosts in the host list; it is valid only
	// if ListKnown is set.
	OtherHosts int
	// ListKnown is set if the node holds a host list.
	ListKnown bool
}

// SettleRule defines when a starting node has waited long enough to serve.
type SettleRule struct {
	// Peers is the number of settled peers to exchange state with, or the number
	// of other hosts if that is lower.
	Peers int
	// Timeout bounds the wait, from the start of the node, if at least one settled
	// peer was reached.
	Timeout time.Duration
	// AloneTimeout bounds the wait if no settled peer was reached, as when all
	// nodes of a fleet start at once.
	AloneTimeout time.Duration
}

// Settled reports whether a starting node may serve. A node whose release is
// below its floor, or below the release of a linked peer, never may, however
// long it waits.
func Settled(rule SettleRule, s SettleState) bool {
	if s.Held == 0 || s.Held < max(s.Floor, s.Offered) {
		return false
	}
	required := rule.Peers
	if s.ListKnown {
		required = min(required, s.OtherHosts)
	}
	if s.Peers >= required && (s.ListKnown || s.Peers > 0) {
		return true
	}
	if s.Peers > 0 {
		return s.Elapsed >= rule.Timeout
	}
	return s.Elapsed >= rule.AloneTimeout
}
