// Package memnet is an in-memory network with faults by source and destination.
// It uses no sockets, so whole nodes can run on the fake clock of testing/synctest.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/pkg/errors"
)

// acceptBacklog is the number of connections that can wait for Accept on a listener.
const acceptBacklog = 256

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu   sync.Mutex
	rule relay.Rule
	// changed is closed and replaced at each change of the rule.
	changed chan struct{}
	// listeners maps addresses to listeners.
	listeners    map[string]*Listener
	links        map[*link]struct{}
	disconnected map[string]bool
	tamper       Tamper
	// deliveries tracks the goroutines that deliver the queues of pipelines.
	deliveries sync.WaitGroup
}

// Segment is the data of one write from a host to another one.
type Segment struct {
	Source, Destination string
	Data                []byte
	// FirstSegment is the data of the first write, on the same connection, from the host
	// that dialled to the host that listens.
	FirstSegment []byte
}

// Tamper intercepts a segment. It returns the data to deliver instead, and
// whether the connection breaks after it.
type Tamper func(s Segment) (out []byte, broken bool)

// New returns a network that delivers all data without delay.
func New() *Network {
	return &Network{
		rule:         func(string, string) (relay.Fault, time.Duration) { return relay.Pass, 0 },
		changed:      make(chan struct{}),
		listeners:    map[string]*Listener{},
		links:        map[*link]struct{}{},
		disconnected: map[string]bool{},
	}
}

// SetTamper installs t on open and new connections; nil removes it.
func (n *Network) SetTamper(t Tamper) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tamper = t
}

// Disconnect resets all connections of a host and rejects new ones until Reconnect is
// called.
func (n *Network) Disconnect(host string) {
	n.mu.Lock()
	n.disconnected[host] = true
	n.mu.Unlock()
	n.Reset(host)
}

// Reconnect lets a disconnected host connect again.
func (n *Network) Reconnect(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.disconnected, host)
}

// SetRule replaces the rule and applies the new one to open connections too.
func (n *Network) SetRule(rule relay.Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	close(n.changed)
	n.changed = make(chan struct{})
	for l := range n.links {
		switch n.worstFault(l.source, l.destination) {
		case relay.Cut:
			delete(n.links, l)
			l.reset()
		case relay.SilenceOpen:
			l.silenced = true
		}
	}
}

// worstFault returns the worse of the faults in the two directions between two hosts. The
// caller holds mu.
func (n *Network) worstFault(a, b string) relay.Fault {
	if n.disconnected[a] || n.disconnected[b] {
		return relay.Cut
	}
	forward, _ := n.rule(a, b)
	reverse, _ := n.rule(b, a)
	return max(forward, reverse)
}

// Reset resets all connections from or to a host, as the end of its process does.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.source == host || l.destination == host {
			delete(n.links, l)
			l.reset()
		}
	}
}

// Listen opens a listener of a host at an address. It fails with EADDRINUSE if the address
// is taken.
func (n *Network) Listen(host, addr string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[addr]; taken {
		return nil, errors.Wrap(syscall.EADDRINUSE, addr)
	}
	l := &Listener{
		network: n,
		host:    host,
		addr:    addr,
		pending: make(chan net.Conn, acceptBacklog),
		done:    make(chan struct{}),
	}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects a host to an address. It fails with ECONNREFUSED if nothing listens there,
// the accept backlog is full, one of the hosts is disconnected or the rule returns relay.Cut.
func (n *Network) Dial(ctx context.Context, host, addr string) (net.Conn, error) {
	listener, err := n.awaitListener(ctx, host, addr)
	if err != nil {
		return nil, err
	}
	client, server := n.connect(host, listener)
	select {
	case listener.pending <- server:
		return client, nil
	case <-listener.done:
	default:
	}
	_ = client.Close()
	return nil, errors.Wrap(syscall.ECONNREFUSED, addr)
}

// awaitListener returns the listener at an address. While the pair of hosts is silenced, it
// waits, as a dial whose SYN gets no response does.
func (n *Network) awaitListener(ctx context.Context, host, addr string) (*Listener, error) {
	for {
		n.mu.Lock()
		listener := n.listeners[addr]
		changed := n.changed
		fault := relay.Pass
		if listener != nil {
			fault = n.worstFault(host, listener.host)
		}
		n.mu.Unlock()
		switch {
		case listener == nil, fault == relay.Cut:
			return nil, errors.Wrap(syscall.ECONNREFUSED, addr)
		case fault != relay.Silence:
			return listener, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect creates a connection and returns its ends at the host and at the listener.
func (n *Network) connect(host string, listener *Listener) (client, server *conn) {
	l := &link{network: n, source: host, destination: listener.host}
	forward, reverse := newStream(), newStream()
	l.forward = &pipeline{link: l, stream: forward}
	l.reverse = &pipeline{link: l, stream: reverse}
	client = &conn{link: l, in: reverse, out: forward, outPipeline: l.forward, local: address(host), remote: address(listener.addr), closed: make(chan struct{})}
	server = &conn{link: l, in: forward, out: reverse, outPipeline: l.reverse, local: address(listener.addr), remote: address(host), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	return client, server
}

// startDelivery delivers the queue of a pipeline in a new goroutine.
func (n *Network) startDelivery(p *pipeline) {
	n.deliveries.Add(1)
	go func() {
		defer n.deliveries.Done()
		for {
			data, ok := p.next()
			if !ok {
				return
			}
			if !n.awaitDelivery(p) {
				p.stream.deliver(0, nil)
				return
			}
			out, broken := n.applyTamper(p, data)
			p.stream.deliver(len(data), out)
			if broken {
				n.breakAfterDelivered(p)
				return
			}
		}
	}()
}

// awaitDelivery waits until the direction of a pipeline is not silenced, then for its delay.
// It returns false when the connection is broken or permanently silenced.
func (n *Network) awaitDelivery(p *pipeline) bool {
	from, to := p.endpoints()
	for {
		n.mu.Lock()
		_, open := n.links[p.link]
		fault, delay := n.rule(from, to)
		silenced := p.link.silenced
		changed := n.changed
		n.mu.Unlock()
		switch {
		case !open || silenced:
			return false
		case fault != relay.Silence:
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// endpoints returns the sending and the receiving host of the pipeline.
func (p *pipeline) endpoints() (from, to string) {
	if p == p.link.reverse {
		return p.link.destination, p.link.source
	}
	return p.link.source, p.link.destination
}

// applyTamper returns the data to deliver and whether the connection breaks after it.
func (n *Network) applyTamper(p *pipeline, data []byte) (out []byte, broken bool) {
	from, to := p.endpoints()
	n.mu.Lock()
	if p == p.link.forward && p.link.firstSegment == nil {
		p.link.firstSegment = data
	}
	segment := Segment{Source: from, Destination: to, Data: data, FirstSegment: p.link.firstSegment}
	tamper := n.tamper
	n.mu.Unlock()
	if tamper == nil {
		return data, false
	}
	return tamper(segment)
}

// breakAfterDelivered ends a pipeline after the delivered data and resets the other
// direction.
func (n *Network) breakAfterDelivered(p *pipeline) {
	n.mu.Lock()
	delete(n.links, p.link)
	n.mu.Unlock()
	p.stream.truncate()
	other := p.link.forward
	if other == p {
		other = p.link.reverse
	}
	other.stream.fail(syscall.ECONNRESET)
}

// Listener accepts the connections to one address.
type Listener struct {
	network *Network
	host    string
	addr    string
	// pending holds the connections that wait for Accept.
	pending   chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// Accept waits for a connection. It returns net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr {
	return address(l.addr)
}

// Interface guards.
var _ net.Listener = (*Listener)(nil)

// Dialer returns a dial function for HTTP clients on a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.Dial(ctx, host, addr)
	}
}

// Close resets all connections and waits until all deliveries have ended.
func (n *Network) Close() {
	n.SetRule(func(string, string) (relay.Fault, time.Duration) { return relay.Cut, 0 })
	n.deliveries.Wait()
}
