package soak

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

// The services. Hosts are assigned to them alternately.
const (
	serviceAlpha = "alpha"
	serviceBeta  = "beta"
)

// runner holds the state of one run: the fleet, the faults that are active and the
// recorded observations.
type runner struct {
	// restoreMu is held while the store has not got back what a restore has lost.
	restoreMu sync.Mutex
	// evacuationMu is held while a failure domain is evacuated.
	evacuationMu sync.Mutex
	options      *Options
	fleet        *sidecarfleet.Fleet
	hosts        []*host
	recorder     *recorder

	// mu guards the fields below and the calls that change the fleet.
	mu          sync.Mutex
	linkFaults  map[int]linkFault
	lastFaultID int
	// version is the number of the configuration that was published last.
	version int
	// domains holds the failure domain of each worker.
	domains map[string]string
	// flipped is set while the route pathFlip leads to serviceBeta.
	flipped bool
}

// host is a host of the fleet with the state that the run keeps for it.
type host struct {
	*sidecarfleet.Host
	// processMu is held by the event that acts on the node process, workerMu by the
	// event that acts on the worker.
	processMu sync.Mutex
	workerMu  sync.Mutex
	// starts counts the starts of the node process.
	starts atomic.Int32
	// admitting is set while readiness probes succeed, so that callers may send.
	admitting atomic.Bool
	// older is set while the host runs the older version of the program. It is guarded by
	// processMu.
	older bool
}

// linkFault is a network fault between hosts, or between a host and the store.
type linkFault struct {
	matches func(source, destination string) bool
	fault   relay.Fault
	// delay is added to each direction that matches.
	delay time.Duration
}

func newRunner(o *Options) (*runner, error) {
	services := make([]string, o.Hosts)
	for i := range services {
		services[i] = []string{serviceAlpha, serviceBeta}[i%2]
	}
	fleet, err := sidecarfleet.New(sidecarfleet.Options{Binary: o.Binary, Dir: o.Dir, Services: services, Relays: true, Warmup: coldTime, ColdRate: coldRate})
	if err != nil {
		return nil, err
	}
	r := &runner{options: o, fleet: fleet, recorder: newRecorder(), linkFaults: map[int]linkFault{}, domains: map[string]string{}}
	for _, h := range fleet.Hosts {
		r.hosts = append(r.hosts, &host{Host: h})
	}
	for i := 1; i < len(r.hosts); i += 2 {
		r.changeVersion(r.hosts[i])
	}
	return r, nil
}

// changeVersion lets the next start of a host run the other version of the program, if there
// are two. The caller holds processMu, or no event has started.
func (r *runner) changeVersion(h *host) {
	if r.options.OlderBinary == "" {
		return
	}
	h.older = !h.older
	binary := r.options.Binary
	if h.older {
		binary = r.options.OlderBinary
	}
	h.SetBinary(binary)
}

// start starts the workers and nodes, publishes the first configuration and waits until
// all nodes are ready.
func (r *runner) start(ctx context.Context) error {
	for _, h := range r.hosts {
		if err := r.startWorker(h); err != nil {
			return err
		}
	}
	r.publishVersion(false)
	for _, h := range r.hosts {
		if err := h.Start(); err != nil {
			return err
		}
		h.starts.Add(1)
	}
	for _, h := range r.hosts {
		for !h.Ready() {
			if !clock.Sleep(ctx, readyPollInterval) {
				return ctx.Err()
			}
		}
		h.admitting.Store(true)
	}
	return nil
}

// readyPollInterval is the interval at which a starting or recovering node is polled.
const readyPollInterval = 20 * time.Millisecond

func (r *runner) startWorker(h *host) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := h.StartWorker(r.observeRun); err != nil {
		return err
	}
	r.domains[h.Worker.ID] = h.Domain
	r.recorder.addWorker(h.Worker)
	return nil
}

// publishVersion publishes the next configuration. Each configuration adds a route of its
// own, which all later ones keep. With flip, the route pathFlip moves to the other service.
func (r *runner) publishVersion(flip bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.flipped = r.flipped != flip
	flipService := serviceAlpha
	if r.flipped {
		flipService = serviceBeta
	}
	routes := []sidecarfleet.Route{
		{Prefix: pathLook, Kind: "safe", Service: serviceAlpha},
		{Prefix: pathFile, Kind: "unsafe", Service: serviceBeta},
		{Prefix: pathFlip, Kind: "safe", Service: flipService},
	}
	for version := 1; version <= r.version; version++ {
		routes = append(routes, sidecarfleet.Route{Prefix: versionPath(version), Kind: "safe", Service: serviceAlpha})
	}
	r.fleet.Configure(r.version, routes...)
	r.recorder.addConfig(r.version, time.Now())
}

// The path prefixes of the routes that every configuration has.
const (
	// pathLook is a safe route to serviceAlpha.
	pathLook = "/look/"
	// pathFile is an unsafe route to serviceBeta.
	pathFile = "/file/"
	// pathFlip is a safe route that moves between the services.
	pathFlip = "/flip/"
)

// versionPath returns the path prefix of the route that a configuration adds.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// servicesOf returns the services that may execute requests to a path.
func servicesOf(path string) []string {
	switch path {
	case pathFile:
		return []string{serviceBeta}
	case pathFlip:
		return []string{serviceAlpha, serviceBeta}
	default:
		return []string{serviceAlpha}
	}
}

// addLinkFault activates a link fault until the returned function is called.
func (r *runner) addLinkFault(f linkFault) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFaultID++
	id := r.lastFaultID
	r.linkFaults[id] = f
	r.applyLinkFaults()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.linkFaults, id)
		r.applyLinkFaults()
	}
}

// applyLinkFaults installs a relay rule that combines the active link faults: for each
// pair, the worst fault and the longest delay apply. The caller holds mu.
func (r *runner) applyLinkFaults() {
	var linkFaults []linkFault
	for _, f := range r.linkFaults {
		linkFaults = append(linkFaults, f)
	}
	r.fleet.SetRule(func(source, destination string) (relay.Fault, time.Duration) {
		worst, delay := relay.Pass, time.Duration(0)
		for _, f := range linkFaults {
			if f.matches(source, destination) {
				worst, delay = max(worst, f.fault), max(delay, f.delay)
			}
		}
		return worst, delay
	})
}
