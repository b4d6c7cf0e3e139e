package admission

import (
	"fmt"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// Explanation states whether calls of a caller to a service are currently allowed,
// limited or refused, and why.
type Explanation struct {
	Host    model.HostID `json:"host"`
	Release uint64       `json:"release"`
	Caller  string       `json:"caller"`
	Service string       `json:"service"`
	// Verdict is "allowed", "limited" or "refused", Reason its stable code and
	// Text its description for the operator.
	Verdict string       `json:"verdict"`
	Reason  model.Reason `json:"reason,omitempty"`
	Text    string       `json:"text"`
	// Grant is the caller's grant, nil if it has none.
	Grant  *GrantStatus  `json:"grant,omitempty"`
	Routes []RouteStatus `json:"routes,omitempty"`
	// Ingress lists the ingress routes that lead to the service.
	Ingress []IngressStatus `json:"ingress,omitempty"`
	// LiveTargets is the number of targets that take calls.
	LiveTargets int `json:"live_targets"`
	// Local is the caller's state at the node's own target. It is nil on nodes
	// whose target belongs to another service.
	Local *CallerStatus `json:"here,omitempty"`
}

// GrantStatus describes the grant of a caller.
type GrantStatus struct {
	Place finding.Place `json:"place"`
	Team  string        `json:"team"`
	Rate  float64       `json:"rate_per_s"`
	Burst int           `json:"burst"`
	Share float64       `json:"share"`
	// ShareFraction is the caller's share divided by the sum of all shares of
	// the service, 0 to 1.
	ShareFraction float64 `json:"part_of_shares"`
}

// RouteStatus describes a route of the service.
type RouteStatus struct {
	Name      string        `json:"name"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Permitted bool          `json:"permitted"`
	Place     finding.Place `json:"place"`
}

// IngressStatus describes an ingress route that leads to the service.
type IngressStatus struct {
	Name      string `json:"name"`
	Authority string `json:"authority"`
	Prefix    string `json:"prefix"`
	// WeightFraction is the fraction of the route's calls that the service gets,
	// 0 to 1.
	WeightFraction float64       `json:"part"`
	Place          finding.Place `json:"place"`
}

// CallerStatus is a caller's state at a target-side node.
type CallerStatus struct {
	Counts callerCounts `json:"counts"`
	// Demand is the caller's offered cost per second, FairShare its fair share
	// of the current capacity in cost per second; 0 means unlimited.
	Demand    float64 `json:"demand_per_s"`
	FairShare float64 `json:"due_per_s"`
	// RateQuota is this node's quota of the caller's rate, in calls per second,
	// RateTokens the number of calls that may start at once.
	RateQuota  float64        `json:"rate_part_per_s"`
	RateTokens float64        `json:"rate_left"`
	Capacity   capacityStatus `json:"capacity"`
	Load       model.Load     `json:"load"`
}

// The values of Explanation.Verdict.
const (
	VerdictAllowed = "allowed"
	VerdictLimited = "limited"
	VerdictRefused = "refused"
)

// explainPage serves /v1/explain?caller=&service=.
func (a *Admission) explainPage(r *http.Request) (any, error) {
	caller := r.URL.Query().Get("caller")
	service := r.URL.Query().Get("service")
	if caller == "" || service == "" {
		return nil, &model.PageError{Status: http.StatusBadRequest, Message: "caller and service must be given"}
	}
	var snapshot *config.Snapshot
	if configuration, err := kernel.Lookup[model.Configuration](a.ctx); err == nil {
		snapshot = configuration.Current()
	}
	var local *CallerStatus
	if service == a.service {
		local = a.gate.callerStatus(time.Now(), caller)
	}
	e := explain(snapshot, a.fleet.View(), caller, service, local)
	e.Host = a.host
	return e, nil
}

// explain applies the rules for a call in the order of their evaluation.
func explain(s *config.Snapshot, v *model.View, caller, service string, local *CallerStatus) Explanation {
	e := Explanation{Caller: caller, Service: service, Local: local}
	if s == nil {
		return e.refused(model.ReasonNoConfiguration, "No release is in force on this node.")
	}
	e.Release = s.Number
	svc := s.Service(service)
	if svc == nil {
		return e.refused(model.ReasonNoService, fmt.Sprintf("Release %d has no service %q.", s.Number, service))
	}
	if s.Caller(caller) == nil {
		return e.refused(model.ReasonUnauthenticated, fmt.Sprintf("Release %d has no caller %q.", s.Number, caller))
	}
	grant := s.Grant(caller, service)
	e.describeRoutes(svc, grant)
	e.describeIngress(s.Ingress(), service)
	if grant == nil {
		return e.refused(model.ReasonNotPermitted, fmt.Sprintf("No team grants caller %q the service %q, which is defined at %s.", caller, service, svc.Place))
	}
	e.Grant = describeGrant(s, grant)
	e.LiveTargets = liveTargets(v, service)
	if e.LiveTargets == 0 {
		return e.refused(model.ReasonNoTarget, fmt.Sprintf("No target of %q takes calls.", service))
	}
	return e.evaluateLoad(grant)
}

func (e Explanation) refused(reason model.Reason, text string) Explanation {
	e.Verdict, e.Reason, e.Text = VerdictRefused, reason, text
	return e
}

func (e Explanation) limited(reason model.Reason, text string) Explanation {
	e.Verdict, e.Reason, e.Text = VerdictLimited, reason, text
	return e
}

func (e *Explanation) describeRoutes(s *config.Service, grant *config.Grant) {
	for _, r := range s.Routes {
		e.Routes = append(e.Routes, RouteStatus{
			Name:      r.Name,
			Method:    r.Method,
			Path:      r.PathPrefix,
			Permitted: grant != nil && grant.Permits(r.Name),
			Place:     r.Place,
		})
	}
}

// describeIngress adds the ingress routes that lead to a service. table may be nil.
func (e *Explanation) describeIngress(table *ingress.Table, service string) {
	if table == nil {
		return
	}
	for _, r := range table.Routes() {
		total, weight := 0, 0
		for _, destination := range r.Destinations {
			total += destination.Weight
			if destination.Service == service {
				weight += destination.Weight
			}
		}
		if weight == 0 {
			continue
		}
		e.Ingress = append(e.Ingress, IngressStatus{
			Name:           r.Name,
			Authority:      r.Authority,
			Prefix:         r.Prefix,
			WeightFraction: float64(weight) / float64(total),
			Place:          r.Place,
		})
	}
}

func describeGrant(s *config.Snapshot, grant *config.Grant) *GrantStatus {
	sum := 0.0
	for _, g := range s.Grants() {
		if g.Service == grant.Service {
			sum += g.Share
		}
	}
	return &GrantStatus{
		Place:         grant.Place,
		Team:          grant.Team,
		Rate:          grant.Rate,
		Burst:         grant.Burst,
		Share:         grant.Share,
		ShareFraction: grant.Share / sum,
	}
}

func liveTargets(v *model.View, service string) int {
	live := 0
	for _, m := range v.ByService[service] {
		if m.State == model.MemberLive || m.State == model.MemberSuspected {
			live++
		}
	}
	return live
}

// evaluateLoad sets the verdict on a permitted caller from its rate and demand.
func (e Explanation) evaluateLoad(grant *config.Grant) Explanation {
	local := e.Local
	switch {
	case local == nil:
		e.Verdict = VerdictAllowed
		e.Text = fmt.Sprintf("Allowed by the grant at %s, up to %g calls/s over %d live targets. This node has no target of %q; ask a node that has one for its load.",
			grant.Place, grant.Rate, e.LiveTargets, e.Service)
		return e
	case local.RateQuota == 0:
		e.Verdict = VerdictAllowed
		e.Text = fmt.Sprintf("Allowed by the grant at %s, up to %g calls/s over %d live targets. The caller has sent nothing to this node yet.",
			grant.Place, grant.Rate, e.LiveTargets)
		return e
	case local.RateTokens < 1:
		return e.limited(model.ReasonRateLimited, fmt.Sprintf("The caller has used up its rate of %g calls/s, set at %s; this node's quota is %.1f calls/s.",
			grant.Rate, grant.Place, local.RateQuota))
	case local.FairShare > 0 && local.Demand > shareTolerance*local.FairShare:
		return e.limited(model.ReasonOverShare, fmt.Sprintf("The target is overloaded and the caller offers %.1f/s, above the %.1f/s that its share of %g, set at %s, grants it.",
			local.Demand, local.FairShare, grant.Share, grant.Place))
	}
	e.Verdict = VerdictAllowed
	e.Text = fmt.Sprintf("Allowed by the grant at %s: the caller offers %.1f/s here, within the node's quota of its rate, %.1f/s, and within its share.",
		grant.Place, local.Demand, local.RateQuota)
	return e
}

// callerStatus returns the state of a caller. For a caller without calls so far
// it holds the state of the target alone.
func (l *lockedGate) callerStatus(now time.Time, name string) *CallerStatus {
	capacity := l.capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gate
	g.advance(now)
	status := &CallerStatus{Capacity: capacity, Load: g.load(), RateTokens: 1}
	c := g.callers[name]
	if c == nil {
		return status
	}
	c.rate.refill(now)
	status.Counts = c.counts
	status.Demand = c.demand
	status.RateQuota = c.rate.quota.perSecond
	status.RateTokens = c.rate.tokens
	if g.currentLevel != unlimited {
		status.FairShare = g.currentLevel * c.weight
	}
	return status
}
