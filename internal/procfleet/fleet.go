// Package procfleet starts fleets of real node processes on loopback addresses
// for tests and experiments, optionally with a fault-injecting relay in front of them.
package procfleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sort"

	"github.com/bronzemast/bronzemast/internal/loopback"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// The ports of every host. Hosts differ by IP address.
const (
	callPort     = 7000
	peerPort     = 7001
	operatorPort = 7070
)

// HostSpec describes a host of the fleet.
type HostSpec struct {
	ID     model.HostID
	Region string
	// Domain is the failure domain.
	Domain  string
	Service string
	// Target is the address of the target, empty if the host runs no service.
	Target string
}

// Spread returns n hosts without targets, assigned to failure domains in turn; the
// domains are assigned to regions in turn.
func Spread(n, domains, regions int) []HostSpec {
	hosts := make([]HostSpec, n)
	for i := range hosts {
		domain := i % domains
		hosts[i] = HostSpec{
			ID:     model.HostID(fmt.Sprintf("h%04d", i)),
			Region: fmt.Sprintf("region-%d", domain%regions),
			Domain: fmt.Sprintf("domain-%d", domain),
		}
	}
	return hosts
}

// Options describe a fleet.
type Options struct {
	// Binary is the path of the bronzemast-node program, as returned by Build.
	Binary string
	// Dir is the directory of the settings and logs of the nodes.
	Dir string
	// Fleet is the fleet name in the settings of every node.
	Fleet string
	Hosts []HostSpec
	// Plugins holds the settings of the plug-ins of every node.
	Plugins map[string]any
	// HostPlugins returns the settings of plug-ins for one host, which replace
	// those of Plugins for the same plug-ins. Nil means that there are none.
	HostPlugins func(HostSpec) map[string]any
	// Relay puts a relay in front of the peer address of every node.
	Relay bool
	// LogLevel is the log level of the nodes; empty means "warning".
	LogLevel string
}

// Fleet is a set of node processes.
type Fleet struct {
	options Options
	subnet  loopback.Subnet
	relay   *relay.Relay
	procs   []*Proc
}

// Build compiles the node program into dir and returns its path.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "bronzemast-node")
	command := exec.Command("go", "build", "-o", binary, "github.com/bronzemast/bronzemast/cmd/bronzemast-node")
	if output, err := command.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build the node program: %s", output)
	}
	return binary, nil
}

// WithBinary compiles the node program into a temporary directory, sets binary to its path
// and runs the tests of a package. m is the package's *testing.M. It removes the directory
// and returns the exit code for os.Exit.
func WithBinary(m interface{ Run() int }, binary *string) int {
	dir, err := os.MkdirTemp("", "bronzemast-node-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // files left in the temporary directory do no harm
	if *binary, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// New prepares a fleet: it selects a free subnet, starts the relay if the options ask for
// one, and writes the settings files. It starts no process.
func New(o Options) (*Fleet, error) {
	if len(o.Hosts) == 0 || len(o.Hosts) > loopback.MaxHosts {
		return nil, errors.Errorf("number of hosts must be between 1 and %d, got %d", loopback.MaxHosts, len(o.Hosts))
	}
	freeSubnet, err := loopback.FreeSubnet(callPort, peerPort, operatorPort)
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: o, subnet: freeSubnet}
	if o.Relay {
		f.relay = relay.New()
	}
	for i, spec := range o.Hosts {
		if err := f.addHost(i, spec); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) addHost(i int, spec HostSpec) error {
	ip := f.subnet.Host(i)
	p := &Proc{
		Host: model.Host{
			ID:          spec.ID,
			Region:      spec.Region,
			Domain:      spec.Domain,
			Service:     spec.Service,
			CallAddress: netip.AddrPortFrom(ip, callPort).String(),
			PeerAddress: netip.AddrPortFrom(ip, peerPort).String(),
		},
		OperatorAddress: netip.AddrPortFrom(ip, operatorPort).String(),
		binary:          f.options.Binary,
		settingsFile:    filepath.Join(f.options.Dir, string(spec.ID)+".jsonc"),
		logFile:         filepath.Join(f.options.Dir, string(spec.ID)+".log"),
	}
	if err := f.writeSettings(p, spec); err != nil {
		return err
	}
	f.procs = append(f.procs, p)
	if f.relay == nil {
		return nil
	}
	listenAddress := p.Host.PeerAddress // other nodes are given the address of the relay
	p.Host.PeerAddress = netip.AddrPortFrom(f.subnet.Relay(i), peerPort).String()
	return f.relay.Add(string(spec.ID), ip, p.Host.PeerAddress, listenAddress)
}

func (f *Fleet) writeSettings(p *Proc, spec HostSpec) error {
	plugins := map[string]any{"operator": map[string]any{"address": p.OperatorAddress}}
	for name, settings := range f.options.Plugins {
		plugins[name] = settings
	}
	if f.options.HostPlugins != nil {
		for name, settings := range f.options.HostPlugins(spec) {
			plugins[name] = settings
		}
	}
	level := f.options.LogLevel
	if level == "" {
		level = "warning"
	}
	settings := map[string]any{
		"fleet": f.options.Fleet,
		"host": map[string]any{
			"id":             p.Host.ID,
			"region":         p.Host.Region,
			"failure_domain": p.Host.Domain,
			"service":        p.Host.Service,
			"call_address":   p.Host.CallAddress,
			"peer_address":   p.Host.PeerAddress,
		},
		"target":  map[string]any{"address": spec.Target},
		"log":     map[string]any{"level": level},
		"plugins": plugins,
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(p.settingsFile, data, 0o600), "write settings")
}

// Procs returns all processes in the order of Options.Hosts.
func (f *Fleet) Procs() []*Proc {
	return f.procs
}

// Proc returns the process of a host, or nil if the fleet has no such host.
func (f *Fleet) Proc(id model.HostID) *Proc {
	for _, p := range f.procs {
		if p.Host.ID == id {
			return p
		}
	}
	return nil
}

// HostList returns the host list for the platform to publish, sorted by host ID, with
// the given hosts marked as leaving.
func (f *Fleet) HostList(revision uint64, leaving ...model.HostID) *model.HostList {
	list := &model.HostList{Revision: revision}
	for _, p := range f.procs {
		host := p.Host
		for _, id := range leaving {
			host.Leaving = host.Leaving || id == host.ID
		}
		list.Hosts = append(list.Hosts, host)
	}
	sort.Slice(list.Hosts, func(i, j int) bool { return list.Hosts[i].ID < list.Hosts[j].ID })
	return list
}

// Relay returns the relay, or nil if the fleet has none.
func (f *Fleet) Relay() *relay.Relay {
	return f.relay
}

// Start starts all processes. It stops at the first error.
func (f *Fleet) Start() error {
	for _, p := range f.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all running processes and stops the relay.
func (f *Fleet) Close() {
	for _, p := range f.procs {
		_ = p.Kill() // a process that has already ended is no error
	}
	if f.relay != nil {
		f.relay.Close()
	}
}
