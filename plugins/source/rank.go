package source

import (
	"cmp"
	"slices"

	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
)

// assignment is the node's role in reading the platform, derived from the host list
// and the state of its members.
type assignment struct {
	// hostListKnown is set once the node has a host list.
	hostListKnown bool
	// fleetSize is the number of hosts, or the expected one without a list.
	fleetSize int
	// reader is set if the node watches the platform: it ranks among the first
	// readersPerDomain live hosts of its failure domain.
	reader bool
	// ranked is set if the node is a reader or spare by the host list alone,
	// whatever the state of the hosts; rankedHosts is the number of such hosts.
	ranked      bool
	rankedHosts int
}

// assignmentOf returns the assignment of host self in a view.
func (p policy) assignmentOf(view *model.View, self model.Host) assignment {
	if len(view.Members) == 0 {
		return assignment{fleetSize: p.expectedFleet, reader: p.everyNodeReads}
	}
	assigned := assignment{hostListKnown: true, fleetSize: len(view.Members)}
	rankedPerDomain := p.readersPerDomain * (1 + sparesPerReader)
	domainSizes := map[string]int{}
	for i := range view.Members {
		domainSizes[view.Members[i].Domain]++
	}
	for _, size := range domainSizes {
		assigned.rankedHosts += min(size, rankedPerDomain)
	}
	order := rank(view, self.Domain)
	assigned.ranked = isAmongFirst(order, rankedPerDomain, self.ID, func(*model.Member) bool { return true })
	assigned.reader = p.everyNodeReads || isAmongFirst(order, p.readersPerDomain, self.ID, func(m *model.Member) bool {
		return m.State == model.MemberLive
	})
	return assigned
}

// isAmongFirst reports whether id is one of the first n members that satisfy matches.
func isAmongFirst(order []*model.Member, n int, id model.HostID, matches func(*model.Member) bool) bool {
	for _, m := range order {
		if n == 0 {
			return false
		}
		if !matches(m) {
			continue
		}
		if m.ID == id {
			return true
		}
		n--
	}
	return false
}

// rank returns the members of a failure domain by descending rendezvous weight.
// Adding or removing a host does not change the relative order of the others.
func rank(view *model.View, domain string) []*model.Member {
	var order []*model.Member
	weights := map[model.HostID]uint64{}
	for i := range view.Members {
		m := &view.Members[i]
		if m.Domain == domain {
			order = append(order, m)
			weights[m.ID] = weight(domain, m.ID)
		}
	}
	slices.SortFunc(order, func(a, b *model.Member) int {
		if byWeight := cmp.Compare(weights[b.ID], weights[a.ID]); byWeight != 0 {
			return byWeight
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return order
}

// weight returns the rendezvous weight of a host as a reader of its failure domain.
func weight(domain string, id model.HostID) uint64 {
	return xxhash.Sum64String("reader\x00" + domain + "\x00" + string(id))
}
