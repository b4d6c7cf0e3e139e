package sidecar

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/pace"
	"github.com/bronzemast/bronzemast/plugins/sidecar/placement"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
)

// targetStats holds the node's estimates of targets and routes, taken from the answers that
// it received.
type targetStats struct {
	settings   *liveSettings
	self       netip.Addr
	domain     string
	log        *event.Log
	departures *departures
	// fleetSize returns the number of nodes that share a target's limit.
	fleetSize func() int
	// warmup returns the warm-up of a service's targets.
	warmup func(service string) ingress.Warmup
	// probe checks in the background whether the node beside a target runs, and passes
	// the result to recordProbe. It does not block.
	probe func(t *model.Target)

	mu      sync.Mutex
	targets map[model.TargetID]*targetRecord
	routes  map[string]*routeRecord
	// placer, eligible and candidates are used again for each request, so that choosing among
	// hundreds of targets does not allocate.
	placer     placement.Placer
	eligible   []*model.Target
	candidates []placement.Candidate
}

// placementRequest holds what choosing a target needs to know of a request, besides the target.
type placementRequest struct {
	rank   int
	nested bool
	// runTime is the mean run time of the route, objectiveRemaining the time left until the
	// objective is missed.
	runTime            time.Duration
	objectiveRemaining time.Duration
	// answerBytes is the expected size of the answer, 0 if it is not known.
	answerBytes int64
	// occupancy is the mean number of requests per slot of the service's targets, and
	// remoteCost the cost of leaving the failure domain.
	occupancy  float64
	remoteCost float64
}

// targetRecord holds the estimates of one target.
type targetRecord struct {
	// load is the latest load report, and loadAt the earliest time at which it can have been
	// sent. sentSince counts the requests that this node has sent to the target since the
	// report arrived, and inFlight those that have not ended.
	load      load
	loadAt    time.Time
	sentSince int
	inFlight  int
	// relativeRunTime is the target's run time, without its current slowdown, relative to
	// the mean of all targets; roundTrip is the network round-trip time. Both are as of
	// estimatedAt.
	relativeRunTime float64
	roundTrip       time.Duration
	estimatedAt     time.Time
	// lag is the time beyond roundTrip that the node beside the target, or the way to it,
	// took for the latest attempt, as of lagAt.
	lag   time.Duration
	lagAt time.Time
	// peer tracks whether the node beside the target answers.
	peer reachability
	// cooldownUntil is the end of the target's cooldown, which starts when its peer can't
	// reach it or has another instance in its place. cooldown is its length.
	cooldownUntil time.Time
	cooldown      time.Duration
	// loggedState is the state that was last logged.
	loggedState string
	// state is what the target has announced, as of stateAt, and share the node's share of
	// its limit.
	state   targetState
	stateAt time.Time
	share   ratelimit.Bucket
	// coldUntil is the end of the target's warm-up, and limitEndsAt that of the limit in
	// state, zero if only the target ends it.
	coldUntil   time.Time
	limitEndsAt time.Time
	// entryPosition and returnedAt are those of the target's entry that was last seen.
	entryPosition model.Position
	returnedAt    time.Time
	// fullUntil is the time until which the target is expected to reject requests of rank
	// fullRank and of lower priority (a greater rank).
	fullUntil time.Time
	fullRank  int
	// linkFullUntil is the time until which the target is expected to reject requests with
	// large answers, and linkFreeAt that at which the answers that it holds are through.
	linkFullUntil time.Time
	linkFreeAt    time.Time
	// pace is how fast the target's machine works at the moment.
	pace pace.Pace
}

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

const (
	// relativeRunTimeWeight is the weight of a new run in a target's relative run time, and
	// reportedRunTimeWeight that of a mean over many runs that is reported.
	relativeRunTimeWeight = 0.1
	reportedRunTimeWeight = 0.5
	// The half-lives are those with which the estimates of a target decay, so that a
	// recovered target gets requests again.
	loadHalfLife     = time.Second
	slowdownHalfLife = 3 * time.Second
	failureHalfLife  = 5 * time.Second
	estimateHalfLife = 10 * time.Second
	lagHalfLife      = time.Second
	// coldRunTimeFactor is the least relative run time assumed while a target is cold.
	coldRunTimeFactor = 2
	// initialRoundTrip is the round-trip time assumed until a target has answered.
	initialRoundTrip = 2 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the round-trip time.
	roundTripWeight = 0.1
	// leavingCooldown is how long a target counts as leaving after a report that it is.
	leavingCooldown = time.Second
	// minCooldown and maxCooldown bound the cooldown of an unreachable target, during
	// which it is the last choice. It may be short since the peer rejects requests at once.
	minCooldown = 250 * time.Millisecond
	maxCooldown = 2 * time.Second
)

func newTargetStats(settings *liveSettings, self netip.Addr, domain string, log *event.Log) *targetStats {
	return &targetStats{
		settings:   settings,
		self:       self,
		domain:     domain,
		log:        log,
		departures: newDepartures(),
		fleetSize:  func() int { return 1 },
		warmup:     func(string) ingress.Warmup { return ingress.Warmup{} },
		targets:    map[model.TargetID]*targetRecord{},
		routes:     map[string]*routeRecord{},
	}
}

// retain drops the targets that are not in the list, except those that named a limit
// recently: an entry that lapsed during an outage of the store may come back.
func (s *targetStats) retain(list *model.TargetList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, r := range s.targets {
		limited := r.state.Limited && now.Sub(r.stateAt) < announcementTTL
		if list.ByID[id] == nil && !limited {
			delete(s.targets, id)
		}
	}
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

// target returns the record of a target, which it creates if needed. The caller holds mu.
func (s *targetStats) target(t *model.Target, now time.Time) *targetRecord {
	r := s.targets[t.ID]
	if r == nil {
		r = &targetRecord{relativeRunTime: 1, estimatedAt: now, roundTrip: initialRoundTrip}
		if t.Address.Addr() == s.self {
			r.roundTrip = 0
		}
		s.targets[t.ID] = r
	}
	s.observeEntry(t, r, now)
	r.endWarmup(now)
	return r
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

// fullFor bounds the time for which a target that rejected a request is not tried again: by
// its turnover, or by the interval of the node's share if the target limits its rate. The
// caller holds mu.
func (s *targetStats) fullFor(r *targetRecord, t *model.Target, route *ingress.Route, reported time.Duration) time.Duration {
	bound := s.turnover(t, route)
	if r.state.Limited {
		bound = max(bound, time.Duration(float64(time.Second)/s.shareOf(r.state.Rate)))
	}
	return min(reported, bound)
}

// turnover returns the time within which a busy target is expected to finish turnoverRuns
// runs. The caller holds mu.
func (s *targetStats) turnover(t *model.Target, route *ingress.Route) time.Duration {
	return turnoverRuns * s.meanRunTime(route.Name, route.Objective) / time.Duration(max(t.Slots, 1))
}

// turnoverRuns is the number of finished runs after which a full target is tried again.
const turnoverRuns = 2

// full reports whether the target is expected to reject a request because of its load. Calls made
// by targets have priority over all others, so earlier rejections don't apply to them.
func (r *targetRecord) full(request *placementRequest, now time.Time) bool {
	return now.Before(r.fullUntil) && request.rank >= r.fullRank && !request.nested
}

// occupancy returns the mean number of requests per slot of the targets, weighted by the
// age of their load reports; 0 if there are none. The caller holds mu.
func (s *targetStats) occupancy(targets []*model.Target, now time.Time) float64 {
	var sum, weights float64
	for _, t := range targets {
		r := s.targets[t.ID]
		if r == nil || r.load.Slots == 0 || t.Leaving {
			continue
		}
		weight := decay(now.Sub(r.loadAt), loadHalfLife)
		sum += weight * float64(r.load.Running+r.load.Waiting) / float64(r.load.Slots)
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// candidate returns the placement candidate of a target. Its reported load decays towards the
// mean occupancy of the service, so that a target without a recent report does not count as
// idle while the service is busy. The caller holds mu.
func (s *targetStats) candidate(t *model.Target, r *targetRecord, request *placementRequest, now time.Time) placement.Candidate {
	loadAge := now.Sub(r.loadAt)
	slowdown := 1.0
	if r.load.Slowdown != 0 {
		slowdown = 1 + (r.load.Slowdown-1)*decay(loadAge, slowdownHalfLife)
	}
	estimateWeight := decay(now.Sub(r.estimatedAt), estimateHalfLife)
	factor := (1 + (r.relativeRunTime-1)*estimateWeight) * slowdown
	factor *= r.pace.Factor(now)
	if now.Before(r.coldUntil) {
		factor = max(factor, coldRunTimeFactor)
	}
	loadWeight := decay(loadAge, loadHalfLife)
	reported := float64(r.load.Running+r.load.Waiting)*loadWeight + request.occupancy*float64(t.Slots)*(1-loadWeight)
	c := placement.Candidate{
		Occupied:           max(reported+float64(r.sentSince), float64(r.inFlight)),
		Slots:              t.Slots,
		RunTime:            time.Duration(float64(request.runTime) * factor),
		ObjectiveRemaining: request.objectiveRemaining,
		RoundTrip:          time.Duration(float64(r.roundTrip)*estimateWeight) + r.currentLag(now),
		Throttled:          r.share.Until(1, now) > 0,
		Unavailable:        now.Before(r.cooldownUntil) || r.load.Leaving && loadAge < leavingCooldown,
	}
	if r.load.FailureRate != 0 {
		c.FailureRate = r.load.FailureRate * decay(loadAge, failureHalfLife)
	}
	if request.answerBytes >= uplink.LargeBytes {
		c.LinkWait = max(r.linkFreeAt.Sub(now), 0)
	}
	if t.Domain != s.domain {
		c.RemoteCost = request.remoteCost
	}
	return c
}

// decay returns the factor of an exponential decay after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
