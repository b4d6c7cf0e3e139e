package ingress

import (
	"slices"
	"sort"
	"strings"

	"github.com/bronzemast/bronzemast/finding"
)

// The limits of a document. They prevent a publisher's mistake from exhausting the
// memory or processor time of all nodes.
const (
	// MaxRoutes bounds the routes of a document.
	MaxRoutes = 100_000
	// MaxWeight bounds the weight of one destination.
	MaxWeight = 1_000_000
)

// Compile does the same as Check, but returns the findings as a *finding.Errors if
// one of them is an error.
func Compile(doc *Document) (*Table, error) {
	table, findings := Check(doc)
	return table, findings.Err()
}

// Check validates and indexes a document. It returns all findings together. The table
// is nil if one of them is an error: a document is applied in full or not at all.
func Check(doc *Document) (*Table, *finding.List) {
	c := &compiler{table: &Table{
		Number:      doc.Number,
		Limits:      doc.Limits,
		services:    make(map[string]*Service, len(doc.Services)),
		byAuthority: map[string][]*Route{},
	}}
	c.addServices(doc.Services)
	c.addRoutes(doc.Routes)
	c.checkLimits(doc.Limits)
	if c.findings.Failed() {
		return nil, &c.findings
	}
	for _, routes := range c.table.byAuthority {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c.table, &c.findings
}

type compiler struct {
	table    *Table
	findings finding.List
}

func (c *compiler) addServices(services []Service) {
	for i := range services {
		s := &services[i]
		switch {
		case s.Name == "":
			c.findings.Errorf(s.Place, "the service has no name")
		case c.table.services[s.Name] != nil:
			c.findings.Errorf(s.Place, "service %q is defined twice", s.Name)
		default:
			c.table.services[s.Name] = s
		}
		if s.Connections < 0 {
			c.findings.Errorf(s.Place, "connections: %d is negative", s.Connections)
		}
		if s.Warmup.Duration < 0 || s.Warmup.Rate < 0 {
			c.findings.Errorf(s.Place, "the warm-up of %s at %g requests per second is negative", s.Warmup.Duration, s.Warmup.Rate)
		}
	}
}

// routeKey must be unique among the routes of a document.
type routeKey struct {
	authority, prefix string
}

func (c *compiler) addRoutes(routes []Route) {
	if len(routes) > MaxRoutes {
		c.findings.Errorf(finding.Place{}, "%d routes, more than the limit of %d", len(routes), MaxRoutes)
		return
	}
	names := make(map[routeKey]string, len(routes))
	for i := range routes {
		r := &routes[i]
		r.Authority = hostName(r.Authority)
		c.checkRoute(r)
		key := routeKey{authority: r.Authority, prefix: r.Prefix}
		if other, ok := names[key]; ok {
			c.findings.Errorf(r.Place, "routes %q and %q both have authority %q and prefix %q", other, r.Name, r.Authority, r.Prefix)
		}
		names[key] = r.Name
		c.table.routes = append(c.table.routes, r)
		c.table.byAuthority[r.Authority] = append(c.table.byAuthority[r.Authority], r)
	}
}

func (c *compiler) checkRoute(r *Route) {
	if r.Authority == "" {
		c.findings.Errorf(r.Place, "the route has no authority")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.findings.Errorf(r.Place, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		c.findings.Errorf(r.Place, "timeout %s is not positive", r.Timeout)
	}
	if r.Objective < 0 {
		c.findings.Errorf(r.Place, "objective %s is negative", r.Objective)
	}
	if r.Rank < 0 {
		c.findings.Errorf(r.Place, "rank %d is negative", r.Rank)
	}
	if r.Attempts < 1 {
		c.findings.Errorf(r.Place, "%d attempts; at least 1 is needed", r.Attempts)
	}
	if slices.Contains(r.Regions, "") {
		c.findings.Errorf(r.Place, "one of the regions has no name")
	}
	if r.MaxBodyBytes < 0 {
		c.findings.Errorf(r.Place, "the limit of %d bytes for bodies is negative", r.MaxBodyBytes)
	}
	c.checkDestinations(r)
}

func (c *compiler) checkDestinations(r *Route) {
	if len(r.Destinations) == 0 {
		c.findings.Errorf(r.Place, "the route has no service")
	}
	for _, destination := range r.Destinations {
		if c.table.services[destination.Service] == nil {
			c.findings.Errorf(r.Place, "service %q is not defined", destination.Service)
		}
		if destination.Weight < 1 || destination.Weight > MaxWeight {
			c.findings.Errorf(r.Place, "weight %d of service %q is not from 1 to %d", destination.Weight, destination.Service, MaxWeight)
		}
	}
}

func (c *compiler) checkLimits(l Limits) {
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 {
		c.findings.Errorf(l.Place, "a limit in bytes is negative")
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		c.findings.Errorf(l.Place, "a time limit is negative")
	}
}
