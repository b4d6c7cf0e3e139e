package model

import (
	"context"
	"net"
	"net/http"
)

// Transport opens the listeners of a node and its connections to other nodes.
// It adds TLS where keys are set. The plug-in "transport" provides it.
type Transport interface {
	// HandlePeer serves pattern, as in http.ServeMux, on the peer listener. It
	// must be called before the transport starts.
	HandlePeer(pattern string, handler http.Handler)
	// HandleCalls serves all requests on the callers' listener. It must be
	// called once, before the transport starts. If the handler implements
	// httpserver.Handler, pipelined requests may be handled concurrently.
	HandleCalls(handler http.Handler)
	// DialPeer connects to the peer address of a node. The connection is
	// encrypted and authenticated when keys are set, so URLs keep the scheme
	// http.
	DialPeer(ctx context.Context, address string) (net.Conn, error)
	// DialTarget connects to the target beside the node, and DialPlatform to the
	// platform.
	DialTarget(ctx context.Context, address string) (net.Conn, error)
	DialPlatform(ctx context.Context, address string) (net.Conn, error)
	// PeerIdentity returns the host ID in the client certificate of r. It returns
	// the empty string when no keys are set.
	PeerIdentity(r *http.Request) HostID
}
