// Package transport is the plug-in that opens the listeners of a node and dials other
// nodes, with TLS where keys are configured.
package transport

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/connbudget"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/sirupsen/logrus"
)

func init() {
	kernel.Register(kernel.Registration{
		Name: "transport",
		New:  func() kernel.Plugin { return newTransport() },
	})
}

// KeySettings names the files of a key pair in PEM format.
type KeySettings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the file of the certificate authorities that must have signed
	// the certificates of peers. It is used between nodes only.
	Authority string `json:"authority"`
}

// configured reports whether the files of a key pair are set.
func (s KeySettings) configured() bool {
	return s.Certificate != ""
}

// Settings are the settings of the plug-in.
type Settings struct {
	CallKeys KeySettings `json:"call_keys"`
	PeerKeys KeySettings `json:"peer_keys"`
	// PeerListen is the address, IP:port, at which the node listens for peers, if it
	// differs from host.peer_address, at which peers reach the node.
	PeerListen string `json:"peer_listen"`
	// HeaderTimeout bounds the time for reading the headers of a request.
	HeaderTimeout jsonc.Duration `json:"header_timeout"`
	// IdleTimeout is the time without requests after which a connection is closed.
	IdleTimeout jsonc.Duration `json:"idle_timeout"`
	// MaxHeaderBytes bounds the size of the headers of a request.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxCallConnections and MaxPeerConnections bound the number of open connections of each
	// listener. For a further one, the connection that has been idle longest is closed.
	MaxCallConnections int `json:"max_call_connections"`
	MaxPeerConnections int `json:"max_peer_connections"`
	// MemoryMB is the memory of the host that the process may use, in MB. Connections may take a
	// part of it.
	MemoryMB float64 `json:"memory_mb"`
	// MaxConcurrentPerConnection bounds the pipelined requests of one caller's connection
	// that are handled at the same time, and MaxConcurrentAhead those of all connections
	// that are handled while an earlier one of their connection is.
	MaxConcurrentPerConnection int `json:"max_concurrent_per_connection"`
	MaxConcurrentAhead         int `json:"max_concurrent_ahead"`
}

// eventKeysUnreadable is logged when changed key files cannot be read.
var eventKeysUnreadable = event.Define(event.Event{
	Number:  1001,
	Level:   logrus.ErrorLevel,
	Message: "key files cannot be read",
	Fields:  []string{"error"},
	Meaning: "A key file changed and its new contents cannot be used. The previous keys stay in use.",
	Action:  "Install a certificate and key that match.",
})

// eventConnectionFailed is logged for each connection error that net/http reports.
var eventConnectionFailed = event.Define(event.Event{
	Number:  1002,
	Level:   logrus.DebugLevel,
	Message: "connection failed",
	Fields:  []string{"error"},
	Meaning: "A connection from a caller or a peer failed outside of a request, for example during the TLS handshake.",
	Action:  "None for a few. For many, check the peers' keys and the protocol that callers use.",
})

// Transport is the plug-in. It implements model.Transport.
type Transport struct {
	settings Settings
	doc      *jsonc.Document
	host     model.Host
	log      *event.Log

	peerMux     *http.ServeMux
	callHandler http.Handler
	callKeys    *keyPair
	peerKeys    *keyPair
	// budget bounds what the connections of both listeners take.
	budget    *connbudget.Budget
	servers   []server
	listeners []net.Listener
	dialer    net.Dialer
}

func newTransport() *Transport {
	return &Transport{
		settings: Settings{
			HeaderTimeout:      jsonc.Duration(defaultHeaderTimeout),
			IdleTimeout:        jsonc.Duration(defaultIdleTimeout),
			MaxHeaderBytes:     defaultMaxHeaderBytes,
			MaxCallConnections: defaultMaxCallConnections,
			MaxPeerConnections: defaultMaxPeerConnections,
			MemoryMB:           defaultMemoryMB,

			MaxConcurrentPerConnection: defaultMaxConcurrentPerConnection,
			MaxConcurrentAhead:         defaultMaxConcurrentAhead,
		},
		budget:      newBudget(defaultMemoryMB),
		peerMux:     http.NewServeMux(),
		callHandler: http.NotFoundHandler(),
	}
}

// Provision reads the settings and provides the transport.
func (t *Transport) Provision(ctx *kernel.Context) error {
	t.doc = ctx.Settings(&t.settings)
	t.host = ctx.Host()
	t.log = ctx.Log()
	t.budget = newBudget(t.settings.MemoryMB)
	ctx.Metrics().Set("budget", expvar.Func(func() any { return t.budgetMetrics() }))
	t.dialer.LocalAddr = sourceAddress(t.peerListenAddress())
	kernel.Provide[model.Transport](ctx, t)
	return nil
}

// budgetMetrics returns the state of the budget of connections.
func (t *Transport) budgetMetrics() map[string]float64 {
	stats := t.budget.Stats()
	return map[string]float64{
		"connections": float64(stats.Conns),
		"bytes":       float64(stats.Bytes),
		"closed":      float64(stats.Closed),
		"refused":     float64(stats.Refused),
	}
}

// Validate reads the key files and checks the limits.
func (t *Transport) Validate(findings *finding.List) {
	t.callKeys = t.loadKeys("call_keys", t.settings.CallKeys, findings)
	t.peerKeys = t.loadKeys("peer_keys", t.settings.PeerKeys, findings)
	if t.settings.PeerKeys.configured() && t.settings.PeerKeys.Authority == "" {
		findings.Errorf(t.doc.Place("peer_keys.authority"), "must be set with the other peer keys")
	}
	if t.settings.PeerListen != "" {
		if _, err := netip.ParseAddrPort(t.settings.PeerListen); err != nil {
			findings.Errorf(t.doc.Place("peer_listen"), "%q is not an IP address and port", t.settings.PeerListen)
		}
	}
	t.doc.RequirePositive(findings,
		jsonc.Positive{Field: "max_header_bytes", Value: float64(t.settings.MaxHeaderBytes)},
		jsonc.Positive{Field: "max_call_connections", Value: float64(t.settings.MaxCallConnections)},
		jsonc.Positive{Field: "max_peer_connections", Value: float64(t.settings.MaxPeerConnections)},
		jsonc.Positive{Field: "memory_mb", Value: t.settings.MemoryMB},
		jsonc.Positive{Field: "max_concurrent_per_connection", Value: float64(t.settings.MaxConcurrentPerConnection)},
		jsonc.Positive{Field: "max_concurrent_ahead", Value: float64(t.settings.MaxConcurrentAhead)},
		jsonc.Positive{Field: "header_timeout", Value: float64(t.settings.HeaderTimeout)},
		jsonc.Positive{Field: "idle_timeout", Value: float64(t.settings.IdleTimeout)},
	)
}

// loadKeys loads the key pair of a settings field, nil if none is set. A pair that
// cannot be loaded is a finding.
func (t *Transport) loadKeys(field string, s KeySettings, findings *finding.List) *keyPair {
	if !s.configured() {
		return nil
	}
	keys, err := newKeyPair(s, func(err error) {
		t.log.Emit(eventKeysUnreadable, event.Fields{"error": err.Error()})
	})
	if err != nil {
		findings.Errorf(t.doc.Place(field), "%v", err)
	}
	return keys
}

// peerListenAddress returns the address at which the node listens for peers: the
// setting peer_listen, or host.peer_address if it is not set.
func (t *Transport) peerListenAddress() string {
	if t.settings.PeerListen != "" {
		return t.settings.PeerListen
	}
	return t.host.PeerAddress
}

// Start opens both listeners.
func (t *Transport) Start(_ context.Context) error {
	if err := t.serve(t.peerListenAddress(), t.settings.MaxPeerConnections, t.peerServerTLS(), t.peerMux); err != nil {
		return err
	}
	return t.serve(t.host.CallAddress, t.settings.MaxCallConnections, t.callServerTLS(), t.callHandler)
}

// Stop closes both listeners and waits for closeTimeout for the requests in flight.
// Connections that are still open then are closed.
func (t *Transport) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, l := range t.listeners {
		_ = l.Close() // Shutdown does not close it if Serve has not started
	}
	for _, s := range t.servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close() // the time is over; the error of Close adds nothing
		}
	}
	return nil
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Transport)(nil)
	_ kernel.Validator = (*Transport)(nil)
	_ kernel.Starter   = (*Transport)(nil)
	_ kernel.Stopper   = (*Transport)(nil)
	_ model.Transport  = (*Transport)(nil)
)
