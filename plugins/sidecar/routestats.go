package sidecar

import (
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
)

// routeRecord holds the estimates of one route.
type routeRecord struct {
	// meanRunTime is the mean run time over all targets, 0 if unknown.
	meanRunTime time.Duration
	// maxCallerTimeout is the longest remaining time that a caller has given. A caller
	// that retries has less left, so the difference is the time since its first attempt.
	maxCallerTimeout time.Duration
	// meanAnswerBytes is the mean size of answers, 0 if unknown.
	meanAnswerBytes float64
	// nested is set when the route carries calls made by targets, and service is then the
	// service that they go to.
	nested  bool
	service string
}

// retainRoutes drops the routes that are not in the table.
func (s *targetStats) retainRoutes(table *ingress.Table) {
	listed := table.RouteNames()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.routes {
		if !listed[name] {
			delete(s.routes, name)
		}
	}
}

// route returns the record of a route, which it creates if needed. The caller holds mu.
func (s *targetStats) route(name string) *routeRecord {
	r := s.routes[name]
	if r == nil {
		r = &routeRecord{}
		s.routes[name] = r
	}
	return r
}

// elapsed estimates the time since a caller's first attempt: the longest timeout seen on the
// route less the caller's remaining time. It returns 0 if the caller gave no deadline.
func (s *targetStats) elapsed(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.route(route)
	r.maxCallerTimeout = max(r.maxCallerTimeout, remaining)
	return r.maxCallerTimeout - remaining
}

// nested reports whether a route carries calls made by targets.
func (s *targetStats) nested(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route(route).nested
}

// recordNested records whether a route carries calls made by targets, and to which service.
func (s *targetStats) recordNested(route, service string, nested bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.route(route)
	r.nested, r.service = nested, service
}

// called reports whether a service gets calls made by targets.
func (s *targetStats) called(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routes {
		if r.nested && r.service == service {
			return true
		}
	}
	return false
}

// callees returns the services that targets of the given service may call: all others that are
// known to get calls made by targets.
func (s *targetStats) callees(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var callees []string
	for _, r := range s.routes {
		if r.nested && r.service != service && !slices.Contains(callees, r.service) {
			callees = append(callees, r.service)
		}
	}
	return callees
}

// meanRunTime returns the mean run time of a route, a third of the objective if there are no
// samples. The caller holds mu.
func (s *targetStats) meanRunTime(route string, objective time.Duration) time.Duration {
	if mean := s.route(route).meanRunTime; mean > 0 {
		return mean
	}
	return objective / 3
}

// expectedRunTime returns the mean run time of a route.
func (s *targetStats) expectedRunTime(route *ingress.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanRunTime(route.Name, route.Objective)
}
