// Package relay is a TCP proxy between the hosts of a test fleet that injects faults
// by source and destination. Existing fault-injecting proxy libraries do not expose
// source addresses, which a partition between two groups of hosts requires.
package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is a fault that applies to the traffic from a source host to a destination host.
// A greater value is a worse fault.
type Fault uint8

// The faults.
const (
	// Pass forwards all traffic.
	Pass Fault = iota
	// Cut resets open connections and new ones.
	Cut
	// Silence stops forwarding on open and new connections without closing them. Data
	// that was held back is delivered when the fault ends.
	Silence
	// SilenceOpen permanently stops forwarding on the connections that are open when the
	// rule is set. New connections work.
	SilenceOpen
)

// Rule returns the fault and the added one-way delay for a pair of hosts. Source and
// destination are host names that were passed to Add; the source is empty if it is unknown.
type Rule func(source, destination string) (Fault, time.Duration)

// Relay listens on behalf of all hosts and forwards connections to them. It is safe for
// concurrent use.
type Relay struct {
	mu   sync.Mutex
	rule Rule
	// changed is closed and replaced at each change of the rule.
	changed chan struct{}
	// sources maps source addresses to host names.
	sources   map[netip.Addr]string
	listeners []net.Listener
	pipes     map[*pipe]struct{}
	closed    bool
	wg        sync.WaitGroup
}

// New returns a relay without hosts that forwards all traffic.
func New() *Relay {
	return &Relay{
		rule:    func(string, string) (Fault, time.Duration) { return Pass, 0 },
		changed: make(chan struct{}),
		sources: map[netip.Addr]string{},
		pipes:   map[*pipe]struct{}{},
	}
}

// Add adds a host: the relay listens on address and forwards connections to upstream.
// Connections from the IP address source are attributed to the same host.
func (r *Relay) Add(name string, source netip.Addr, address, upstream string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.mu.Lock()
	r.sources[source] = name
	r.listeners = append(r.listeners, listener)
	r.mu.Unlock()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.acceptLoop(listener, name, upstream)
	}()
	return nil
}

// SetRule replaces the rule and applies the new one to open connections too.
func (r *Relay) SetRule(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
	close(r.changed)
	r.changed = make(chan struct{})
	for p := range r.pipes {
		switch fault, _ := rule(p.source, p.destination); fault {
		case Cut:
			p.close()
		case SilenceOpen:
			p.silenced = true
		}
	}
}

// Close closes all listeners and connections and waits until their goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for p := range r.pipes {
		p.close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
}

// acceptLoop forwards the connections of a listener until it is closed.
func (r *Relay) acceptLoop(listener net.Listener, destination, upstream string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.forward(conn, destination, upstream)
		}()
	}
}

// forward connects to the upstream and copies data until the connection ends.
func (r *Relay) forward(in net.Conn, destination, upstream string) {
	source := r.sourceOf(in)
	if fault, _, _ := r.currentFault(nil, source, destination); fault == Cut {
		reset(in)
		return
	}
	out, err := dialFrom(in.RemoteAddr(), upstream)
	if err != nil {
		reset(in)
		return
	}
	p := &pipe{relay: r, source: source, destination: destination, in: in, out: out, done: make(chan struct{})}
	if !r.register(p) {
		p.close()
		return
	}
	defer r.unregister(p)
	p.run()
}

// dialFrom connects from the IP address of the source, so that the destination sees that
// address instead of the relay's.
func dialFrom(source net.Addr, upstream string) (net.Conn, error) {
	var dialer net.Dialer
	if address, ok := source.(*net.TCPAddr); ok {
		dialer.LocalAddr = &net.TCPAddr{IP: address.IP}
	}
	return dialer.Dial("tcp", upstream)
}

// sourceOf returns the name of the host that a connection comes from, empty if it is
// unknown.
func (r *Relay) sourceOf(conn net.Conn) string {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sources[address.Addr()]
}

// register adds an open pipe. It returns false if the relay is closed.
func (r *Relay) register(p *pipe) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.pipes[p] = struct{}{}
	return true
}

func (r *Relay) unregister(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pipes, p)
}

// currentFault returns the fault and the delay that apply to a pipe now, and a channel that
// is closed at the next change of the rule. The pipe is nil for a new connection.
func (r *Relay) currentFault(p *pipe, source, destination string) (Fault, time.Duration, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault, delay := r.rule(source, destination)
	if p != nil && p.silenced {
		return Silence, delay, r.changed
	}
	if fault == SilenceOpen {
		fault = Pass
	}
	return fault, delay, r.changed
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
