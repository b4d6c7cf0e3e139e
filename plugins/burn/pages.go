package burn

import (
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/burn/slo"
)

// snapshot returns the configuration in force, nil if there is none.
func (b *Burn) snapshot() *config.Snapshot {
	configuration, err := kernel.Lookup[model.Configuration](b.ctx)
	if err != nil {
		return nil
	}
	return configuration.Current()
}

// serviceOf returns a service of a snapshot, nil if the snapshot is nil or lacks it.
func serviceOf(s *config.Snapshot, name string) *config.Service {
	if s == nil {
		return nil
	}
	return s.Service(name)
}

// reportPage serves /v1/report?service=.
func (b *Burn) reportPage(r *http.Request) (any, error) {
	name := r.URL.Query().Get("service")
	if name == "" {
		return nil, &model.PageError{Status: http.StatusBadRequest, Message: "service must be given"}
	}
	s := b.snapshot()
	if s == nil {
		return nil, &model.PageError{Status: http.StatusServiceUnavailable, Message: "no release is in force"}
	}
	service := s.Service(name)
	if service == nil {
		return nil, &model.PageError{Status: http.StatusNotFound, Message: "the release has no service " + name}
	}
	return b.report(time.Now(), s.Number, service)
}

func (b *Burn) report(now time.Time, release uint64, service *config.Service) (slo.NodeReport, error) {
	short, long := b.aggregator.windows(now, service.Name)
	latency, serviceTime, err := b.aggregator.histograms(now, service.Name)
	steps := b.aggregator.steps
	return slo.NodeReport{
		Host:    b.ctx.Host().ID,
		Service: service.Name,
		Team:    service.Team,
		Release: release,
		At:      now,
		Objective: slo.Objective{
			Availability: service.Objective.Availability,
			Latency:      service.Objective.Latency,
			Place:        service.Place,
		},
		Windows: []slo.Window{
			{Name: "short", Length: bucketsPerWindow * steps.short, Callers: short},
			{Name: "long", Length: bucketsPerWindow * steps.long, Callers: long},
		},
		Step:        steps.long,
		Timeline:    b.aggregator.timeline(now, service.Name),
		Latency:     latency,
		ServiceTime: serviceTime,
		Dropped:     b.metrics.dropped.Value(),
	}, err
}

// CallsResponse is the response of /v1/calls.
type CallsResponse struct {
	Host model.HostID `json:"host"`
	// Window is the length of the window that Totals covers.
	Window time.Duration `json:"window_ns"`
	Totals []SeriesTotal `json:"totals"`
	// RecentBad holds the latest calls that missed their objective, newest first.
	RecentBad []BadCall `json:"recent_bad"`
}

// callsPage serves /v1/calls.
func (b *Burn) callsPage(*http.Request) (any, error) {
	return CallsResponse{
		Host:      b.ctx.Host().ID,
		Window:    bucketsPerWindow * b.aggregator.steps.short,
		Totals:    b.aggregator.totals(time.Now()),
		RecentBad: b.aggregator.recentBad(),
	}, nil
}
