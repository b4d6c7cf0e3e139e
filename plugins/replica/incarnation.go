package replica

import (
	"net/netip"

	"github.com/bronzemast/bronzemast/model"
)

// endpoint identifies what can run one target at a time.
type endpoint struct {
	address netip.AddrPort
	service string
}

// currentIncarnations returns the entries without those of earlier incarnations. After a crash or
// a loss of power, a target may be listed under a new ID while the entry of its predecessor has
// not lapsed yet. Requests to that one would be rejected at its address, by all targets of a
// fleet that has lost power at once.
func currentIncarnations(entries map[string]*model.Target) []*model.Target {
	latest := make(map[endpoint]*model.Target, len(entries))
	for _, t := range entries {
		at := endpoint{address: t.Address, service: t.Service}
		if other := latest[at]; other == nil || replaces(t, other) {
			latest[at] = t
		}
	}
	current := make([]*model.Target, 0, len(entries))
	for _, t := range entries {
		if !replaces(latest[endpoint{address: t.Address, service: t.Service}], t) {
			current = append(current, t)
		}
	}
	return current
}

// replaces reports whether t runs in place of an earlier target at the same endpoint. Both the
// start and the write of its entry must be later, since clocks may be wrong and a late write of
// the earlier target may have arrived.
func replaces(t, earlier *model.Target) bool {
	return t.StartedAt.After(earlier.StartedAt) && earlier.Position.Before(t.Position)
}
