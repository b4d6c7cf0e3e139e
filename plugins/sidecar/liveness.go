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
	// pathAlive is the path of the liveness check between nodes.
	pathAlive = "/v1/alive"
	// minProbeDelay is the shortest time without an answer after which a peer is probed.
	minProbeDelay = 250 * time.Millisecond
	// probeDelayFactor is the multiple of the expected time to an answer after which a peer
	// is probed.
	probeDelayFactor = 2
	// probeTimeoutFactor is the timeout of a probe in connect timeouts, since a busy node
	// takes longer to answer than to accept a connection.
	probeTimeoutFactor = 2
	// maxProbes is the number of consecutive unanswered probes after which a peer counts
	// as lost. A single one may be due to packet loss.
	maxProbes = 2
	// aliveCacheTime is how long a probe result is reused for other requests to the peer.
	aliveCacheTime = 200 * time.Millisecond
)

// errPeerUnresponsive is the cancellation cause of attempts at a peer that does not
// answer.
var errPeerUnresponsive = errors.New("the node beside the target does not answer")

// prober checks whether peers are alive. It opens a new connection for each probe, since an
// existing one may be dead while new ones work.
type prober struct {
	settings *liveSettings
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[netip.Addr]*probeResult
}

// probeResult is the latest probe result of one peer.
type probeResult struct {
	mu    sync.Mutex
	at    time.Time
	alive bool
}

// alive reports whether the node at a peer address answers a probe. It blocks for up to
// maxProbes probe timeouts. Concurrent calls for one peer share a result.
func (p *prober) alive(host netip.Addr, address string) bool {
	p.mu.Lock()
	known := p.hosts[host]
	if known == nil {
		known = &probeResult{}
		p.hosts[host] = known
	}
	p.mu.Unlock()
	known.mu.Lock()
	defer known.mu.Unlock()
	if time.Since(known.at) < aliveCacheTime {
		return known.alive
	}
	known.alive = false
	for range maxProbes {
		if known.alive = p.probeOnce(address); known.alive {
			break
		}
	}
	known.at = time.Now()
	return known.alive
}

// probeOnce sends one probe and reports whether it was answered.
func (p *prober) probeOnce(address string) bool {
	timeout := probeTimeoutFactor * p.settings.Load().ConnectTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	pool := httpconn.NewPool(func(ctx context.Context) (net.Conn, error) { return p.dial(ctx, address) }, 0, timeout)
	response, err := pool.RoundTrip(ctx, &httpconn.Request{Method: http.MethodGet, Target: pathAlive, Host: address})
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status is used
	return response.StatusCode == http.StatusOK
}

// retain drops the results of hosts that are not listed.
func (p *prober) retain(listed map[netip.Addr]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host := range p.hosts {
		if !listed[host] {
			delete(p.hosts, host)
		}
	}
}

// serveAlive answers the liveness check of another node.
func serveAlive(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusOK)
}

// livenessWatch probes the peer of an attempt while there is no answer.
type livenessWatch struct {
	prober  *prober
	host    netip.Addr
	address string
	// onLost is called at most once, when the peer counts as lost, with mu held.
	onLost func()

	mu       sync.Mutex
	interval time.Duration
	timer    *time.Timer
	ended    bool
}

// watch starts watching an attempt whose answer is expected after the given time.
func (w *livenessWatch) watch(expected time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interval = max(probeDelayFactor*expected, minProbeDelay)
	w.timer = time.AfterFunc(w.interval, w.check)
}

// check probes the peer. If the peer answers, the next check follows after twice the time.
func (w *livenessWatch) check() {
	alive := w.prober.alive(w.host, w.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended:
	case alive:
		w.interval *= 2
		w.timer.Reset(w.interval)
	default:
		w.ended = true
		w.onLost()
	}
}

// end stops the watch. onLost is not called afterwards.
func (w *livenessWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}
