package callbench

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/loopback"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	fleetName            = "bench"
	domainCount          = 3
	nodeCount            = 6
	slotsPerTarget       = 10
	connectionsPerTarget = 100
	targetPort           = 8000
	deepService          = "chain"
	stoppedService       = "broken"
	mainService          = "work"
	readyTimeout         = 30 * time.Second
	pollInterval         = 10 * time.Millisecond
)

// fleet holds the node processes, their targets and the stand-in platform.
type fleet struct {
	options         Options
	checker         *invariant.Checker
	platform        *platform.Server
	server          *http.Server
	procs           *procfleet.Fleet
	hosts           []*host
	dir             string
	revision        uint64
	nestedTransport *http.Transport
	executions      *executionLog
}

// startFleet starts the platform, the targets and the nodes, and waits until all
// nodes are ready.
func startFleet(ctx context.Context, o Options, behaviour func(i int) target.Behaviour) (*fleet, error) {
	f := &fleet{
		options:         o,
		checker:         invariant.New(invariant.RequiredBounds),
		platform:        platform.New(),
		nestedTransport: &http.Transport{MaxIdleConnsPerHost: connectionsPerTarget},
		executions:      newExecutionLog(),
	}
	if err := f.start(ctx, behaviour); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, behaviour func(i int) target.Behaviour) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "bronzemast-bench-"); err != nil {
		return errors.Wrap(err, "create settings directory")
	}
	if err := f.publish(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for stand-in platform")
	}
	f.server = &http.Server{Handler: f.platform, ReadHeaderTimeout: readyTimeout}
	go func() { _ = f.server.Serve(listener) }() // ends with ErrServerClosed
	if err := f.prepare("http://"+listener.Addr().String(), behaviour); err != nil {
		return err
	}
	if err := f.procs.Start(); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// publish builds the release of the scenario and puts it on the platform.
func (f *fleet) publish() error {
	s := scenarios[f.options.Scenario]
	loaded, err := sources(s.slotCount(), s.rateLimit())
	if err != nil {
		return err
	}
	release, err := config.Build(loaded, 1, nil)
	if err != nil {
		return err
	}
	f.platform.PutRelease(release)
	f.checker.Published(1, release.Record.ContentDigest, time.Now())
	return nil
}

// serviceOf returns the service of the host with index i.
func (f *fleet) serviceOf(i int) string {
	if f.options.Scenario == Deep {
		return []string{deepService, deepService, stoppedService}[i%domainCount]
	}
	return mainService
}

// prepare starts the targets and writes the settings of the nodes.
func (f *fleet) prepare(platformURL string, behaviour func(i int) target.Behaviour) error {
	binary, err := f.binary()
	if err != nil {
		return err
	}
	specs := procfleet.Spread(nodeCount, domainCount, 1)
	addresses := make([]string, nodeCount)
	for i := range specs {
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
		specs[i].Service = f.serviceOf(i)
		specs[i].Target = addresses[i]
	}
	plugins := map[string]any{"source": map[string]any{"platform": []string{platformURL}, "expected_fleet": nodeCount}}
	for name, settings := range baselines[f.options.Baseline] {
		plugins[name] = settings
	}
	f.procs, err = procfleet.New(procfleet.Options{
		Binary: binary, Dir: f.dir, Fleet: fleetName, Hosts: specs, Plugins: plugins, Relay: scenarios[f.options.Scenario].relay,
	})
	if err != nil {
		return err
	}
	for i, p := range f.procs.Procs() {
		h := &host{proc: p}
		f.hosts = append(f.hosts, h)
		if err := f.startTarget(h, addresses[i], behaviour(i)); err != nil {
			return err
		}
	}
	return f.publishHosts()
}

func (f *fleet) binary() (string, error) {
	if f.options.Binary != "" {
		return f.options.Binary, nil
	}
	return procfleet.Build(f.dir)
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	ip, err := loopback.FreeHost(targetPort)
	return netip.AddrPortFrom(ip, targetPort).String(), err
}

// startTarget starts the target of a host, or restarts it after it was stopped.
func (f *fleet) startTarget(h *host, address string, b target.Behaviour) error {
	t, err := target.Start(target.Options{
		Address:   address,
		Behaviour: b,
		Seed:      f.options.Seed + uint64(len(f.hosts)),
		OnStart: func(id string, at time.Time) {
			f.executions.add(id, h.id(), at)
		},
		Nested: &target.Nested{
			EntryAddress: h.proc.Host.CallAddress,
			Services:     nestedServices(),
			Credential:   credentialOf(callerName(1)),
			Path:         "/read",
			Transport:    f.nestedTransport,
		},
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.target = t
	h.mu.Unlock()
	return nil
}

// publishHosts publishes the host list, with the given hosts marked as leaving.
func (f *fleet) publishHosts(leaving ...model.HostID) error {
	f.revision++
	return f.platform.PutHosts(f.procs.HostList(f.revision, leaving...))
}

// forwardingCounter returns the sum of a counter of the forwarding plug-in over all
// running nodes.
func (f *fleet) forwardingCounter(name string) int64 {
	var sum int64
	for _, h := range f.hosts {
		var vars struct {
			Plugins map[string]map[string]any `json:"plugins"`
		}
		if h.proc.Get("/debug/vars", &vars) != nil {
			continue
		}
		if n, ok := vars.Plugins["forwarding"][name].(float64); ok {
			sum += int64(n)
		}
	}
	return sum
}

// cpuTime returns the processor time that the node processes have used since their
// start, or 0 if the usage of one cannot be read.
func (f *fleet) cpuTime() time.Duration {
	var sum time.Duration
	for _, h := range f.hosts {
		usage, err := h.proc.Usage()
		if err != nil {
			return 0
		}
		sum += usage.CPU
	}
	return sum
}

// close stops the nodes, the targets and the platform and removes the settings.
func (f *fleet) close() {
	if f.procs != nil {
		f.procs.Close()
	}
	for _, h := range f.hosts {
		if h.target != nil {
			h.target.Stop()
		}
	}
	if f.server != nil {
		_ = f.server.Close() // not Shutdown, which would wait for pending watches
	}
	f.nestedTransport.CloseIdleConnections()
	if f.dir != "" {
		_ = os.RemoveAll(f.dir) // the directory is temporary
	}
}
