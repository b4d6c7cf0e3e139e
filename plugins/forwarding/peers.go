package forwarding

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/responsehead"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	peerIdleTimeout    = 30 * time.Second
	peerBufferBytes    = 16 << 10
	maxIdlePeerConns   = 32
	maxPeerHeaderBytes = 64 << 10
)

// dialError is returned if no connection to a peer was established, so that nothing
// was sent.
type dialError struct {
	cause error
}

// Error implements error.
func (e *dialError) Error() string { return "dial peer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// peer is the state that the entry role keeps for one target-side node.
type peer struct {
	id      model.HostID
	address string
	// calls carries attempts on pooled connections.
	calls *responsehead.Transport
	// control sends each request on a new connection.
	control      *responsehead.Transport
	responseTime responseTimeEstimator

	mu              sync.Mutex
	token           Token
	tokenReceivedAt time.Time
	aliveReportedAt time.Time
}

// aliveReportInterval is the minimum time between two reports that a peer is alive.
const aliveReportInterval = time.Second

// aliveReportDue reports whether a report that the peer is alive is due at now. If
// so, it marks the report as made.
func (p *peer) aliveReportDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.aliveReportedAt) < aliveReportInterval {
		return false
	}
	p.aliveReportedAt = now
	return true
}

// currentToken returns the token and when it was received. ok is false if there is
// none or it was received more than maxAge before now.
func (p *peer) currentToken(maxAge time.Duration, now time.Time) (t Token, tokenReceivedAt time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.token, p.tokenReceivedAt, p.token.Incarnation != 0 && now.Sub(p.tokenReceivedAt) <= maxAge
}

// setToken stores the token unless it is older than the stored one. For a new
// incarnation, a report that the peer is alive is due at once.
func (p *peer) setToken(t Token, now time.Time) {
	if t.Incarnation == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Incarnation != p.token.Incarnation {
		p.aliveReportedAt = time.Time{}
	} else if t.Tick < p.token.Tick {
		return
	}
	p.token, p.tokenReceivedAt = t, now
}

// close closes the idle connections.
func (p *peer) close() {
	p.calls.CloseIdleConnections()
	p.control.CloseIdleConnections()
}

// peers holds the target-side nodes that the entry role has used. It is safe for
// concurrent use.
type peers struct {
	transport      model.Transport
	connectTimeout time.Duration
	sequence       atomic.Uint64

	mu   sync.RWMutex
	byID map[model.HostID]*peer
}

func newPeers(transport model.Transport, connectTimeout time.Duration) *peers {
	return &peers{transport: transport, connectTimeout: connectTimeout, byID: map[model.HostID]*peer{}}
}

// get returns the peer for a member. It replaces a peer whose address has changed.
func (ps *peers) get(m *model.Member) *peer {
	ps.mu.RLock()
	p := ps.byID[m.ID]
	ps.mu.RUnlock()
	if p != nil && p.address == m.PeerAddress {
		return p
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p = ps.byID[m.ID]
	if p != nil && p.address == m.PeerAddress {
		return p
	}
	if p != nil {
		p.close()
	}
	p = ps.newPeer(m.ID, m.PeerAddress)
	ps.byID[m.ID] = p
	return p
}

func (ps *peers) newPeer(id model.HostID, address string) *peer {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, ps.connectTimeout)
		defer cancel()
		conn, err := ps.transport.DialPeer(ctx, address)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		if err := model.VerifyPeer(conn, id); err != nil {
			_ = conn.Close() // nothing was sent
			return nil, &dialError{cause: err}
		}
		return conn, nil
	}
	calls := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdlePeerConns,
		MaxIdleConnsPerHost:    maxIdlePeerConns,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
		WriteBufferSize:        peerBufferBytes,
		ReadBufferSize:         peerBufferBytes,
		ExpectContinueTimeout:  config.MaxDeadline,
	}
	control := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}
	return &peer{id: id, address: address, calls: responsehead.NewTransport(calls), control: responsehead.NewTransport(control)}
}

// retain removes the peers that are missing or dead in the view.
func (ps *peers) retain(v *model.View) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.byID {
		if m := v.ByID[id]; m == nil || m.State == model.MemberDead {
			p.close()
			delete(ps.byID, id)
		}
	}
}

// close closes all idle connections.
func (ps *peers) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byID {
		p.close()
	}
}

// The paths on the peer listener.
const (
	pathCall    = "/v1/call"
	pathToken   = "/v1/token"
	pathInquire = "/v1/inquire"
	// queryRevoke makes an inquiry fence a waiting attempt.
	queryRevoke = "revoke=1"
)

// fetchToken fetches a token from the peer on a new connection.
func (p *peer) fetchToken(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+pathToken, nil)
	if err != nil {
		return errors.Wrap(err, "token request")
	}
	_, err = p.roundTripControl(req)
	return err
}

// inquire requests the state of an attempt from the peer on a new connection; see
// ledger.inquire.
func (p *peer) inquire(ctx context.Context, h *hop, revoke bool) (hopAnswer, error) {
	path := pathInquire
	if revoke {
		path += "?" + queryRevoke
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+path, nil)
	if err != nil {
		return hopAnswer{}, errors.Wrap(err, "inquiry")
	}
	req.Header[headerHop] = []string{h.encode()}
	return p.roundTripControl(req)
}

func (p *peer) roundTripControl(req *http.Request) (hopAnswer, error) {
	resp, err := p.control.RoundTrip(req)
	if err != nil {
		return hopAnswer{}, err
	}
	defer resp.Body.Close()
	a, err := decodeHopAnswer(resp.Header.Get(headerHopAnswer))
	if err != nil {
		return hopAnswer{}, errors.Wrapf(err, "peer %s", p.id)
	}
	p.setToken(a.Token, time.Now())
	return a, nil
}
