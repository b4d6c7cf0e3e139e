package sidecar

import (
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/ratelimit"
)

const (
	// announcementTTL is how long a limit is remembered after its target was last listed.
	announcementTTL = time.Minute
	// rateLogInterval is the shortest time between two log lines about a limit that
	// changes only its rate.
	rateLogInterval = 5 * time.Second
)

// The sources of an announcement as logged.
const (
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

// loggedAnnouncement is an announcement that was logged.
type loggedAnnouncement struct {
	limited bool
	rate    float64
	invalid string
	leaving bool
	at      time.Time
}

// due reports whether another announcement differs from this one so that it is logged.
func (l loggedAnnouncement) due(next loggedAnnouncement) bool {
	if l.limited != next.limited || l.invalid != next.invalid || l.leaving != next.leaving {
		return true
	}
	return l.rate != next.rate && next.at.Sub(l.at) >= rateLogInterval
}

// fields returns the fields of the log line.
func (l loggedAnnouncement) fields(id model.TargetID, source string) event.Fields {
	return event.Fields{"target": id, "limit": logLimit(l.rate, l.limited), "invalid": l.invalid, "leaving": l.leaving, "source": source}
}

// noLimit is logged as the limit of a target that names none.
const noLimit = -1.0

func logLimit(rate float64, limited bool) float64 {
	if !limited {
		return noLimit
	}
	return rate
}

// loggedLimit returns the limit as it is logged.
func (s targetState) loggedLimit() float64 { return logLimit(s.Rate, s.Limited) }

// observeAnnouncement records what an instance announces in an answer to a request that was
// sent at sentAt. A limit that is not a rate changes nothing.
func (s *targetSide) observeAnnouncement(inst *instance, id model.TargetID, head model.ResponseHead, sentAt time.Time) {
	now := time.Now()
	logged, changed := inst.observe(head, sentAt, now)
	if head.Leaving && s.departures.record(id, inst.incarnation(now), now) {
		inst.rejectWaiting()
	}
	if changed {
		s.log.Emit(eventAnnounced, logged.fields(id, sourceAnswer))
	}
}

// observe records the announcements of an answer. It returns them as they are logged, and
// whether they changed.
func (i *instance) observe(head model.ResponseHead, sentAt, now time.Time) (logged loggedAnnouncement, changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case head.Limit.Named:
		i.limit.Name(head.Limit.Rate, sentAt, now)
	case head.Limit.Invalid == "":
		i.limit.End(sentAt)
	}
	i.leaving = i.leaving || head.Leaving
	i.limitHeard(now)
	logged = loggedAnnouncement{invalid: head.Limit.Invalid, leaving: i.leaving, at: now}
	logged.rate, logged.limited = i.limit.Limit()
	changed = i.logged.due(logged)
	if changed {
		i.logged = logged
	}
	return logged, changed
}

// learn records a limit that another node has heard from the same incarnation.
func (i *instance) learn(known targetState, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case !known.Limited:
	case known.LimitedFor > 0 && !i.warmup.Limited():
		// The node has no configuration yet.
		i.warmup.Configure(ingress.Warmup{Duration: known.LimitedFor, Rate: known.Rate})
		i.warmup.Assume(now)
		i.applyLimit(now)
	case known.LimitedFor == 0 && known.StartedAt == i.startedMillis() && !i.limit.Answered():
		i.limit.Learn(known.Rate)
		i.limitHeard(now)
	}
}

// limitHeard records that the target's limit, or its absence, was heard of. The caller holds mu.
func (i *instance) limitHeard(now time.Time) {
	i.heardAt = time.Time{}
	if _, named := i.limit.Limit(); named {
		i.heardAt = now
	}
	i.applyLimit(now)
}

// applyLimit applies the limits on the target's rate to the queue. The caller holds mu.
func (i *instance) applyLimit(now time.Time) {
	rate, limited := i.rateLimit(now)
	switch {
	case limited:
		notify(i.queue.SetRate(rate, now), admissionResult{started: true})
	case i.rateLimited:
		notify(i.queue.ClearRate(now), admissionResult{started: true})
	default:
		return
	}
	i.rateLimited = limited
	i.armTimer()
}

// rateLimit returns the rate that the target may be sent, in requests per second: the lower one
// of the limit that it names and that of its warm-up. The caller holds mu.
func (i *instance) rateLimit(now time.Time) (rate float64, limited bool) {
	rate, limited = i.limit.Limit()
	if cold, isCold := i.warmup.Rate(now); isCold && (!limited || cold < rate) {
		return cold, true
	}
	return rate, limited
}

// pauseAfterRejection returns how long a node whose request the limit rejected should offer
// no further one. wait is the time until the limit allows for another request.
func (i *instance) pauseAfterRejection(sender netip.Addr, wait time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	rate, limited := i.rateLimit(now)
	if !limited {
		return wait
	}
	i.senders.Offered(sender, now)
	return i.senders.Pause(rate, wait, now)
}

// startedAs records when the listed incarnation started. What an earlier one announced does
// not apply to it.
func (i *instance) startedAs(startedAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if startedAt.Equal(i.startedAt) {
		return
	}
	restarted := !i.startedAt.IsZero()
	i.startedAt = startedAt
	if restarted {
		i.limit, i.leaving = ratelimit.Announced{}, false
		i.limitHeard(time.Now())
	}
}

// incarnation returns when the present incarnation started, now if it is not known.
func (i *instance) incarnation(now time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.startedAt.IsZero() {
		return now
	}
	return i.startedAt
}

// startedMillis returns when the present incarnation started as Unix time in milliseconds, 0
// if it is not known. The caller holds mu.
func (i *instance) startedMillis() int64 {
	if i.startedAt.IsZero() {
		return 0
	}
	return i.startedAt.UnixMilli()
}

// rejectWaiting rejects all waiting requests, so that they go to another target.
func (i *instance) rejectWaiting() {
	i.mu.Lock()
	defer i.mu.Unlock()
	notify(i.queue.Clear(), admissionResult{})
	i.armTimer()
}

// state returns what the target has announced, as it is sent to other nodes.
func (i *instance) state() targetState {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	s := targetState{Leaving: i.leaving, StartedAt: i.startedMillis()}
	s.Rate, s.Limited = i.rateLimit(now)
	if _, cold := i.warmup.Rate(now); cold {
		s.LimitedFor = i.warmup.End().Sub(now)
	}
	return s
}

// limitedWithin reports whether a limit was in force within the given time.
func (i *instance) limitedWithin(d time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.heardAt.IsZero() && time.Since(i.heardAt) < d
}

// limits returns the limits of the host's own targets in requests per second, by target.
func (s *targetSide) limits() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := map[string]float64{}
	for id, inst := range s.instances {
		if state := inst.state(); state.Limited {
			limits[string(id)] = state.Rate
		}
	}
	return limits
}
