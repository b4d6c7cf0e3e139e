package sidecar

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/pace"
	"github.com/bronzemast/bronzemast/plugins/sidecar/placement"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
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
