// Package metrics is the plug-in that serves the metrics of all plug-ins in the text
// format of Prometheus.
package metrics

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/auxserver"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "metrics",
		Profile: kernel.ProfileSidecar,
		New:     func() kernel.Plugin { return &Metrics{} },
	})
}

const (
	// path is the URL path of the metrics.
	path = "/metrics"
	// contentType is the content type of the Prometheus text format.
	contentType = "text/plain; version=0.0.4; charset=utf-8"
)

// Settings are the settings of the plug-in.
type Settings struct {
	// Address is the address, IP:port, on which the metrics are served; if empty,
	// they are not served.
	Address string `json:"address"`
}

// Metrics is the plug-in.
type Metrics struct {
	settings Settings
	doc      *jsonc.Document
	all      *expvar.Map
	server   *http.Server
}

// Provision reads the settings.
func (m *Metrics) Provision(ctx *kernel.Context) error {
	m.doc = ctx.Settings(&m.settings)
	m.all = ctx.AllMetrics()
	return nil
}

// Validate checks the address.
func (m *Metrics) Validate(findings *finding.List) {
	if m.settings.Address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(m.settings.Address); err != nil {
		findings.Errorf(m.doc.Place("address"), "%q is not an IP address and port", m.settings.Address)
	}
}

// Start opens the address and serves the metrics.
func (m *Metrics) Start(_ context.Context) error {
	if m.settings.Address == "" {
		return nil
	}
	listener, err := auxserver.Listen(m.settings.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, m.serve)
	m.server = auxserver.New(mux)
	go func() { _ = m.server.Serve(listener) }() // ends with ErrServerClosed at Stop
	return nil
}

// Stop closes the address and all connections.
func (m *Metrics) Stop(_ context.Context) error {
	if m.server == nil {
		return nil
	}
	return m.server.Close()
}

func (m *Metrics) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_ = write(w, m.all) // fails only if the client has disconnected
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Metrics)(nil)
	_ kernel.Validator = (*Metrics)(nil)
	_ kernel.Starter   = (*Metrics)(nil)
	_ kernel.Stopper   = (*Metrics)(nil)
)
