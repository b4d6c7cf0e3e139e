package simfleet

import (
	"context"
	"net"
	"net/http"

	"github.com/bronzemast/bronzemast/internal/memnet"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// transport implements model.Transport on an in-memory network.
type transport struct {
	network *memnet.Network
	// onCall is Options.OnCall.
	onCall  func(id model.HostID, requestID string)
	host    model.Host
	mux     *http.ServeMux
	calls   http.Handler
	servers []*http.Server
}

func newTransport(network *memnet.Network, onCall func(id model.HostID, requestID string)) *transport {
	return &transport{network: network, onCall: onCall, mux: http.NewServeMux(), calls: http.NotFoundHandler()}
}

// Provision implements kernel.Plugin.
func (t *transport) Provision(ctx *kernel.Context) error {
	t.host = ctx.Host()
	kernel.Provide[model.Transport](ctx, t)
	return nil
}

// Start opens the listeners for peers and calls.
func (t *transport) Start(_ context.Context) error {
	if err := t.serve(t.host.PeerAddress, t.mux); err != nil {
		return err
	}
	return t.serve(t.host.CallAddress, t.calls)
}

func (t *transport) serve(address string, handler http.Handler) error {
	server, err := serve(t.network, string(t.host.ID), address, handler)
	if err != nil {
		return err
	}
	t.servers = append(t.servers, server)
	return nil
}

// Stop closes the listeners and waits for the requests in flight until ctx ends.
func (t *transport) Stop(ctx context.Context) error {
	for _, s := range t.servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close() // ctx has ended before the requests in flight
		}
	}
	return nil
}

// HandlePeer implements model.Transport.
func (t *transport) HandlePeer(pattern string, handler http.Handler) {
	t.mux.Handle(pattern, handler)
}

// HandleCalls implements model.Transport.
func (t *transport) HandleCalls(handler http.Handler) {
	t.calls = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.onCall != nil {
			t.onCall(t.host.ID, r.Header.Get(model.HeaderRequestID))
		}
		handler.ServeHTTP(w, r)
	})
}

// PeerIdentity implements model.Transport.
func (t *transport) PeerIdentity(*http.Request) model.HostID {
	return ""
}

// DialPeer implements model.Transport.
func (t *transport) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	return t.dial(ctx, address)
}

// DialTarget implements model.Transport.
func (t *transport) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	return t.dial(ctx, address)
}

// DialPlatform implements model.Transport.
func (t *transport) DialPlatform(ctx context.Context, address string) (net.Conn, error) {
	return t.dial(ctx, address)
}

func (t *transport) dial(ctx context.Context, address string) (net.Conn, error) {
	return t.network.Dial(ctx, string(t.host.ID), address)
}

// serve starts an HTTP server at an address of a host. It runs until it is closed.
func serve(network *memnet.Network, host, address string, handler http.Handler) (*http.Server, error) {
	listener, err := network.Listen(host, address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed after Close
	return server, nil
}

// operator implements model.OperatorMux without a listener.
type operator struct{}

// Provision implements kernel.Plugin.
func (o *operator) Provision(ctx *kernel.Context) error {
	kernel.Provide[model.OperatorMux](ctx, o)
	return nil
}

// Handle implements model.OperatorMux.
func (*operator) Handle(string, func(*http.Request) (any, error)) {}

// HandleRaw implements model.OperatorMux.
func (*operator) HandleRaw(string, http.Handler) {}

// Address implements model.OperatorMux.
func (*operator) Address() string { return "" }

// Interface guards.
var (
	_ kernel.Plugin     = (*transport)(nil)
	_ kernel.Starter    = (*transport)(nil)
	_ kernel.Stopper    = (*transport)(nil)
	_ model.Transport   = (*transport)(nil)
	_ kernel.Plugin     = (*operator)(nil)
	_ model.OperatorMux = (*operator)(nil)
)
