package distribution

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// linkPath is the HTTP path on the peer address that accepts links.
	linkPath = "/v1/link"
	// headerRetry is the header that tells a rejected dialler how long to wait, in
	// milliseconds.
	headerRetry = "Bronzemast-Retry-Ms"
	// minRetryMs and maxRetryMs bound that wait.
	minRetryMs = 500
	maxRetryMs = 2500
	// acceptRequestBytes and acceptResponseBytes are the approximate sizes of the
	// HTTP request and response of an accepted handshake. They are exchanged
	// before the connection can be counted.
	acceptRequestBytes  = 200
	acceptResponseBytes = 130
)

// handshakeLimiter limits the rate and concurrency of accepted handshakes and
// the number of inbound links.
type handshakeLimiter struct {
	limiter    *rate.Limiter
	slots      chan struct{}
	inbound    atomic.Int64
	maxInbound int64
}

func newHandshakeLimiter(s *Settings) *handshakeLimiter {
	return &handshakeLimiter{
		limiter:    rate.NewLimiter(rate.Limit(s.HandshakeRate), s.HandshakeBurst),
		slots:      make(chan struct{}, max(s.HandshakesAtOnce, 0)),
		maxInbound: int64(s.MaxInbound),
	}
}

// acquire reports whether a handshake is admitted. Each success needs one call
// of release.
func (l *handshakeLimiter) acquire() bool {
	if l.inbound.Load() >= l.maxInbound || !l.limiter.Allow() {
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *handshakeLimiter) release() {
	<-l.slots
}

// rejectedError is returned for a dial that the peer rejected.
type rejectedError struct {
	retryAfter time.Duration
}

// Error implements error.
func (e *rejectedError) Error() string {
	return "handshake rejected by the peer, retry after " + e.retryAfter.String()
}

// ServeHTTP accepts links.
func (p *Plugin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.stopping.Load() || !p.handshakeLimiter.acquire() {
		p.rejectHandshake(w)
		return
	}
	s, hello, err := p.accept(w, r)
	p.handshakeLimiter.release()
	if err != nil {
		return
	}
	p.sessions.add(s)
	defer p.sessions.remove(s)
	p.handshakeLimiter.inbound.Add(1)
	defer p.handshakeLimiter.inbound.Add(-1)
	p.serveLink(s, openedInput{link: s.id, hello: hello})
}

func (p *Plugin) rejectHandshake(w http.ResponseWriter) {
	p.metrics.handshakesRejected.Add(1)
	retry := minRetryMs + rand.IntN(maxRetryMs-minRetryMs)
	w.Header().Set(headerRetry, strconv.Itoa(retry))
	w.Header().Set("Retry-After", strconv.Itoa(retry/1000+1))
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// accept performs the handshake of an incoming link up to and including the
// hello of the peer.
func (p *Plugin) accept(w http.ResponseWriter, r *http.Request) (*session, *wire.Hello, error) {
	p.metrics.handshakes.Add(1)
	counter := &byteCounter{metrics: p.metrics}
	counter.addReceived(acceptRequestBytes)
	counter.addSent(acceptResponseBytes)
	ws, err := websocket.Accept(&countedWriter{ResponseWriter: w, counter: counter}, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, err
	}
	s := newSession(p.linkContext(), p.nextLinkID(), ws, counter, p.settings.QueueLength)
	s.inbound = true
	hello, err := p.readHello(s)
	if err == nil {
		err = checkIdentity(hello, p.transport.PeerIdentity(r))
	}
	if err != nil {
		s.closeNow()
		return nil, nil, err
	}
	return s, hello, nil
}

// checkIdentity returns an error if the host in the hello is not the one in the
// peer's certificate. Without a certificate the hello is trusted.
func checkIdentity(hello *wire.Hello, identity model.HostID) error {
	if identity != "" && identity != hello.Host {
		return errors.Errorf("certificate identifies host %s, hello claims host %s", identity, hello.Host)
	}
	return nil
}

// readHello reads the first message of a link, which must be a hello. It
// returns a rejectedError if it is a goodbye.
func (p *Plugin) readHello(s *session) (*wire.Hello, error) {
	s.ws.SetReadLimit(wire.MaxHelloBytes)
	ctx, cancel := context.WithTimeout(s.ctx, p.settings.HandshakeTimeout.Std())
	defer cancel()
	m, data, err := s.readMessage(ctx)
	if err != nil {
		return nil, err
	}
	p.metrics.received[m.Kind()].Add(int64(len(data)))
	s.allowLarge(p.settings.WholeReleases)
	switch m := m.(type) {
	case *wire.Hello:
		return m, nil
	case *wire.Goodbye:
		return nil, &rejectedError{retryAfter: time.Duration(m.RetryMs) * time.Millisecond}
	}
	return nil, errors.Errorf("expected a hello as first message, got %s", m.Kind())
}

// dial opens a link and serves it until it is closed.
func (p *Plugin) dial(ctx context.Context, d dialRequest) {
	s, hello, err := p.connect(ctx, d)
	if err != nil {
		p.metrics.dialsFailed.Add(1)
		var rejected *rejectedError
		in := dialFailedInput{host: d.host.ID}
		if errors.As(err, &rejected) {
			in.rejected = true
			in.retryAfter = rejected.retryAfter
		}
		p.enqueue(in)
		return
	}
	p.sessions.add(s)
	defer p.sessions.remove(s)
	p.serveLink(s, openedInput{link: s.id, hello: hello, outgoing: true})
}

func (p *Plugin) connect(ctx context.Context, d dialRequest) (*session, *wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.HandshakeTimeout.Std())
	defer cancel()
	conn, err := p.transport.DialPeer(ctx, d.host.PeerAddress)
	if err != nil {
		return nil, nil, err
	}
	if err := model.VerifyPeer(conn, d.host.ID); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	counter := &byteCounter{metrics: p.metrics}
	ws, err := upgrade(ctx, &countedConn{Conn: conn, counter: counter}, d.host.PeerAddress)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	s := newSession(p.linkContext(), p.nextLinkID(), ws, counter, p.settings.QueueLength)
	hello, err := p.exchangeHellos(s, d)
	if err != nil {
		s.closeNow()
		return nil, nil, err
	}
	return s, hello, nil
}

func (p *Plugin) exchangeHellos(s *session, d dialRequest) (*wire.Hello, error) {
	data, err := wire.Encode(d.hello)
	if err != nil {
		return nil, err
	}
	p.metrics.countSent(wire.KindHello, len(data))
	if err := s.writeMessage(data); err != nil {
		return nil, err
	}
	hello, err := p.readHello(s)
	if err != nil {
		return nil, err
	}
	if hello.Host != d.host.ID {
		return nil, errors.Errorf("host %s answered at the address of host %s", hello.Host, d.host.ID)
	}
	return hello, nil
}

// upgrade performs the WebSocket handshake on a new connection.
func upgrade(ctx context.Context, conn net.Conn, address string) (*websocket.Conn, error) {
	transport := &http.Transport{
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		DisableKeepAlives: true,
	}
	ws, response, err := websocket.Dial(ctx, "ws://"+address+linkPath, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err == nil {
		return ws, nil
	}
	if response != nil && response.StatusCode == http.StatusServiceUnavailable {
		ms, _ := strconv.Atoi(response.Header.Get(headerRetry)) // 0 when absent
		return nil, &rejectedError{retryAfter: time.Duration(min(max(ms, 0), maxRetryMs)) * time.Millisecond}
	}
	return nil, err
}

// serveLink passes the messages of a link to the engine until the link is
// closed.
func (p *Plugin) serveLink(s *session, opened openedInput) {
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		s.writeLoop()
	}()
	p.enqueue(opened)
	p.readLoop(s)
	s.closeNow()
	<-writer
	p.metrics.queueDropped.Add(int64(s.queue.Dropped()))
	p.enqueue(closedInput{link: s.id})
}

func (p *Plugin) readLoop(s *session) {
	for {
		m, data, err := s.readMessage(s.ctx)
		if err != nil {
			return
		}
		p.metrics.received[m.Kind()].Add(int64(len(data)))
		if !p.enqueue(receivedInput{link: s.id, message: m, data: data}) {
			return
		}
	}
}
