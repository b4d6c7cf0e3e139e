package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/internal/resetconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
	// The default numbers of connections leave a third of the 4,000 descriptors of the smallest
	// hosts for connections to targets, peers and the platform.
	defaultMaxCallConnections = 1536
	defaultMaxPeerConnections = 1024
	// defaultMemoryMB is the memory of the smallest hosts.
	defaultMemoryMB = 184
	// clientMemoryShare is the share of the memory that connections may take: twice as much with
	// what the garbage collector has not returned, and the node itself takes some 40 MB.
	clientMemoryShare = 0.25
	bytesPerMB        = 1_000_000
	// bodyTimeout bounds the time to read the body of a request whose handler sets no deadline.
	bodyTimeout = 10 * time.Second
	// defaultMaxConcurrentPerConnection keeps one caller from taking all slots of a target.
	defaultMaxConcurrentPerConnection = 8
	defaultMaxConcurrentAhead         = 64
	// closeTimeout is how long Stop waits for requests in flight. The plug-ins that serve
	// them have drained before and given up on what is left.
	closeTimeout = 250 * time.Millisecond
)

// HandlePeer implements model.Transport.
func (t *Transport) HandlePeer(pattern string, handler http.Handler) {
	t.peerMux.Handle(pattern, handler)
}

// HandleCalls implements model.Transport.
func (t *Transport) HandleCalls(handler http.Handler) {
	t.callHandler = handler
}

// PeerIdentity implements model.Transport.
func (t *Transport) PeerIdentity(r *http.Request) model.HostID {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	names := r.TLS.PeerCertificates[0].DNSNames
	if len(names) == 0 {
		return ""
	}
	return model.HostID(names[0])
}

// DialPeer implements model.Transport.
func (t *Transport) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	conn, err := dial(ctx, &t.dialer, address)
	if err != nil || t.peerKeys == nil {
		return conn, err
	}
	tlsConn := tls.Client(conn, t.peerClientTLS())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "authenticate peer %s", address)
	}
	return tlsConn, nil
}

// DialTarget implements model.Transport.
func (t *Transport) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, &net.Dialer{}, address)
}

// DialPlatform implements model.Transport.
func (t *Transport) DialPlatform(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, &net.Dialer{}, address)
}

// dial opens a connection without TLS, whose end can be told from its reset.
func dial(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return resetconn.New(conn), nil
}

// sourceAddress returns the local address for connections to peers, so that peers and
// firewalls see the host's peer address. It is nil, which lets the operating system
// choose, if the node listens on all addresses.
func sourceAddress(peerAddress string) net.Addr {
	parsed, err := netip.ParseAddrPort(peerAddress)
	if err != nil || parsed.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: parsed.Addr().AsSlice()}
}
