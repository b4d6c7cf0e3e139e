package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// sampleEvery means that one of this many successful requests is logged. The choice
	// depends on the request ID only, so that both nodes log the same requests.
	sampleEvery = 50
	// slowFactor is the multiple of the objective above which a request is logged as slow.
	slowFactor = 1
	// unloggedInterval is the interval at which the number of unlogged requests is logged.
	unloggedInterval = 10 * time.Second
)

// tracer logs requests within a rate limit of log lines.
type tracer struct {
	log *event.Log
	// failed limits the lines of notable requests (failed, rejected, slow or retried), and
	// served those of all others.
	failed *rate.Limiter
	served *rate.Limiter

	mu             sync.Mutex
	unloggedFailed int
	unloggedServed int
}

func newTracer(log *event.Log, linesPerSecond float64) *tracer {
	const servedShare = 0.2
	return &tracer{
		log:    log,
		failed: rate.NewLimiter(rate.Limit(linesPerSecond*(1-servedShare)), int(linesPerSecond)+1),
		served: rate.NewLimiter(rate.Limit(linesPerSecond*servedShare), int(linesPerSecond)+1),
	}
}

// logLine is an event that is logged if its request is.
type logLine struct {
	event  *event.Event
	fields event.Fields
}

// shouldLog reports whether a request is notable or part of the sample.
func shouldLog(id string, notable bool) bool {
	return notable || xxhash.Sum64String(id)%sampleEvery == 0
}

// emit logs all lines of a request, or none if the rate limit doesn't allow for all of them.
func (t *tracer) emit(lines []logLine, notable bool) {
	limiter, unlogged := t.served, &t.unloggedServed
	if notable {
		limiter, unlogged = t.failed, &t.unloggedFailed
	}
	if !limiter.AllowN(time.Now(), len(lines)) {
		t.mu.Lock()
		defer t.mu.Unlock()
		*unlogged++
		return
	}
	for _, l := range lines {
		t.log.Emit(l.event, l.fields)
	}
}

// run periodically logs the number of unlogged requests, until ctx ends.
func (t *tracer) run(ctx context.Context) {
	for clock.Sleep(ctx, unloggedInterval) {
		t.mu.Lock()
		failed, served := t.unloggedFailed, t.unloggedServed
		t.unloggedFailed, t.unloggedServed = 0, 0
		t.mu.Unlock()
		if failed+served > 0 {
			t.log.Emit(eventUnlogged, event.Fields{"failed": failed, "served": served})
		}
	}
}

// request logs a caller's request and its attempts.
func (t *tracer) request(c *call, a *answer, status int, retryAfter time.Duration, position model.Position) {
	took := time.Since(c.receivedAt)
	notable := a.Outcome != model.OutcomeRan || a.Failed || c.targetsReached > 1 || took > slowFactor*c.route.Objective
	if !shouldLog(c.id, notable) {
		return
	}
	fingerprint := ""
	if a.Reason == model.ReasonTargetCrashed || a.Reason == model.ReasonQuarantined {
		fingerprint = c.fingerprint().String()
	}
	lines := append(c.trace, logLine{event: eventRequest, fields: event.Fields{
		"request":        c.id,
		"route":          c.route.Name,
		"service":        c.service,
		"configuration":  c.configuration,
		"revision":       position,
		"hops":           c.hops,
		"targets":        c.targetsReached,
		"outcome":        a.Outcome.String(),
		"reason":         a.Reason,
		"status":         status,
		"retry_after_ms": retryAfter.Milliseconds(),
		"took_ms":        took.Milliseconds(),
		"left_ms":        time.Until(c.deadline).Milliseconds(),
		"fingerprint":    fingerprint,
	}})
	t.emit(lines, notable)
}

// rejected logs a request that was rejected before a target was selected.
func (t *tracer) rejected(r *http.Request, reply *model.LocalReply, status int, configuration uint64, position model.Position) {
	_, path := requestTarget(r)
	t.emit([]logLine{{event: eventRejected, fields: event.Fields{
		"request":        reply.ID,
		"authority":      r.Host,
		"path":           path,
		"configuration":  configuration,
		"revision":       position,
		"reason":         reply.Reason,
		"status":         status,
		"retry_after_ms": reply.RetryAfter.Milliseconds(),
	}}}, true)
}

// targetSide logs a request at the target side.
func (t *tracer) targetSide(h *handover, adm *admission, a *answer, position model.Position) {
	notable := a.Outcome != model.OutcomeRan || a.Failed || a.TimeAtNode > slowFactor*h.Objective
	if !shouldLog(h.ID, notable) {
		return
	}
	fingerprint := ""
	if a.Reason == model.ReasonTargetLost || a.Reason == model.ReasonTargetCrashed {
		fingerprint = a.fingerprint.String()
	}
	t.emit([]logLine{{event: eventTargetSide, fields: event.Fields{
		"request":         h.ID,
		"route":           h.Route,
		"target":          h.Instance,
		"rank":            h.Rank,
		"nested":          a.Nested,
		"late":            adm.late,
		"patience_ms":     h.MaxQueueWait.Milliseconds(),
		"expected_ms":     adm.expected.Milliseconds(),
		"start_within_ms": adm.startWithin.Milliseconds(),
		"running":         adm.loadAtArrival.Running,
		"waiting":         adm.loadAtArrival.Waiting,
		"slots":           adm.loadAtArrival.Slots,
		"limit":           a.announced.loggedLimit(),
		"waited_ms":       adm.waited.Milliseconds(),
		"worked_ms":       a.RunTime.Milliseconds(),
		"outcome":         a.Outcome.String(),
		"reason":          a.Reason,
		"status":          a.status,
		"revision":        position,
		"sender_revision": h.position(),
		"fingerprint":     fingerprint,
	}}}, notable)
}
