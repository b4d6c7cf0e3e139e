package convergebench

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// readyTimeout bounds the wait until processes serve a release.
	readyTimeout = 60 * time.Second
	// inForceTimeout bounds the wait until a change is in force on all hosts.
	inForceTimeout = 15 * time.Second
	// meanChangeInterval is the mean pause between two changes. Pauses vary
	// uniformly by half of it in both directions.
	meanChangeInterval = 500 * time.Millisecond
	// faultPhases is the number of phases of the changes: before, during and after
	// the fault.
	faultPhases = 3
)

// run is one run of the benchmark.
type run struct {
	ctx      context.Context
	options  Options
	random   *rand.Rand
	checker  *invariant.Checker
	monitor  *monitor
	platform *platform.Server
	server   *http.Server
	fleet    *procfleet.Fleet
	procs    []*procfleet.Proc
	dir      string

	sources *config.Sources
	last    *config.Release
	// pending holds the numbers of releases that are built and not yet published,
	// because the fault hides publications.
	pending []uint64
	// unreachable holds the hosts that cannot apply releases at present.
	unreachable map[model.HostID]bool
	victims     []*procfleet.Proc

	stats stats
}

// Run runs the benchmark and returns its result. A broken promise or a change that
// is not in force in time is reported in the result, not as an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	r := &run{
		ctx:         ctx,
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, 0)),
		checker:     invariant.New(invariant.RequiredBounds),
		platform:    platform.New(),
		unreachable: map[model.HostID]bool{},
		stats:       newStats(),
	}
	r.monitor = newMonitor(r.checker)
	defer r.close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// prepare publishes the first release, starts the platform and creates the fleet.
func (r *run) prepare() error {
	var err error
	if r.sources, err = newSources(r.options.Services); err != nil {
		return err
	}
	if err := r.buildRelease(); err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "bronzemast-converge-"); err != nil {
		return errors.Wrap(err, "create settings directory")
	}
	binary := r.options.Binary
	if binary == "" {
		if binary, err = procfleet.Build(r.dir); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for stand-in platform")
	}
	r.server = &http.Server{Handler: r.platform, ReadHeaderTimeout: readyTimeout}
	go func() { _ = r.server.Serve(listener) }() // ends with ErrServerClosed
	r.fleet, err = procfleet.New(procfleet.Options{
		Binary:  binary,
		Dir:     r.dir,
		Fleet:   fleetName,
		Hosts:   procfleet.Spread(r.options.Nodes, r.options.Domains, r.options.Regions),
		Plugins: r.options.Baseline.plugins("http://"+listener.Addr().String(), r.options.Nodes),
		Relay:   true,
	})
	if err != nil {
		return err
	}
	r.procs = r.fleet.Procs()
	return r.platform.PutHosts(r.fleet.HostList(1))
}

// measure starts the fleet and measures its cold start, its idle usage and the
// changes.
func (r *run) measure(ctx context.Context) (*Result, error) {
	startTime := time.Now()
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	if err := r.awaitServing(ctx, r.procs); err != nil {
		return nil, err
	}
	result := &Result{Options: r.options, ColdStart: time.Since(startTime).Seconds()}
	for _, p := range r.procs {
		r.checker.Reachable(p.Host.ID, time.Now())
	}
	clock.Sleep(ctx, r.options.WarmUp)
	result.Idle = r.measureUsage(func() error { clock.Sleep(ctx, r.options.Idle); return nil }, &result.err)

	polling, stop := context.WithCancel(ctx)
	r.monitor.run(polling, r.procs)
	result.Change = r.measureUsage(func() error { return r.publishChanges(ctx) }, &result.err)
	endTime := time.Now()
	stop()
	r.monitor.wait()
	if result.err != nil {
		return nil, result.err
	}
	r.checkSnapshots()
	result.fill(r.stats)
	result.Promises = r.checker.Finish(endTime)
	return result, ctx.Err()
}

// measureUsage returns the resource usage of the fleet while f runs. An error of f is
// stored in *failed unless that holds one already.
func (r *run) measureUsage(f func() error, failed *error) Usage {
	before := takeSample(r.procs)
	r.platform.Counter().Reset()
	if err := f(); err != nil && *failed == nil {
		*failed = err
	}
	calls := r.platform.Counter().Counts()
	return usageBetween(before, takeSample(r.procs), calls)
}

// publishChanges publishes the changes one by one, with the fault and the restarts.
func (r *run) publishChanges(ctx context.Context) error {
	fault := faultInjections[r.options.Fault]
	begin := r.options.Changes / faultPhases
	end := begin + max(r.options.Changes/faultPhases, 1)
	for i := range r.options.Changes {
		if i == begin {
			if err := fault.begin(r); err != nil {
				return err
			}
		}
		faulty := i >= begin && i < end
		if err := r.publishChange(ctx, i, faulty && fault.hidesPublications); err != nil {
			return err
		}
		if i == end-1 || (faulty && i == r.options.Changes-1) {
			if err := fault.end(ctx, r); err != nil {
				return err
			}
			r.publishPending(ctx)
		}
		if i < r.options.Churn {
			if err := r.restartOne(ctx); err != nil {
				return err
			}
		}
		clock.Sleep(ctx, meanChangeInterval/2+time.Duration(r.random.Int64N(int64(meanChangeInterval))))
	}
	return nil
}

// publishChange publishes one change and waits until it is in force. A hidden change
// is published at the end of the fault instead.
func (r *run) publishChange(ctx context.Context, i int, hidden bool) error {
	changed, err := withChangedRate(r.sources, r.options.Services, i+1)
	if err != nil {
		return err
	}
	r.sources = changed
	before := r.last
	if err := r.buildRelease(); err != nil {
		return err
	}
	minimum, err := deltaBetween(before, r.last)
	if err != nil {
		return err
	}
	r.stats.deltas = append(r.stats.deltas, minimum)
	number := r.last.Record.Number
	if hidden {
		r.pending = append(r.pending, number)
		return nil
	}
	published := time.Now()
	r.checker.Published(number, r.last.Record.ContentDigest, published)
	r.platform.PutRelease(r.last)
	r.awaitInForce(ctx, number, published)
	return nil
}

// buildRelease builds the next release. The first one is also published.
func (r *run) buildRelease() error {
	number := uint64(1)
	var previous *config.Record
	if r.last != nil {
		number = r.last.Record.Number + 1
		previous = &r.last.Record
	}
	release, err := config.Build(r.sources, number, previous)
	if err != nil {
		return err
	}
	r.last = release
	if number == 1 {
		r.checker.Published(number, release.Record.ContentDigest, time.Now())
		r.platform.PutRelease(release)
	}
	return nil
}

// publishPending publishes the newest pending release, if there is one, and waits
// until it is in force.
func (r *run) publishPending(ctx context.Context) {
	if len(r.pending) == 0 {
		return
	}
	now := time.Now()
	number := r.last.Record.Number
	r.checker.Published(number, r.last.Record.ContentDigest, now)
	r.pending = nil
	r.platform.PutRelease(r.last)
	r.awaitInForce(ctx, number, now)
}

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

// close stops the fleet and the platform and removes the settings.
func (r *run) close() {
	if r.fleet != nil {
		r.fleet.Close()
	}
	if r.server != nil {
		_ = r.server.Close() // not Shutdown, which would wait for pending watches
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir) // the directory is temporary
	}
}
