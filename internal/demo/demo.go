// Package demo runs a complete deployment in one process: the platform, targets,
// nodes and callers of an example. It publishes valid and invalid releases, kills
// nodes, makes the platform unavailable and checks every promise.
package demo

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/examples"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// MinNodes is the minimum number of nodes. With fewer, some failure domain would
	// have no target.
	MinNodes = 6
	// MinDuration is the shortest duration that leaves time for all steps.
	MinDuration = 6 * time.Second
	// example is the name of the example deployment that the demo runs.
	example = "clearplate"
	// readyTimeout bounds the wait until started nodes have a release in force.
	readyTimeout = 30 * time.Second
	// stopTimeout bounds the graceful shutdown of the fleet.
	stopTimeout = 15 * time.Second
)

// Options configure a run of the demo.
type Options struct {
	Nodes    int
	Duration time.Duration
	Seed     uint64
	// Progress, if set, gets lines about the progress of each step.
	Progress io.Writer
}

// demo is a running deployment.
type demo struct {
	options   Options
	checker   *invariant.Checker
	sources   *config.Sources
	platform  *platform.Server
	server    *http.Server
	fleet     *procfleet.Fleet
	nodes     []*node
	targets   []*target.Target
	publisher *observe.Publisher
	dir       string
}

// Run runs the demo and returns its result. A broken promise is reported in the
// result, not as an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Nodes < MinNodes || o.Duration < MinDuration {
		return nil, errors.Errorf("the demo needs at least %d nodes and %s", MinNodes, MinDuration)
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	d := &demo{options: o, checker: invariant.New(invariant.RequiredBounds), platform: platform.New()}
	defer d.close()
	if err := d.prepare(); err != nil {
		return nil, err
	}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	return d.runSteps(ctx)
}

// prepare loads the example and starts everything but the nodes.
func (d *demo) prepare() error {
	sources, err := observe.LoadExample(example)
	if err != nil {
		return err
	}
	d.sources = sources
	d.publisher = observe.NewPublisher(d.platform, d.checker)
	if d.dir, err = os.MkdirTemp("", "bronzemast-demo-"); err != nil {
		return errors.Wrap(err, "create settings directory")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for stand-in platform")
	}
	d.server = &http.Server{Handler: d.platform, ReadHeaderTimeout: readyTimeout}
	go func() { _ = d.server.Serve(listener) }() // ends with ErrServerClosed
	return d.prepareFleet("http://" + listener.Addr().String())
}

// prepareFleet starts the targets, writes the settings of the nodes and publishes
// the host list.
func (d *demo) prepareFleet(platformURL string) error {
	hosts, err := d.startTargets()
	if err != nil {
		return err
	}
	d.fleet, err = procfleet.New(procfleet.Options{
		Dir:   d.dir,
		Fleet: d.sources.Fleet,
		Hosts: hosts,
		Plugins: map[string]any{
			"source": map[string]any{"platform": []string{platformURL}, "expected_fleet": len(hosts)},
		},
		LogLevel: "error",
	})
	if err != nil {
		return err
	}
	for _, p := range d.fleet.Procs() {
		d.nodes = append(d.nodes, &node{proc: p, checker: d.checker})
	}
	return d.platform.PutHosts(d.fleet.HostList(1))
}

// startTargets starts a target for each node and returns the hosts. If there are more
// nodes than hosts in the example, its hosts are repeated.
func (d *demo) startTargets() ([]procfleet.HostSpec, error) {
	list, err := exampleHosts()
	if err != nil {
		return nil, err
	}
	hosts := make([]procfleet.HostSpec, d.options.Nodes)
	for i := range hosts {
		hosts[i] = hostSpec(list, i)
		id := hosts[i].ID
		behaviour := target.DefaultBehaviour()
		t, err := target.Start(target.Options{
			Address:   "127.0.0.1:0",
			Behaviour: behaviour,
			Seed:      d.options.Seed + uint64(i),
			OnStart: func(call string, at time.Time) {
				d.checker.Executed(invariant.Execution{CallID: call, Host: id, At: at})
			},
		})
		if err != nil {
			return nil, err
		}
		d.targets = append(d.targets, t)
		hosts[i].Target = t.Address()
	}
	return hosts, nil
}

// start publishes the first release, starts the nodes and waits until the release is
// in force on all of them.
func (d *demo) start(ctx context.Context) error {
	if err := d.publisher.Publish(d.sources); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.nodes {
		if err := n.awaitRelease(ctx, d.publisher.LastNumber()); err != nil {
			return err
		}
		d.checker.Reachable(n.proc.Host.ID, time.Now())
	}
	return nil
}

// close stops everything that still runs and removes the settings.
func (d *demo) close() {
	for _, n := range d.nodes {
		n.abort()
	}
	for _, t := range d.targets {
		t.Stop()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// hostSpec returns the specification of host i. Beyond the hosts of the example, it
// repeats them with a suffix in the ID.
func hostSpec(list *model.HostList, i int) procfleet.HostSpec {
	h := list.Hosts[i%len(list.Hosts)]
	spec := procfleet.HostSpec{ID: h.ID, Region: h.Region, Domain: h.Domain, Service: h.Service}
	if repetition := i / len(list.Hosts); repetition > 0 {
		spec.ID += model.HostID("-" + string(rune('a'+repetition)))
	}
	return spec
}

// credentialOf returns the credential of a caller of the example.
func credentialOf(caller string) string {
	return examples.CredentialOf(caller)
}
