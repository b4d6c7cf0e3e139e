// Package model holds the types that plug-ins share and the interfaces that they
// provide to one another.
package model

// HostID identifies a host. It is stable across restarts of the host's processes.
type HostID string

// Incarnation identifies one run of a host's node process. It is random and has no
// order; 0 means unknown.
type Incarnation uint64

// Host is an entry of the platform's host list: a machine that runs a node.
type Host struct {
	ID     HostID `json:"id" cbor:"1,keyasint"`
	Region string `json:"region" cbor:"2,keyasint"`
	Domain string `json:"failure_domain" cbor:"3,keyasint"`
	// Service names the service of the target beside the node; it is empty on
	// hosts without a target.
	Service string `json:"service,omitempty" cbor:"4,keyasint,omitempty"`
	// CallAddress is the address at which the node accepts calls, IP:port.
	CallAddress string `json:"call_address" cbor:"5,keyasint"`
	// PeerAddress is the address at which the node accepts other nodes, IP:port.
	PeerAddress string `json:"peer_address" cbor:"6,keyasint"`
	// Leaving is set once the platform has decided to remove the host.
	Leaving bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}

// HostList is the platform's list of hosts. It is eventually consistent and may lag
// behind the actual state of the hosts.
type HostList struct {
	// Revision increases with each change of the list.
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	Hosts    []Host `json:"hosts" cbor:"2,keyasint"`
}

// MemberState is the state of a host as derived by one node.
type MemberState uint8

// The states of a member, in order of increasing severity.
const (
	MemberLive MemberState = iota
	MemberSuspected
	MemberLeaving
	MemberDead
)

var memberStateNames = [...]string{"live", "suspected", "leaving", "dead"}

// String returns the lower-case name of the state.
func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "invalid"
}

// Member is a host of the host list with its state as derived by this node.
type Member struct {
	Host
	State MemberState
	// Incarnation is the latest known incarnation, 0 if none is known.
	Incarnation Incarnation
}

// View is an immutable snapshot of the fleet's membership as derived by one node.
type View struct {
	// Revision is the revision of the host list that the view is based on.
	Revision uint64
	// Members holds all hosts of the list, sorted by ID.
	Members []Member
	// ByID and ByService index Members. ByService holds targets in any state
	// but dead, in the order of Members.
	ByID      map[HostID]*Member
	ByService map[string][]*Member
}

// NewView builds a view with its indexes. members must be sorted by ID; the view takes
// ownership of it.
func NewView(revision uint64, members []Member) *View {
	v := &View{
		Revision:  revision,
		Members:   members,
		ByID:      make(map[HostID]*Member, len(members)),
		ByService: map[string][]*Member{},
	}
	for i := range members {
		m := &members[i]
		v.ByID[m.ID] = m
		if m.Service != "" && m.State != MemberDead {
			v.ByService[m.Service] = append(v.ByService[m.Service], m)
		}
	}
	return v
}
