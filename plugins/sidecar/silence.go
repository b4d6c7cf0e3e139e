package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/pkg/errors"
)

const (
	// pathAlive is where a node answers that it runs.
	pathAlive = "/v1/alive"
	// leastSilence is the shortest time without an answer after which a node is
	// asked whether it still runs.
	leastSilence = 250 * time.Millisecond
	// silenceFactor is the number of expected times after which it is asked.
	silenceFactor = 2
	// probeFactor is the number of connect timeouts that a node has for its answer: a
	// busy one takes longer than to accept a connection.
	probeFactor = 2
	// proofs is the number of questions in a row without an answer after which a
	// node counts as lost, one may meet a lost packet.
	proofs = 2
	// aliveFor is how long an answer counts for the other requests to that node.
	aliveFor = 200 * time.Millisecond
)

// errPeerSilent ends the attempts at a node that does not answer.
var errPeerSilent = errors.New("the node beside the target does not answer")

// prober asks nodes whether they run, over a new connection each time: one that is
// open may have gone silent while new ones work.
type prober struct {
	settings *live
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[netip.Addr]*probed
}

// probed is what is known of one node.
type probed struct {
	mu    sync.Mutex
	at    time.Time
	alive bool
}

// alive reports whether the node at a peer address answers. Requests to one node
// share an answer.
func (p *prober) alive(host netip.Addr, address string) bool {
	p.mu.Lock()
	known := p.hosts[host]
	if known == nil {
		known = &probed{}
		p.hosts[host] = known
	}
	p.mu.Unlock()
	known.mu.Lock()
	defer known.mu.Unlock()
	if time.Since(known.at) < aliveFor {
		return known.alive
	}
	known.alive = false
	for range proofs {
		if known.alive = p.ask(address); known.alive {
			break
		}
	}
	known.at = time.Now()
	return known.alive
}

// ask asks once.
func (p *prober) ask(address string) bool {
	timeout := probeFactor * p.settings.Load().ConnectTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	pool := httpconn.NewPool(func(ctx context.Context) (net.Conn, error) { return p.dial(ctx, address) }, 0, timeout)
	response, err := pool.RoundTrip(ctx, &httpconn.Request{Method: http.MethodGet, Target: pathAlive, Host: address})
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the head counts
	return response.StatusCode == http.StatusOK
}

// retain forgets the nodes that are gone.
func (p *prober) retain(listed map[netip.Addr]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host := range p.hosts {
		if !listed[host] {
			delete(p.hosts, host)
		}
	}
}

// serveAlive answers the question of another node.
func serveAlive(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusOK)
}

// silence watches over an attempt that gets no answer.
type silence struct {
	prober  *prober
	host    netip.Addr
	address string
	// lost is called once the node counts as lost.
	lost func()

	mu    sync.Mutex
	next  time.Duration
	timer *time.Timer
	ended bool
}

// watch begins to watch over an attempt whose answer is expected after a time.
func (s *silence) watch(expected time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(silenceFactor*expected, leastSilence)
	s.timer = time.AfterFunc(s.next, s.check)
}

// check asks the node, and again after twice the time if it answers.
func (s *silence) check() {
	alive := s.prober.alive(s.host, s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
	case alive:
		s.next *= 2
		s.timer.Reset(s.next)
	default:
		s.ended = true
		s.lost()
	}
}

// end stops watching.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
}
