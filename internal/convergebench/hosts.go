package convergebench

import (
	"context"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// reachableHosts returns the hosts that can apply releases.
func (r *run) reachableHosts() []*procfleet.Proc {
	var reachable []*procfleet.Proc
	for _, p := range r.procs {
		if !r.unreachable[p.Host.ID] {
			reachable = append(reachable, p)
		}
	}
	return reachable
}

// awaitInForce waits until a release is in force on all reachable hosts, and records
// the time that each host took from the publication.
func (r *run) awaitInForce(ctx context.Context, number uint64, published time.Time) {
	hosts := r.reachableHosts()
	deadline := time.Now().Add(inForceTimeout)
	waiting := func(p *procfleet.Proc) bool { return !r.monitor.inForce(p.Host.ID, number) }
	for time.Now().Before(deadline) && ctx.Err() == nil && slices.ContainsFunc(hosts, waiting) {
		clock.Sleep(ctx, pollInterval/2)
	}
	var durations []time.Duration
	for _, p := range hosts {
		if at, ok := r.monitor.appliedAt(p.Host.ID, number); ok {
			durations = append(durations, at.Sub(published))
		}
	}
	r.stats.addChange(durations, len(hosts))
}

// markUnreachable excludes a host from the measurement and the checks.
func (r *run) markUnreachable(p *procfleet.Proc) {
	r.unreachable[p.Host.ID] = true
	r.checker.Reachable(p.Host.ID, time.Time{})
}

// markReachable includes a host again; the checker expects it to converge from the
// given time on.
func (r *run) markReachable(p *procfleet.Proc, from time.Time) {
	delete(r.unreachable, p.Host.ID)
	r.checker.Reachable(p.Host.ID, from)
}

// restart starts processes at the same time and waits until they serve the newest
// release.
func (r *run) restart(ctx context.Context, procs []*procfleet.Proc) error {
	startTime := time.Now()
	for _, p := range procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := r.awaitServing(ctx, procs); err != nil {
		return err
	}
	for _, p := range procs {
		r.markReachable(p, time.Now())
	}
	return r.catchUp(ctx, procs, startTime)
}

// catchUp waits until the newest release is in force on hosts that were unreachable,
// and records the time that it took from startTime. It does nothing while releases
// are pending.
func (r *run) catchUp(ctx context.Context, procs []*procfleet.Proc, startTime time.Time) error {
	if len(r.pending) > 0 {
		return nil
	}
	deadline := time.Now().Add(inForceTimeout)
	for _, p := range procs {
		for !r.monitor.inForce(p.Host.ID, r.last.Record.Number) && time.Now().Before(deadline) && ctx.Err() == nil {
			clock.Sleep(ctx, pollInterval/2)
		}
	}
	r.stats.catchUps = append(r.stats.catchUps, time.Since(startTime))
	return nil
}

// restartOne kills and restarts the process of one host, chosen at random by the seed.
func (r *run) restartOne(ctx context.Context) error {
	reachable := r.reachableHosts()
	p := reachable[r.random.IntN(len(reachable))]
	r.markUnreachable(p)
	if err := p.Kill(); err != nil {
		return errors.Wrapf(err, "restart %s", p.Host.ID)
	}
	return r.restart(ctx, []*procfleet.Proc{p})
}

// awaitServing waits until processes have settled with a release in force. It returns
// an error after readyTimeout.
func (r *run) awaitServing(ctx context.Context, procs []*procfleet.Proc) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range procs {
		for {
			var status model.ConfigurationStatus
			if p.Get("/v1/status", &status) == nil && status.Settled && status.Release > 0 {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready: %s", p.Host.ID, p.Log())
			}
			clock.Sleep(ctx, pollInterval/2)
		}
	}
	return nil
}
