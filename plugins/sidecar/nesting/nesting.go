// Package nesting detects which routes carry nested calls: calls that targets make while
// they run another request. The callers of an ordinary route are spread over the hosts of
// all services; nested calls come only from hosts of the services that make them. It does no
// I/O.
package nesting

import "math"

const (
	// significance is the probability below which chance no longer explains that a route's
	// requests all come from hosts of a few services.
	significance = 1e-6
	// minReference is the number of requests on other routes that are needed to know how
	// callers are distributed.
	minReference = 20
	// window is the number of requests at which all counts are halved.
	window = 4096
)

// Detector counts requests by route and by the service on their host of origin. It is not
// safe for concurrent use.
type Detector struct {
	routes   map[string]counts
	total    counts
	observed float64
}

// counts holds requests by the service on their host of origin.
type counts map[string]float64

// New returns a detector without observations.
func New() *Detector {
	return &Detector{routes: map[string]counts{}, total: counts{}}
}

// Observe counts a request.
func (d *Detector) Observe(route, service string) {
	c := d.routes[route]
	if c == nil {
		c = counts{}
		d.routes[route] = c
	}
	c[service]++
	d.total[service]++
	if d.observed++; d.observed >= window {
		d.decay()
	}
}

// decay halves the weight of all earlier requests.
func (d *Detector) decay() {
	d.observed /= 2
	d.total.halve()
	for route, c := range d.routes {
		c.halve()
		if len(c) == 0 {
			delete(d.routes, route)
		}
	}
}

// halve halves the counts and drops those below 1.
func (c counts) halve() {
	for service, n := range c {
		if n < 1 {
			delete(c, service)
		} else {
			c[service] = n / 2
		}
	}
}

// Nested reports whether the requests of a route are nested calls: whether they come only
// from hosts of some services, while requests on other routes also come from other hosts, to
// a degree that chance does not explain.
func (d *Detector) Nested(route string) bool {
	own := d.routes[route]
	var requests, others, othersOnSameHosts float64
	for service, n := range d.total {
		rest := n - own[service]
		others += rest
		requests += own[service]
		if own[service] > 0 {
			othersOnSameHosts += rest
		}
	}
	if others < minReference || othersOnSameHosts >= others {
		return false
	}
	// Count at least half a request, since a share of 0 would make a single request
	// conclusive.
	share := math.Max(othersOnSameHosts, 0.5) / others
	return requests*math.Log(share) < math.Log(significance)
}
