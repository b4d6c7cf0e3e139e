package ingress

import "sync"

// Splitter distributes the requests of each route over its services by weight. It is
// safe for concurrent use. The zero value is ready for use.
type Splitter struct {
	mu sync.Mutex
	// credit holds how far each service is behind its share, in requests times the total
	// weight, by route and service. It has only routes with several destinations.
	credit map[string]map[string]int
}

// Choose returns the service that gets the next request of a route. It uses smooth
// weighted round robin, which selects the service that is furthest behind its share.
func (s *Splitter) Choose(r *Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.creditOf(r)
	total := 0
	best := ""
	for _, destination := range r.Destinations {
		credit[destination.Service] += destination.Weight
		total += destination.Weight
		if best == "" || credit[destination.Service] > credit[best] {
			best = destination.Service
		}
	}
	credit[best] -= total
	return best
}

// creditOf returns the credit of a route's services. If the set of services has
// changed, it starts from zero, so that no service inherits the credit of another. The
// caller holds mu.
func (s *Splitter) creditOf(r *Route) map[string]int {
	credit := s.credit[r.Name]
	if sameServices(credit, r.Destinations) {
		return credit
	}
	if s.credit == nil {
		s.credit = map[string]map[string]int{}
	}
	credit = make(map[string]int, len(r.Destinations))
	s.credit[r.Name] = credit
	return credit
}

// sameServices reports whether credit has exactly the services of the destinations.
func sameServices(credit map[string]int, destinations []Destination) bool {
	if len(credit) != len(destinations) {
		return false
	}
	for _, destination := range destinations {
		if _, ok := credit[destination.Service]; !ok {
			return false
		}
	}
	return true
}

// Retain discards the credit of routes that are not in the table.
func (s *Splitter) Retain(t *Table) {
	names := t.RouteNames()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.credit {
		if !names[name] {
			delete(s.credit, name)
		}
	}
}
