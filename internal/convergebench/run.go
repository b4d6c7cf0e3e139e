package convergebench

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
