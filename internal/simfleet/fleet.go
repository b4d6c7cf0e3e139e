// Package simfleet runs whole nodes on an in-memory network, so that tests can use
// the fake clock of testing/synctest.
package simfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/memnet"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// FleetName is the fleet name in the settings of every node.
	FleetName = "clearplate"
	// PlatformHost is the platform's host name in the rules of the network.
	PlatformHost = "platform"
	// CallerHost is the callers' host name in the rules of the network.
	CallerHost = "caller"

	platformAddress = "10.9.0.1:80"
)

// Options describe a fleet.
type Options struct {
	// Hosts are the hosts with their addresses, as returned by the function Hosts.
	Hosts []model.Host
	// Platform handles requests to the platform.
	Platform http.Handler
	// Target returns the handler of the target of a host. Nil means that there are no
	// targets.
	Target func(model.Host) http.Handler
	// Plugins holds the settings of the plug-ins of every node.
	Plugins map[string]map[string]any
	// BeforeStart, unless it is nil, is called with each new node before the node starts.
	BeforeStart func(model.HostID, *bronzemast.Node) error
	// OnCall, unless it is nil, is called with the request ID of each call whose header
	// a node has read.
	OnCall func(id model.HostID, requestID string)
	// NodeOptions, unless it is nil, returns additional options for the node of a host.
	NodeOptions func(model.HostID) []kernel.Option
	// Log receives the event logs of all nodes. Nil discards them.
	Log io.Writer
}

// Fleet is a set of nodes with their targets and the platform.
type Fleet struct {
	Network *memnet.Network
	options Options
	nodes   map[model.HostID]*Node
	servers []*http.Server
}

// Node is a host of the fleet with its running node, if there is one.
type Node struct {
	Host model.Host
	// target is the address of the target, empty if there is none, and handler what it serves.
	target  string
	handler http.Handler

	mu   sync.Mutex
	node *bronzemast.Node
	// targetServer is the running target, nil if there is none.
	targetServer *http.Server
}

// Running returns the running node, or nil if there is none.
func (n *Node) Running() *bronzemast.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node
}

// swap sets the running node and returns the previous one.
func (n *Node) swap(node *bronzemast.Node) *bronzemast.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.node
	n.node = node
	return previous
}

// Hosts returns n hosts of a service, assigned to failure domains in turn; the domains are
// assigned to regions in turn.
func Hosts(n, domains, regions int, service string) []model.Host {
	hosts := make([]model.Host, n)
	for i := range hosts {
		domain := i % domains
		hosts[i] = model.Host{
			ID:          model.HostID(fmt.Sprintf("h%d", i)),
			Region:      fmt.Sprintf("region-%d", domain%regions),
			Domain:      fmt.Sprintf("domain-%d", domain),
			Service:     service,
			CallAddress: fmt.Sprintf("10.0.%d.%d:7000", i/200, 1+i%200),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/200, 1+i%200),
		}
	}
	return hosts
}

// New creates a fleet and starts its platform and targets. It starts no node.
func New(o Options) (*Fleet, error) {
	f := &Fleet{Network: memnet.New(), options: o, nodes: map[model.HostID]*Node{}}
	if err := f.serve(PlatformHost, platformAddress, o.Platform); err != nil {
		return nil, err
	}
	for i, host := range o.Hosts {
		n := &Node{Host: host}
		f.nodes[host.ID] = n
		if o.Target == nil || host.Service == "" {
			continue
		}
		n.target = fmt.Sprintf("10.1.%d.%d:8000", i/200, 1+i%200)
		n.handler = o.Target(host)
		if err := f.StartTarget(host.ID); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// StartTarget starts the target of a host.
func (f *Fleet) StartTarget(id model.HostID) error {
	n := f.nodes[id]
	server, err := serve(f.Network, string(id), n.target, n.handler)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targetServer = server
	return nil
}

// StopTarget ends the target of a host as a crash does: its connections end, and it accepts no
// more. It does nothing if the target does not run.
func (f *Fleet) StopTarget(id model.HostID) {
	n := f.nodes[id]
	n.mu.Lock()
	server := n.targetServer
	n.targetServer = nil
	n.mu.Unlock()
	if server != nil {
		_ = server.Close() // the listener is closed even if an error is returned
	}
}

func (f *Fleet) serve(host, address string, handler http.Handler) error {
	server, err := serve(f.Network, host, address, handler)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return nil
}

// Node returns the node of a host, or nil if the fleet has no such host.
func (f *Fleet) Node(id model.HostID) *Node {
	return f.nodes[id]
}

// StartAll starts the nodes of all hosts. It stops at the first error.
func (f *Fleet) StartAll(ctx context.Context) error {
	for _, host := range f.options.Hosts {
		if err := f.Start(ctx, host.ID); err != nil {
			return err
		}
	}
	return nil
}

// Start creates and starts a new node on a host, as the start of a process does.
func (f *Fleet) Start(ctx context.Context, id model.HostID) error {
	n := f.nodes[id]
	settings, err := f.settings(n)
	if err != nil {
		return err
	}
	node, err := bronzemast.New(settings, f.log(id), f.kernelOptions(id)...)
	if err != nil {
		return errors.Wrapf(err, "host %s", id)
	}
	if f.options.BeforeStart != nil {
		if err := f.options.BeforeStart(id, node); err != nil {
			return err
		}
	}
	n.swap(node)
	return node.Start(ctx)
}

// kernelOptions returns options that replace the plug-ins that open sockets.
func (f *Fleet) kernelOptions(id model.HostID) []kernel.Option {
	options := []kernel.Option{
		kernel.WithPlugin("transport", func() kernel.Plugin { return newTransport(f.Network, f.options.OnCall) }),
		kernel.WithPlugin("operator", func() kernel.Plugin { return &operator{} }),
	}
	if f.options.NodeOptions != nil {
		options = append(options, f.options.NodeOptions(id)...)
	}
	return options
}

func (f *Fleet) log(id model.HostID) *event.Log {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if f.options.Log != nil {
		logger.SetOutput(f.options.Log)
	}
	return event.NewLog(logger.WithField("host", string(id)))
}

func (f *Fleet) settings(n *Node) (*kernel.Settings, error) {
	source := map[string]any{"platform": []string{"http://" + platformAddress}}
	plugins := map[string]map[string]any{"source": source}
	for name, settings := range f.options.Plugins {
		if plugins[name] == nil {
			plugins[name] = map[string]any{}
		}
		maps.Copy(plugins[name], settings)
	}
	sections := map[string]*kernel.Section{}
	for name, settings := range plugins {
		text, err := json.Marshal(settings)
		if err != nil {
			return nil, errors.Wrap(err, "encode settings")
		}
		sections[name] = kernel.NewSection(string(text))
	}
	return &kernel.Settings{
		File:          "settings",
		Fleet:         FleetName,
		Host:          n.Host,
		TargetAddress: n.target,
		Plugins:       sections,
	}, nil
}

// Kill ends the node of a host as a crash of its process does: connections are reset,
// calls in flight are not completed and the node's goroutines end.
func (f *Fleet) Kill(id model.HostID) error {
	reap, err := f.BeginKill(id)
	if err != nil {
		return err
	}
	reap()
	return nil
}

// BeginKill disconnects the node of a host from the network, which is the first half of Kill.
// The second half, reap, ends the goroutines of the node and frees its addresses. It waits
// for these goroutines, so none of them may call it.
func (f *Fleet) BeginKill(id model.HostID) (reap func(), err error) {
	node := f.nodes[id].swap(nil)
	if node == nil {
		return nil, errors.Errorf("host %s: no running node", id)
	}
	f.Network.Disconnect(string(id))
	return func() {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = node.Shutdown(canceled) // a killed process completes nothing
		f.Network.Reconnect(string(id))
	}, nil
}

// Stop shuts down the node of a host gracefully, at most until ctx ends.
func (f *Fleet) Stop(ctx context.Context, id model.HostID) error {
	node := f.nodes[id].swap(nil)
	if node == nil {
		return errors.Errorf("host %s: no running node", id)
	}
	return node.Shutdown(ctx)
}

// Close kills all nodes and stops the platform and the targets.
func (f *Fleet) Close() {
	for id, n := range f.nodes {
		if n.Running() != nil {
			_ = f.Kill(id) // fails only without a running node
		}
	}
	for id := range f.nodes {
		f.StopTarget(id)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.Network.Close()
}

// Hosts returns the hosts of the fleet.
func (f *Fleet) Hosts() []model.Host {
	return f.options.Hosts
}

// Client returns an HTTP client on a host of the network. The test must close its
// idle connections before it ends.
func (f *Fleet) Client(host string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: f.Network.Dialer(host)}}
}

// Configuration returns the configuration of the running node, or nil if there is none.
func (n *Node) Configuration() model.Configuration {
	node := n.Running()
	if node == nil {
		return nil
	}
	value, _ := kernel.Value[model.Configuration](node.Kernel())
	return value
}
