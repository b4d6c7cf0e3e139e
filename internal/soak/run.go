package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/pkg/errors"
)

const (
	// warmUp is the time between the start of the callers and that of the events.
	warmUp = time.Second
	// processCheckInterval is the interval at which node processes are checked for
	// unexpected exits.
	processCheckInterval = 100 * time.Millisecond
)

// Run runs a soak and returns its result. It ends only processes that it has started.
// Settings and logs are kept if the options name a directory for them, and removed
// otherwise. Run returns an error if the options are invalid, the fleet does not start or
// ctx ends; broken promises are reported in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "bronzemast-soak-")
		if err != nil {
			return nil, errors.Wrap(err, "create the soak directory")
		}
		defer func() { _ = os.RemoveAll(dir) }() // files left in the temporary directory do no harm
		o.Dir = dir
	}
	if o.Binary == "" {
		binary, err := procfleet.Build(o.Dir)
		if err != nil {
			return nil, err
		}
		o.Binary = binary
	}
	r, err := newRunner(&o)
	if err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	recoveryTime := r.runEvents(ctx)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "soak canceled")
	}
	return r.evaluate(recoveryTime), nil
}

// runEvents injects the scheduled events while callers send requests. It returns the time
// from the end of the last event until every host served every route again.
func (r *runner) runEvents(ctx context.Context) (recoveryTime time.Duration) {
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var background sync.WaitGroup
	background.Go(func() { r.runCallers(callersCtx) })
	background.Go(func() { r.watchProcesses(callersCtx) })
	_ = clock.Sleep(ctx, warmUp) // the loop below ends if ctx has ended
	var events sync.WaitGroup
	startTime := time.Now()
	for _, e := range schedule(r.options) {
		if !clock.Sleep(ctx, time.Until(startTime.Add(e.offset))) {
			break
		}
		events.Go(func() { r.inject(ctx, e) })
	}
	events.Wait()
	recoveryTime = r.awaitRecovery(ctx)
	stopCallers()
	background.Wait()
	return recoveryTime
}

// watchProcesses reports each node process that exits although no event acts on it, and
// restarts it.
func (r *runner) watchProcesses(ctx context.Context) {
	for clock.Sleep(ctx, processCheckInterval) {
		for _, h := range r.hosts {
			if !h.processMu.TryLock() {
				continue // an event acts on the process
			}
			if !h.Running() {
				r.recorder.addProblem(fmt.Sprintf("host %d: process exited unexpectedly: %v", h.Index, h.ExitError()))
				r.restart(h)
			}
			h.processMu.Unlock()
		}
	}
}

// awaitRecovery waits until every host serves every route, at most for recoveryBound, and
// returns the time that this took.
func (r *runner) awaitRecovery(ctx context.Context) time.Duration {
	startTime := time.Now()
	client := newClient()
	defer client.CloseIdleConnections()
	for _, h := range r.hosts {
		for !r.serves(h, client) {
			if time.Since(startTime) > recoveryBound {
				r.recorder.addProblem(fmt.Sprintf("host %d: routes still not served %s after the last event", h.Index, recoveryBound))
				return time.Since(startTime)
			}
			if !clock.Sleep(ctx, readyPollInterval) {
				return time.Since(startTime)
			}
		}
	}
	return time.Since(startTime)
}

// serves reports whether a host serves a route of each service and that of the last
// configuration.
func (r *runner) serves(h *host, client *http.Client) bool {
	r.mu.Lock()
	lastPath := versionPath(r.version)
	r.mu.Unlock()
	return r.send(h, client, http.MethodGet, pathLook).Succeeded() &&
		r.send(h, client, http.MethodPost, pathFile).Succeeded() &&
		r.send(h, client, http.MethodGet, lastPath).Succeeded()
}

// evaluate checks the recorded observations. Callers and events must have ended.
func (r *runner) evaluate(recoveryTime time.Duration) *Result {
	rec := r.recorder
	c := invariant.New(invariant.RequiredBounds)
	rec.checkRequests(c, r.hosts)
	rec.checkVersions(c)
	rec.checkDrains(c)
	rec.checkLimits()
	rec.checkLeavings(c)
	rec.checkWorkers()
	rec.checkFatal()
	rec.checkEvacuations(r.domains)
	rec.checkCold()
	result := &Result{
		Seed:            r.options.Seed,
		Hosts:           len(r.hosts),
		Events:          map[string]int{},
		RecoverySeconds: recoveryTime.Seconds(),
		Report:          c.Finish(time.Now()),
		Problems:        rec.problems,
	}
	for k, n := range rec.events {
		result.Events[k.String()] = n
	}
	for i := range rec.requests {
		if rec.requests[i].reply.Succeeded() {
			result.Served++
		}
	}
	return result
}
