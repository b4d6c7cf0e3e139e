package ingress

import (
	"strings"
)

// Table is a compiled document. It is immutable and contains every service that its
// routes name.
type Table struct {
	// Number is the number of the document.
	Number uint64
	Limits Limits

	routes   []*Route
	services map[string]*Service
	// byAuthority holds the routes of each authority, longest prefix first.
	byAuthority map[string][]*Route
}

// Match returns the route with the longest prefix for a request, nil if there is
// none. A port in authority is ignored.
func (t *Table) Match(authority, path string) *Route {
	for _, route := range t.byAuthority[hostName(authority)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// BodyLimit returns the largest size of a request body on a route in bytes, 0 if
// there is no limit.
func (t *Table) BodyLimit(r *Route) int64 {
	if r.MaxBodyBytes > 0 && t.Limits.MaxBodyBytes > 0 {
		return min(r.MaxBodyBytes, t.Limits.MaxBodyBytes)
	}
	return max(r.MaxBodyBytes, t.Limits.MaxBodyBytes)
}

// hostName returns an authority in lower case without its port.
func hostName(authority string) string {
	if colon := strings.LastIndexByte(authority, ':'); colon > strings.LastIndexByte(authority, ']') {
		authority = authority[:colon]
	}
	return strings.ToLower(authority)
}

// Service returns the service with the given name, nil if there is none.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// RouteNames returns the names of all routes.
func (t *Table) RouteNames() map[string]bool {
	names := make(map[string]bool, len(t.routes))
	for _, r := range t.routes {
		names[r.Name] = true
	}
	return names
}

// Routes returns all routes in the order of the document. The slice must not be
// modified.
func (t *Table) Routes() []*Route { return t.routes }
