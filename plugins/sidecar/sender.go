package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// maxIdleToPeer is the maximum number of idle connections to one peer.
	maxIdleToPeer = 32
	// peerIdleTimeout is how long an idle connection to a peer is kept. Probing an older
	// one takes as long as opening a new one, and each uses memory on both nodes.
	peerIdleTimeout = time.Second
)

// sender sends requests to the nodes beside their targets.
type sender struct {
	settings   *liveSettings
	self       netip.Addr
	peerPort   string
	replica    model.Replica
	quarantine model.Quarantine
	targetSide *targetSide
	prober     *prober
	// markUnreachable is called for a target whose peer does not answer.
	markUnreachable func(t *model.Target)
	// charge takes a retry from the budget of the call's service and reports whether one
	// was left.
	charge func(c *call, outcome model.Outcome) bool
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	pools map[netip.Addr]*httpconn.Pool
}

// send sends a call to the node beside a target, which may be this node, and returns the
// answer. expected is the estimated time until the answer.
func (s *sender) send(ctx context.Context, t *model.Target, h *handover, c *call, expected time.Duration) *answer {
	if t.Address.Addr() == s.self {
		a := s.targetSide.handle(ctx, h, c.header.Clone(), c.body)
		a.Version = handoverVersion
		return a
	}
	return s.sendRemote(ctx, t, h, c, expected)
}

func (s *sender) sendRemote(ctx context.Context, t *model.Target, h *handover, c *call, expected time.Duration) *answer {
	header := c.header.Clone()
	header[headerHandover] = []string{cborheader.Encode(h)}
	h.known.set(header)
	h.position().SetHeader(header)
	ctx, cancelDeadline := context.WithTimeout(ctx, h.Remaining)
	ctx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() {
		cancelCause(nil)
		cancelDeadline()
	}
	watch := s.watchLiveness(t, c, expected, cancelCause)
	defer watch.end()
	response, err := s.pool(t.Address.Addr()).RoundTrip(ctx, &httpconn.Request{
		Method: http.MethodPost,
		Target: pathHandover,
		Host:   s.peerAddress(t.Address.Addr()),
		Header: header,
		Body:   c.body.reader(),
		Length: c.body.length,
		Probe:  s.connProbe(t.Address.Addr()),
	})
	if err != nil {
		a := peerFailure(ctx, err)
		cancel()
		return a
	}
	a := s.readAnswer(ctx, response, c.method, s.peerAddress(t.Address.Addr()))
	if a.body.buffered() {
		cancel()
	} else {
		a.release = cancel
	}
	return a
}

// connProbeAfter is how long after an answer a connection is used without a probe. Beyond
// it, the round trip of a probe costs less than losing a request on a dead connection.
const connProbeAfter = 200 * time.Millisecond

// connProbe returns the probe that an idle connection to a peer must pass before a request
// is sent on it. A request that has not been sent can go to another target even if it is not
// idempotent.
func (s *sender) connProbe(host netip.Addr) *httpconn.Probe {
	return &httpconn.Probe{
		Target:  pathAlive,
		Host:    s.peerAddress(host),
		After:   connProbeAfter,
		Timeout: s.settings.Load().ConnectTimeout.Std(),
	}
}

// watchLiveness probes the peer of an attempt while there is no answer. Once the peer counts
// as lost, the attempt is canceled if the call is idempotent and the retry budget allows
// another attempt; otherwise it keeps waiting for its answer.
func (s *sender) watchLiveness(t *model.Target, c *call, expected time.Duration, cancel context.CancelCauseFunc) *livenessWatch {
	host := t.Address.Addr()
	watch := &livenessWatch{prober: s.prober, host: host, address: s.peerAddress(host), onLost: func() {
		s.markUnreachable(t)
		s.pool(host).DropIdle() // idle connections to an unresponsive peer are as dead as the one in use
		if c.route.Idempotent && c.body.buffered() && c.targetsReached+1 < c.route.Attempts && s.charge(c, model.OutcomeUnknown) {
			c.charged.Store(true)
			cancel(errPeerUnresponsive)
		}
	}}
	watch.watch(expected)
	return watch
}

// probe checks in the background whether the node beside a target runs, and passes the
// result to report.
func (s *sender) probe(t *model.Target, report func(alive bool)) {
	host := t.Address.Addr()
	go func() { report(s.prober.alive(host, s.peerAddress(host))) }()
}

// peerFailure returns the answer of an attempt that got no response from the peer. If the
// request was not sent, it has not run; otherwise its outcome is unknown.
func peerFailure(ctx context.Context, err error) *answer {
	var failure *httpconn.Error
	if errors.As(err, &failure) && !failure.Sent {
		a := notRunAnswer(model.ReasonUnreachable)
		a.body = &messageBody{}
		return a
	}
	a := &answer{result: result{Outcome: model.OutcomeUnknown, Reason: model.ReasonPeerLost, ReachedTarget: true, Failed: true}, body: &messageBody{}}
	switch {
	case errors.Is(context.Cause(ctx), errPeerUnresponsive):
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Reason = model.ReasonDeadline
	case ctx.Err() != nil:
		a.Reason = model.ReasonCanceled
	}
	return a
}

// readAnswer reads the response of a peer. Without a valid result header or a complete
// body it counts as lost.
func (s *sender) readAnswer(ctx context.Context, response *http.Response, method, peer string) *answer {
	reported, err := decodeResult(response.Header)
	if err != nil {
		_ = response.Body.Close() // the response is unusable
		return peerFailure(ctx, &httpconn.Error{Sent: true, Err: err})
	}
	body, err := readBody(response.Body, answerLimits(ctx, response, method))
	if err != nil {
		_ = response.Body.Close() // the body was cut off
		lost := peerFailure(ctx, &httpconn.Error{Sent: true, Err: err})
		lost.Outcome = reported.Outcome
		return lost
	}
	if body.buffered() {
		_ = response.Body.Close() // the body has been read completely
	}
	s.replica.ObservePosition(peer, reported.position())
	s.quarantine.Learn(reported.crashReports)
	a := &answer{result: *reported, body: body}
	if reported.Outcome == model.OutcomeRan {
		a.status = response.StatusCode
		a.header = response.Header
	}
	return a
}

func (s *sender) peerAddress(host netip.Addr) string {
	return net.JoinHostPort(host.String(), s.peerPort)
}

// pool returns the connection pool of the peer on a host.
func (s *sender) pool(host netip.Addr) *httpconn.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[host]
	if p == nil {
		address := s.peerAddress(host)
		p = httpconn.NewPool(func(ctx context.Context) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, s.settings.Load().ConnectTimeout.Std())
			defer cancel()
			return s.dial(ctx, address)
		}, maxIdleToPeer, peerIdleTimeout)
		s.pools[host] = p
	}
	return p
}

// retain closes the connections to hosts that are not in the list.
func (s *sender) retain(list *model.TargetList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[netip.Addr]bool{}
	for _, host := range list.Hosts {
		listed[host.Address] = true
	}
	s.prober.retain(listed)
	for host, p := range s.pools {
		if !listed[host] {
			p.Close()
			delete(s.pools, host)
		}
	}
}

func (s *sender) close() {
	s.retain(&model.TargetList{})
}
