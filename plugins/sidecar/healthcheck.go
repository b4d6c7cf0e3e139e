package sidecar

import (
	"context"
	"net/http"
	"time"

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

// healthCheck tracks the health checks of a target.
type healthCheck struct {
	path      string
	running   bool
	startedAt time.Time
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
	if _, err := readBody(response.Body, answerLimits(ctx, response, http.MethodGet)); err != nil {
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
