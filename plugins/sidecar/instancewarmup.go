package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// healthCheckTimeout bounds a health check, and healthCheckInterval is the shortest time
	// between two of them.
	healthCheckTimeout  = time.Second
	healthCheckInterval = 500 * time.Millisecond
	// slowdownInterval is the shortest time between two health checks of a target that is
	// slow, as it is while it is cold, and coldSlowdown the slowdown from which it may be.
	slowdownInterval = 2 * time.Second
	coldSlowdown     = 1.5
)

// The sources of what is known of a warm-up, as logged.
const (
	warmupFromEntry      = "entry"
	warmupFromStart      = "start"
	warmupFromReturn     = "evacuation-end"
	warmupFromConnection = "connection"
	warmupFromHealth     = "health-check"
)

// healthCheck tracks the health checks of a target.
type healthCheck struct {
	path      string
	running   bool
	startedAt time.Time
}

// observeEntry notes what the target's entry says of its warm-up. A node that sees a target for
// the first time cannot tell from the entry how long ago it was written, so it asks the target.
// It returns why the target may be cold, empty if nothing is new.
func (i *instance) observeEntry(t *model.Target, service serviceWarmup, now time.Time) (source string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.warmup.Configure(service.warmup)
	i.health.path = service.healthPath
	if !service.warmup.Limited() {
		return ""
	}
	isNew := i.entryPosition.IsZero()
	if t.Position != i.entryPosition {
		i.entryPosition = t.Position
		if t.SlowStartRemaining > 0 {
			i.warmup.Extend(now.Add(t.SlowStartRemaining))
			source = warmupFromEntry
		}
	}
	switch {
	case isNew:
		i.warmup.Assume(now)
		source = warmupFromStart
	case !t.StartedAt.Equal(i.startedAt):
		i.warmup.Assume(now)
		source = warmupFromStart
	case t.ReturnedAt.After(i.returnedAt):
		i.warmup.Assume(t.ReturnedAt)
		source = warmupFromReturn
	}
	i.returnedAt = t.ReturnedAt
	i.applyLimit(now)
	return source
}

// observeUnlisted configures the warm-up of a target that is not listed. It reports whether the
// target is new to the node, and is then taken to be cold.
func (i *instance) observeUnlisted(service serviceWarmup, now time.Time) (isNew bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !service.warmup.Limited() || i.warmup.Limited() {
		return false
	}
	i.warmup.Configure(service.warmup)
	i.health.path = service.healthPath
	i.warmup.Assume(now)
	i.applyLimit(now)
	return true
}

// assumeCold treats the target as cold until a health check tells how long it is. It returns
// false if cold targets are not limited.
func (i *instance) assumeCold(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.warmup.Limited() {
		return false
	}
	i.warmup.Assume(now)
	i.applyLimit(now)
	return true
}

// recordSent records that the target is sent a request.
func (i *instance) recordSent(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.warmup.Sent(now)
}

// overloadedWhileCold reports whether the target is cold and has been sent more than it
// tolerates.
func (i *instance) overloadedWhileCold() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.warmup.Overloaded(time.Now())
}

// mayBeCold reports whether the target is as slow as a cold one, though it is not known to be
// cold.
func (i *instance) mayBeCold() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.slowdown >= coldSlowdown && i.warmup.Limited() && !i.warmup.Cold(time.Now())
}

// beginHealthCheck reports whether a health check is due, which the caller then makes: none runs,
// and the last one began at least interval ago.
func (i *instance) beginHealthCheck(interval time.Duration, now time.Time) (path string, due bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h := &i.health
	if !i.warmup.Limited() || h.path == "" || h.running || now.Sub(h.startedAt) < interval {
		return "", false
	}
	h.running, h.startedAt = true, now
	return h.path, true
}

// endHealthCheck records the end of a health check. It reports whether another one is needed.
func (i *instance) endHealthCheck(head model.HealthHead, err error, now time.Time) (again bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.health.running = false
	if err != nil {
		return i.warmup.Cold(now)
	}
	i.warmup.Report(head.WarmupRemaining, now)
	i.applyLimit(now)
	return false
}

// observeTargets notes what the list says of the targets beside the node. It does not block.
func (s *targetSide) observeTargets(list *model.TargetList) {
	for id, t := range list.ByID {
		if t.Address == s.address && !t.Leaving {
			s.observeEntry(s.instance(id), t)
		}
	}
}

// observeEntry notes what the list says of a target, and asks the target if it may be cold.
func (s *targetSide) observeEntry(inst *instance, t *model.Target) {
	source := ""
	if service, ok := s.serviceWarmup(t.Service); ok {
		source = inst.observeEntry(t, service, time.Now())
	}
	inst.startedAs(t.StartedAt)
	s.noteCold(inst, t.ID, source)
}

// observeUnlisted notes that a request is for a target that this node's list does not have yet,
// so that it may have started lately.
func (s *targetSide) observeUnlisted(inst *instance, h *handover) {
	if service, ok := s.serviceWarmup(h.Service); ok && inst.observeUnlisted(service, time.Now()) {
		s.noteCold(inst, h.Instance, warmupFromStart)
	}
}

// reachableAgain notes that a target accepts connections again: it may have started again.
func (s *targetSide) reachableAgain(inst *instance, id model.TargetID) {
	if inst.assumeCold(time.Now()) {
		s.noteCold(inst, id, warmupFromConnection)
	}
}

// serviceWarmup is what the configuration says of the cold targets of a service.
type serviceWarmup struct {
	warmup     ingress.Warmup
	healthPath string
}

// serviceWarmup returns what the configuration in force says of the cold targets of a service; ok
// is false if it has no such service.
func (s *targetSide) serviceWarmup(name string) (found serviceWarmup, ok bool) {
	table := s.replica.Table()
	if table == nil {
		return found, false
	}
	service := table.Service(name)
	if service == nil {
		return found, false
	}
	return serviceWarmup{warmup: s.settings.Load().warmup(service.Warmup), healthPath: service.HealthPath}, true
}

// noteCold logs that a target may be cold, unless source is empty, and asks the target.
func (s *targetSide) noteCold(inst *instance, id model.TargetID, source string) {
	if source == "" {
		return
	}
	s.log.Emit(eventWarmup, event.Fields{"target": id, "cold_ms": inst.coldFor(time.Now()).Milliseconds(), "source": source})
	s.checkHealth(inst, id, 0)
}

// coldFor returns how much longer the target is taken to be cold.
func (i *instance) coldFor(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.warmup.ColdFor(now)
}

// checkHealth asks the target in the background how much longer it is cold, unless it was asked
// within interval. It does not block.
func (s *targetSide) checkHealth(inst *instance, id model.TargetID, interval time.Duration) {
	path, due := inst.beginHealthCheck(interval, time.Now())
	if !due {
		return
	}
	go s.runHealthCheck(inst, id, path)
}

// runHealthCheck asks the target how much longer it is cold. If it does not say, it is asked
// again for as long as it is taken to be cold.
func (s *targetSide) runHealthCheck(inst *instance, id model.TargetID, path string) {
	head, err := s.requestHealth(inst, id, path)
	now := time.Now()
	s.metrics.healthChecks.Add(1)
	if inst.endHealthCheck(head, err, now) {
		time.AfterFunc(healthCheckInterval, func() { s.checkHealth(inst, id, 0) })
		return
	}
	if err == nil {
		s.log.Emit(eventWarmup, event.Fields{"target": id, "cold_ms": head.WarmupRemaining.Milliseconds(), "source": warmupFromHealth})
	}
}

// errOtherTarget is returned if another target answers a health check.
var errOtherTarget = errors.New("another target has answered the health check")

// requestHealth sends one health check.
func (s *targetSide) requestHealth(inst *instance, id model.TargetID, path string) (model.HealthHead, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	response, err := inst.pool.RoundTrip(ctx, &httpconn.Request{
		Method: http.MethodGet,
		Target: path,
		Host:   s.address.String(),
		Header: http.Header{},
	})
	if err != nil {
		return model.HealthHead{}, err
	}
	defer func() { _ = response.Body.Close() }() // only the header is needed
	if _, err := readBody(response.Body, response.ContentLength, 0); err != nil {
		return model.HealthHead{}, err
	}
	head, ok := s.exchange.ParseHealth(response.Header)
	switch {
	case !ok:
		return model.HealthHead{}, errors.New("the answer does not say how long the target is cold")
	case head.Target != id:
		return model.HealthHead{}, errOtherTarget
	}
	return head, nil
}
