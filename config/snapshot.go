package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/pkg/errors"
)

// Digest is a SHA-256 digest. The zero value means that there is none.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first 12 hexadecimal digits of the digest.
func (d Digest) Short() string {
	return d.String()[:12]
}

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Errorf("a digest has %d hexadecimal digits, not %d", hex.EncodedLen(len(d)), len(text))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "digest")
}

// Snapshot is a compiled release. It is immutable, and all references in it
// resolve.
type Snapshot struct {
	// Number is the release number.
	Number uint64
	// Digest is the content digest of the release.
	Digest Digest
	// Fleet is the deployment that the release is for.
	Fleet string

	services     []*Service
	callers      []*Caller
	grants       []*Grant
	ingress      *ingress.Table
	serviceIndex map[string]*Service
	callerIndex  map[string]*Caller
	grantIndex   map[grantKey]*Grant
	credentials  map[Digest]*Caller
}

type grantKey struct {
	caller, service string
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	Team string
	// Routes are sorted by descending length of PathPrefix, so that the first
	// match is the most specific.
	Routes []*Route
	// Ingress holds the service's own ingress routes as defined by its template. Those
	// of all services together are in the snapshot's table.
	Ingress []ingress.Route
	// Slots is the number of calls that one target executes concurrently.
	Slots int
	// Connections is the number of connections that one target accepts.
	Connections int
	// Deadline is the longest time that a call may take.
	Deadline time.Duration
	// SlowStart is the time over which a newly started target ramps up to its full
	// share of the load.
	SlowStart time.Duration
	// RetryRatio bounds retries as a fraction of first attempts, 0 to 1.
	RetryRatio float64
	// HealthPath is the path for health checks of a target; empty means none.
	HealthPath string
	// Objective is the service-level objective set by the owner.
	Objective Objective
	Place     finding.Place
}

// Objective is a service-level objective.
type Objective struct {
	// Availability is the fraction of calls that must succeed, 0 to 1.
	Availability float64
	// Latency is the longest response time of a good call.
	Latency time.Duration
}

// Route is an operation of a service.
type Route struct {
	Name string
	// Method is an HTTP method; empty matches any.
	Method     string
	PathPrefix string
	// Idempotent allows a call to be retried when its outcome is unknown.
	Idempotent bool
	// Deadline is the longest time that a call may take.
	Deadline time.Duration
	// Cost is the load of a call relative to other calls of the service, above 0.
	Cost  float64
	Place finding.Place
}

// Caller is a party that sends calls.
type Caller struct {
	Name string
	Team string
	// Credentials holds the digests of the caller's credentials.
	Credentials []Digest
	Place       finding.Place
}

// Grant permits a caller to call a service.
type Grant struct {
	Caller  string
	Service string
	Team    string
	// Routes names the permitted routes; empty permits all of them.
	Routes []string
	// Rate is the permitted number of calls per second over all targets of the
	// service.
	Rate float64
	// Burst is the number of calls that may arrive at once in excess of Rate.
	Burst int
	// Share is the caller's weight in fair sharing while the service is overloaded,
	// above 0.
	Share float64
	Place finding.Place
}

// Permits reports whether the grant covers the route.
func (g *Grant) Permits(route string) bool {
	if len(g.Routes) == 0 {
		return true
	}
	for _, name := range g.Routes {
		if name == route {
			return true
		}
	}
	return false
}

// SnapshotContents are the contents of a snapshot. NewSnapshot takes ownership of
// them; they must not be modified afterwards.
type SnapshotContents struct {
	Number   uint64
	Digest   Digest
	Fleet    string
	Services []*Service
	Callers  []*Caller
	Grants   []*Grant
	// Ingress is nil if there are no ingress routes.
	Ingress *ingress.Table
}

// NewSnapshot indexes the contents. It returns an error if a name is defined twice
// or a reference does not resolve; Compile reports the same errors with their places
// beforehand.
func NewSnapshot(c SnapshotContents) (*Snapshot, error) {
	s := &Snapshot{
		Number:       c.Number,
		Digest:       c.Digest,
		Fleet:        c.Fleet,
		services:     c.Services,
		callers:      c.Callers,
		grants:       c.Grants,
		ingress:      c.Ingress,
		serviceIndex: make(map[string]*Service, len(c.Services)),
		callerIndex:  make(map[string]*Caller, len(c.Callers)),
		grantIndex:   make(map[grantKey]*Grant, len(c.Grants)),
		credentials:  make(map[Digest]*Caller, len(c.Callers)),
	}
	for _, index := range []func() error{s.indexServices, s.indexCallers, s.indexGrants, s.checkIngress} {
		if err := index(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Snapshot) indexServices() error {
	sort.Slice(s.services, func(i, j int) bool { return s.services[i].Name < s.services[j].Name })
	for _, service := range s.services {
		if _, exists := s.serviceIndex[service.Name]; exists {
			return errors.Errorf("service %q is defined twice", service.Name)
		}
		s.serviceIndex[service.Name] = service
		sortBySpecificity(service.Routes)
	}
	return nil
}

// sortBySpecificity sorts routes by descending length of the prefix. It does not
// write to a sorted slice, which another snapshot may share.
func sortBySpecificity(routes []*Route) {
	longer := func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) }
	if !sort.SliceIsSorted(routes, longer) {
		sort.SliceStable(routes, longer)
	}
}

func (s *Snapshot) indexCallers() error {
	sort.Slice(s.callers, func(i, j int) bool { return s.callers[i].Name < s.callers[j].Name })
	for _, caller := range s.callers {
		if _, exists := s.callerIndex[caller.Name]; exists {
			return errors.Errorf("caller %q is defined twice", caller.Name)
		}
		s.callerIndex[caller.Name] = caller
		for _, credential := range caller.Credentials {
			if other, exists := s.credentials[credential]; exists {
				return errors.Errorf("callers %q and %q have the same credential", other.Name, caller.Name)
			}
			s.credentials[credential] = caller
		}
	}
	return nil
}

func (s *Snapshot) indexGrants() error {
	for _, grant := range s.grants {
		key := grantKey{caller: grant.Caller, service: grant.Service}
		if _, exists := s.grantIndex[key]; exists {
			return errors.Errorf("caller %q has two grants for service %q", grant.Caller, grant.Service)
		}
		if err := s.checkGrant(grant); err != nil {
			return err
		}
		s.grantIndex[key] = grant
	}
	return nil
}

// checkGrant checks that the references of a grant resolve.
func (s *Snapshot) checkGrant(grant *Grant) error {
	service, ok := s.serviceIndex[grant.Service]
	if !ok {
		return errors.Errorf("grant of caller %q names service %q, which does not exist", grant.Caller, grant.Service)
	}
	if _, ok := s.callerIndex[grant.Caller]; !ok {
		return errors.Errorf("grant for service %q names caller %q, which does not exist", grant.Service, grant.Caller)
	}
	for _, name := range grant.Routes {
		if service.RouteByName(name) == nil {
			return errors.Errorf("grant of caller %q names route %q, which service %q does not have", grant.Caller, name, grant.Service)
		}
	}
	return nil
}

// checkIngress checks that the destinations of ingress routes are services of the
// snapshot.
func (s *Snapshot) checkIngress() error {
	if s.ingress == nil {
		return nil
	}
	for _, route := range s.ingress.Routes() {
		for _, destination := range route.Destinations {
			if s.serviceIndex[destination.Service] == nil {
				return errors.Errorf("ingress route %q names service %q, which does not exist", route.Name, destination.Service)
			}
		}
	}
	return nil
}

// Ingress returns the routes from authorities and path prefixes to services, nil if
// there are none.
func (s *Snapshot) Ingress() *ingress.Table { return s.ingress }

// Services returns all services sorted by name. The slice must not be modified.
func (s *Snapshot) Services() []*Service { return s.services }

// Callers returns all callers sorted by name. The slice must not be modified.
func (s *Snapshot) Callers() []*Caller { return s.callers }

// Grants returns all grants. The slice must not be modified.
func (s *Snapshot) Grants() []*Grant { return s.grants }

// Service returns the service with the given name, nil if there is none.
func (s *Snapshot) Service(name string) *Service {
	return s.serviceIndex[name]
}

// Caller returns the caller with the given name, nil if there is none.
func (s *Snapshot) Caller(name string) *Caller {
	return s.callerIndex[name]
}

// Grant returns the grant of a caller for a service, nil if there is none.
func (s *Snapshot) Grant(caller, service string) *Grant {
	return s.grantIndex[grantKey{caller: caller, service: service}]
}

// Authenticate returns the caller that owns the credential, nil if none does.
// The lookup is by digest, so its timing reveals nothing about the credential.
func (s *Snapshot) Authenticate(credential string) *Caller {
	digest := DigestOf([]byte(credential))
	caller := s.credentials[digest]
	if caller == nil {
		return nil
	}
	for i := range caller.Credentials {
		if subtle.ConstantTimeCompare(caller.Credentials[i][:], digest[:]) == 1 {
			return caller
		}
	}
	return nil
}

// Match returns the most specific route for a request, nil if there is none. A
// prefix matches up to a slash or the end of the path.
func (s *Service) Match(method, path string) *Route {
	for _, route := range s.Routes {
		if route.Method != "" && route.Method != method {
			continue
		}
		if matchesPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if strings.HasSuffix(prefix, "/") || len(path) == len(prefix) {
		return true
	}
	return path[len(prefix)] == '/'
}

// RouteByName returns the route with the given name, nil if there is none.
func (s *Service) RouteByName(name string) *Route {
	for _, route := range s.Routes {
		if route.Name == name {
			return route
		}
	}
	return nil
}
