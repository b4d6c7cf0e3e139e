package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// statusPage serves /v1/status.
func (o *Operator) statusPage(*http.Request) (any, error) {
	configuration, err := provided[model.Configuration](o)
	if err != nil {
		return nil, err
	}
	host := o.ctx.Host()
	status := model.NodeStatus{
		Host:                host.ID,
		Region:              host.Region,
		Domain:              host.Domain,
		Service:             host.Service,
		Incarnation:         incarnationText(o.ctx.Incarnation()),
		At:                  time.Now(),
		Stage:               model.StageServing.String(),
		ConfigurationStatus: configuration.Status(),
	}
	if drainer, err := kernel.Lookup[model.Drainer](o.ctx); err == nil {
		status.Stage = drainer.Stage().String()
	}
	if quarantine, err := kernel.Lookup[model.Quarantine](o.ctx); err == nil {
		status.Held = quarantine.Held()
	}
	return status, nil
}

// provided returns the value that a plug-in provides as type T, or a page error with
// status 404 if no plug-in does.
func provided[T any](o *Operator) (T, error) {
	value, err := kernel.Lookup[T](o.ctx)
	if err != nil {
		return value, &model.PageError{Status: http.StatusNotFound, Message: err.Error()}
	}
	return value, nil
}

// incarnationText returns an incarnation in hexadecimal.
func incarnationText(i model.Incarnation) string {
	return strconv.FormatUint(uint64(i), 16)
}

// member is a host as /v1/members returns it.
type member struct {
	model.Host
	State       string `json:"state"`
	Incarnation string `json:"incarnation,omitempty"`
}

// members is the response of /v1/members.
type members struct {
	Revision uint64   `json:"revision"`
	Members  []member `json:"members"`
}

// membersPage serves /v1/members.
func (o *Operator) membersPage(*http.Request) (any, error) {
	fleet, err := provided[model.Fleet](o)
	if err != nil {
		return nil, err
	}
	view := fleet.View()
	page := members{Revision: view.Revision, Members: make([]member, 0, len(view.Members))}
	for _, m := range view.Members {
		entry := member{Host: m.Host, State: m.State.String()}
		if m.Incarnation != 0 {
			entry.Incarnation = incarnationText(m.Incarnation)
		}
		page.Members = append(page.Members, entry)
	}
	return page, nil
}

// snapshotStatus is the response of /v1/snapshot. It holds no credentials.
type snapshotStatus struct {
	Release  uint64          `json:"release"`
	Digest   config.Digest   `json:"digest"`
	Fleet    string          `json:"fleet"`
	Services []serviceStatus `json:"services"`
	Callers  []callerStatus  `json:"callers"`
	Grants   []grantStatus   `json:"grants"`
}

type serviceStatus struct {
	Name     string        `json:"name"`
	Team     string        `json:"team"`
	Slots    int           `json:"slots"`
	Routes   []routeStatus `json:"routes"`
	Deadline string        `json:"deadline"`
	Place    finding.Place `json:"place"`
}

type routeStatus struct {
	Name       string  `json:"name"`
	Method     string  `json:"method,omitempty"`
	PathPrefix string  `json:"path_prefix"`
	Idempotent bool    `json:"idempotent"`
	Deadline   string  `json:"deadline"`
	Cost       float64 `json:"cost"`
}

type callerStatus struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

type grantStatus struct {
	Caller  string        `json:"caller"`
	Service string        `json:"service"`
	Routes  []string      `json:"routes,omitempty"`
	Rate    float64       `json:"rate_per_s"`
	Burst   int           `json:"burst"`
	Share   float64       `json:"share"`
	Place   finding.Place `json:"place"`
}

// snapshotPage serves /v1/snapshot.
func (o *Operator) snapshotPage(*http.Request) (any, error) {
	configuration, err := provided[model.Configuration](o)
	if err != nil {
		return nil, err
	}
	s := configuration.Current()
	if s == nil {
		return nil, &model.PageError{Status: http.StatusServiceUnavailable, Message: "no release is in force"}
	}
	return describeSnapshot(s), nil
}

func describeSnapshot(s *config.Snapshot) snapshotStatus {
	page := snapshotStatus{Release: s.Number, Digest: s.Digest, Fleet: s.Fleet}
	for _, service := range s.Services() {
		page.Services = append(page.Services, describeService(service))
	}
	for _, c := range s.Callers() {
		page.Callers = append(page.Callers, callerStatus{Name: c.Name, Team: c.Team})
	}
	for _, g := range s.Grants() {
		page.Grants = append(page.Grants, grantStatus{
			Caller:  g.Caller,
			Service: g.Service,
			Routes:  g.Routes,
			Rate:    g.Rate,
			Burst:   g.Burst,
			Share:   g.Share,
			Place:   g.Place,
		})
	}
	return page
}

func describeService(s *config.Service) serviceStatus {
	status := serviceStatus{
		Name:     s.Name,
		Team:     s.Team,
		Slots:    s.Slots,
		Deadline: s.Deadline.String(),
		Place:    s.Place,
	}
	for _, r := range s.Routes {
		status.Routes = append(status.Routes, routeStatus{
			Name:       r.Name,
			Method:     r.Method,
			PathPrefix: r.PathPrefix,
			Idempotent: r.Idempotent,
			Deadline:   r.Deadline.String(),
			Cost:       r.Cost,
		})
	}
	return status
}
