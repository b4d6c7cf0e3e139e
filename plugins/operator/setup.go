// Package operator is the plug-in that serves the HTTP pages for operators: metrics,
// health, readiness, recent events, and the pages of other plug-ins.
package operator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/auxserver"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	defaultAddress = "127.0.0.1:7070"
	defaultEvents  = 512
	maxEvents      = 65536
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "operator",
		Profile: kernel.ProfileFleet,
		New:     func() kernel.Plugin { return newOperator() },
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// Address is the IP address and port on which the pages are served.
	Address string `json:"address"`
	// AllowRemote permits an address that is not a loopback address.
	AllowRemote bool `json:"allow_remote"`
	// Events is the number of recent events that are kept in memory.
	Events int `json:"events"`
}

var (
	eventServing = event.Define(event.Event{
		Number:  1900,
		Level:   logrus.InfoLevel,
		Message: "operator address is open",
		Fields:  []string{"address"},
		Meaning: "The pages for operators are served at the address.",
		Action:  "None.",
	})
	eventServeFailed = event.Define(event.Event{
		Number:  1901,
		Level:   logrus.ErrorLevel,
		Message: "operator address failed",
		Fields:  []string{"error"},
		Meaning: "Serving the operator address ended with an error. Calls are not affected.",
		Action:  "Restart the node if its pages are needed.",
	})
	eventLatePage = event.Define(event.Event{
		Number:  1902,
		Level:   logrus.ErrorLevel,
		Message: "page added after the start",
		Fields:  []string{"path"},
		Meaning: "A plug-in added a page after the operator address was opened; the page is not served.",
		Action:  "Report the fault in the plug-in.",
	})
)

// Operator implements model.OperatorMux and model.Readiness.
type Operator struct {
	settings Settings
	doc      *jsonc.Document
	ctx      *kernel.Context
	recent   *recentEvents
	metrics  *metrics

	mu      sync.Mutex
	started bool
	pages   []page
	checks  []readinessCheck
	// boundAddress is the address, IP:port, that the plug-in listens on.
	boundAddress string
	server       *http.Server
}

func newOperator() *Operator {
	return &Operator{settings: Settings{Address: defaultAddress, Events: defaultEvents}}
}

// Provision reads the settings and provides the operator mux and readiness.
func (o *Operator) Provision(ctx *kernel.Context) error {
	o.ctx = ctx
	o.doc = ctx.Settings(&o.settings)
	o.metrics = newMetrics(ctx.Metrics())
	o.recent = newRecentEvents(min(max(o.settings.Events, 1), maxEvents))
	if log := ctx.Log(); log != nil {
		log.Observe(o.recent.add)
	}
	o.addBuiltinPages()
	kernel.Provide[model.OperatorMux](ctx, o)
	kernel.Provide[model.Readiness](ctx, o)
	return nil
}

// Validate checks the address and the number of events.
func (o *Operator) Validate(findings *finding.List) {
	address, err := netip.ParseAddrPort(o.settings.Address)
	switch {
	case err != nil:
		findings.Errorf(o.doc.Place("address"), "%q is not an IP address and port", o.settings.Address)
	case !address.Addr().IsLoopback() && !o.settings.AllowRemote:
		findings.Errorf(o.doc.Place("address"), "%s is not a loopback address; set allow_remote to open the pages to other hosts", address.Addr())
	}
	if o.settings.Events < 1 || o.settings.Events > maxEvents {
		findings.Errorf(o.doc.Place("events"), "must be from 1 to %d", maxEvents)
	}
}

// Start opens the operator address. All plug-ins have added their pages by then.
func (o *Operator) Start(_ context.Context) error {
	o.addBuiltinChecks()
	handler, err := o.buildRouter()
	if err != nil {
		return err
	}
	listener, err := auxserver.Listen(o.settings.Address)
	if err != nil {
		return errors.Wrap(err, "open operator address")
	}
	o.server = auxserver.New(handler)
	o.setBoundAddress(listener.Addr().String())
	o.ctx.Go("serve", func(context.Context) { o.serve(listener) })
	o.ctx.Log().Emit(eventServing, event.Fields{"address": o.Address()})
	return nil
}

func (o *Operator) serve(listener net.Listener) {
	err := o.server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		o.ctx.Log().Emit(eventServeFailed, event.Fields{"error": err.Error()})
	}
}

// Stop closes the operator address after the requests in flight have ended, or at once
// when ctx ends.
func (o *Operator) Stop(ctx context.Context) error {
	if o.server == nil {
		return nil
	}
	if err := o.server.Shutdown(ctx); err != nil {
		return errors.Wrap(o.server.Close(), "close operator address")
	}
	return nil
}

func (o *Operator) setBoundAddress(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.boundAddress = address
}

// Address returns the bound address, which is empty before the start.
func (o *Operator) Address() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.boundAddress
}

// Interface guards.
var (
	_ kernel.Plugin     = (*Operator)(nil)
	_ kernel.Validator  = (*Operator)(nil)
	_ kernel.Starter    = (*Operator)(nil)
	_ kernel.Stopper    = (*Operator)(nil)
	_ model.OperatorMux = (*Operator)(nil)
	_ model.Readiness   = (*Operator)(nil)
)
