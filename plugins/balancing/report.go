package balancing

import (
	"sort"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// TargetReport describes the node's state of one target.
type TargetReport struct {
	Host        model.HostID `json:"host"`
	Service     string       `json:"service"`
	Outstanding int          `json:"outstanding"`
	InFlight    uint32       `json:"in_flight"`
	Queued      uint32       `json:"queued"`
	Limit       uint32       `json:"limit"`
	Failures    int          `json:"failures"`
	Ejected     bool         `json:"ejected"`
	Ejections   int          `json:"ejections"`
}

// report returns reports on all targets, sorted by service and host.
func (b *balancer) report(now time.Time) []TargetReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]TargetReport, 0, len(b.targets))
	for id, t := range b.targets {
		all = append(all, TargetReport{
			Host:        id,
			Service:     t.service,
			Outstanding: t.outstanding,
			InFlight:    t.reported.InFlight,
			Queued:      t.reported.Queued,
			Limit:       t.reported.Limit,
			Failures:    t.failures,
			Ejected:     t.ejected(now),
			Ejections:   t.ejections,
		})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].Host < all[j].Host
	})
	return all
}
