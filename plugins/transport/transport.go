package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/connbudget"
	"github.com/bronzemast/bronzemast/internal/httpserver"
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

// newBudget returns the budget of the connections of a node that may use memoryMB of memory.
func newBudget(memoryMB float64) *connbudget.Budget {
	return connbudget.New(int64(memoryMB * clientMemoryShare * bytesPerMB))
}

// server serves the requests of a listener.
type server interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// serve opens a listener and serves its requests until Stop. limit is the maximum
// number of open connections; config is nil for a listener without TLS.
func (t *Transport) serve(address string, limit int, config *tls.Config, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	listener = t.budget.Listen(listener, limit)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	s := t.newServer(handler, config != nil)
	t.servers = append(t.servers, s)
	t.listeners = append(t.listeners, listener)
	go func() { _ = s.Serve(listener) }() // ends with ErrServerClosed at Stop
	return nil
}

// newServer returns a server that handles pipelined requests concurrently if the handler
// allows for it. With TLS, callers may use HTTP/2 instead, which only net/http serves.
func (t *Transport) newServer(handler http.Handler, encrypted bool) server {
	if concurrent, ok := handler.(httpserver.Handler); ok && !encrypted {
		return httpserver.New(concurrent, httpserver.Options{
			Limits: httpserver.Limits{
				HeaderTimeout:  t.settings.HeaderTimeout.Std(),
				IdleTimeout:    t.settings.IdleTimeout.Std(),
				MaxHeaderBytes: t.settings.MaxHeaderBytes,
			},
			MaxConcurrentPerConn: t.settings.MaxConcurrentPerConnection,
			MaxConcurrentAhead:   t.settings.MaxConcurrentAhead,
			LogError:             func(message string) { _, _ = connectionLog{t.log}.Write([]byte(message)) }, // never fails
		})
	}
	s := &http.Server{
		Handler:           limitBodyTime(handler, bodyTimeout),
		ReadHeaderTimeout: t.settings.HeaderTimeout.Std(),
		IdleTimeout:       t.settings.IdleTimeout.Std(),
		MaxHeaderBytes:    t.settings.MaxHeaderBytes,
		ErrorLog:          log.New(connectionLog{t.log}, "", 0),
	}
	connbudget.Track(s)
	return s
}

// limitBodyTime bounds the time to read the body of a request. net/http does not: a body that stops
// holds its connection while the rest of it is discarded. A handler may set another read deadline.
func limitBodyTime(handler http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // a lost connection fails anyway
		}
		handler.ServeHTTP(w, r)
	})
}

// connectionLog writes the error log of net/http as events.
type connectionLog struct {
	log *event.Log
}

// Write implements io.Writer.
func (c connectionLog) Write(message []byte) (int, error) {
	c.log.Emit(eventConnectionFailed, event.Fields{"error": strings.TrimSpace(string(message))})
	return len(message), nil
}

func (t *Transport) callServerTLS() *tls.Config {
	if t.callKeys == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := t.callKeys.get()
			return pair, nil
		},
	}
}

func (t *Transport) peerServerTLS() *tls.Config {
	if t.peerKeys == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, authority := t.peerKeys.get()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
				VerifyConnection: func(state tls.ConnectionState) error {
					return requireHostName(state.PeerCertificates)
				},
			}, nil
		},
	}
}

// peerClientTLS returns a configuration that verifies the certificate chain of the
// peer but not its name, because nodes dial IP addresses, which may be reassigned to
// another host. Plug-ins that depend on the name compare it with the host list.
func (t *Transport) peerClientTLS() *tls.Config {
	pair, authority := t.peerKeys.get()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*pair},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, authority)
		},
	}
}

// requireHostName rejects a certificate that names no host, because its owner would be
// treated as a peer without keys.
func requireHostName(chain []*x509.Certificate) error {
	if len(chain) == 0 || len(chain[0].DNSNames) == 0 {
		return errors.New("the peer's certificate names no host")
	}
	return nil
}

// verifyChain verifies that a certificate names a host and was signed by the authority.
func verifyChain(chain []*x509.Certificate, authority *x509.CertPool) error {
	if err := requireHostName(chain); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}
