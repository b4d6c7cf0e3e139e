// Package ingress defines the configuration of requests from outside: routes by
// authority and path prefix, the services behind them, and the limits of requests.
package ingress

import (
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/finding"
)

// Document is a configuration as published, before it is checked.
type Document struct {
	// Number increases with each published document.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route maps requests for an authority and a path prefix to services.
type Route struct {
	Name string
	// Authority is the host name of the request, without a port.
	Authority string
	// Prefix begins and ends with a slash. The longest matching prefix wins.
	Prefix string
	// Idempotent allows a request to be executed more than once.
	Idempotent bool
	// Timeout bounds the total time of a request, including queueing.
	Timeout time.Duration
	// Objective is the longest response time that counts as on time.
	Objective time.Duration
	// Rank is the priority of requests when a service is overloaded; 0 is the highest.
	Rank int
	// Attempts is the number of targets that one request may be sent to.
	Attempts int
	// Regions holds the regions to whose targets requests may go; empty means all.
	Regions []string
	// MaxBodyBytes bounds the body of a request; 0 means that the route sets no limit.
	MaxBodyBytes int64
	// Destinations are the services behind the route and their weights.
	Destinations []Destination
	Place        finding.Place
}

// Allows reports whether requests may go to targets in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service string
	// Weight is the share relative to the other destinations, above 0.
	Weight int
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the path for health checks of a target; empty means none.
	HealthPath string
	// Connections is the number of connections that one target accepts.
	Connections int
	// Warmup limits the requests of a target that is cold.
	Warmup Warmup
	Place  finding.Place
}

// Warmup limits the requests of a target that is cold: after its start, after an evacuation of
// its failure domain, and whenever the target says so. The zero value sets no limit.
type Warmup struct {
	// Duration is how long a target stays cold after its start.
	Duration time.Duration
	// Rate is the number of requests per second that a cold target tolerates.
	Rate float64
}

// Limited reports whether cold targets tolerate a limited rate.
func (w Warmup) Limited() bool { return w.Rate > 0 && w.Duration > 0 }

// Limits bound the size of requests and the time that a caller takes to send them.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a request; 0
	// means that the document sets no limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to send the header of a request, IdleTimeout
	// the time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	Place         finding.Place
}
