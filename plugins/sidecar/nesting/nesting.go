// Package nesting finds out which routes carry the calls that targets make while
// they work on another request. Callers of a route that is open to everybody are
// spread over the hosts of all services; the calls of targets come only from hosts
// of the services that make them. It does no I/O.
package nesting

import "math"

const (
	// doubt is the probability below which chance no longer explains that a
	// route's requests all come from hosts of few services.
	doubt = 1e-6
	// leastReference is the number of other requests without which nothing is
	// known of where callers are.
	leastReference = 20
	// window is the number of requests after which older ones count half.
	window = 4096
)

// Learner counts requests by route and by the service on the host where they
// began. It is not safe for concurrent use.
type Learner struct {
	routes map[string]counts
	total  counts
	seen   float64
}

// counts holds requests by the service on their host of origin.
type counts map[string]float64

// New returns a learner without experience.
func New() *Learner {
	return &Learner{routes: map[string]counts{}, total: counts{}}
}

// Observe counts a request.
func (l *Learner) Observe(route, service string) {
	c := l.routes[route]
	if c == nil {
		c = counts{}
		l.routes[route] = c
	}
	c[service]++
	l.total[service]++
	if l.seen++; l.seen >= window {
		l.age()
	}
}

// age makes all earlier requests count half.
func (l *Learner) age() {
	l.seen /= 2
	l.total.halve()
	for route, c := range l.routes {
		c.halve()
		if len(c) == 0 {
			delete(l.routes, route)
		}
	}
}

func (c counts) halve() {
	for service, n := range c {
		if n < 1 {
			delete(c, service)
		} else {
			c[service] = n / 2
		}
	}
}

// Nested reports whether the requests of a route are calls of targets: whether
// they come from hosts of some services only, while the other requests come from
// others too, and chance does not explain that.
func (l *Learner) Nested(route string) bool {
	own := l.routes[route]
	var requests, others, othersThere float64
	for service, n := range l.total {
		rest := n - own[service]
		others += rest
		requests += own[service]
		if own[service] > 0 {
			othersThere += rest
		}
	}
	if others < leastReference || othersThere >= others {
		return false
	}
	// The others count at least half a request there, so that a part of none
	// does not make a single request certain.
	part := math.Max(othersThere, 0.5) / others
	return requests*math.Log(part) < math.Log(doubt)
}
