// Package draining is the plug-in that takes a node out of service without
// aborting calls in flight.
package draining

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "draining",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"membership", "operator"},
		New:      func() kernel.Plugin { return newDraining() },
	})
}

const (
	defaultLinger = 2 * time.Second
	// defaultLimit is the longest deadline of a call, 30 s, plus one second.
	defaultLimit = 31 * time.Second
)

// Causes of draining, as logged.
const (
	causeHostList = "host list"
	causeOperator = "operator"
	causeStop     = "stop"
)

// Settings are the settings of the plug-in.
type Settings struct {
	// Linger is how long a draining node still accepts calls in the entry role,
	// so that callers and peers learn that it is leaving.
	Linger jsonc.Duration `json:"linger"`
	// Limit is how long calls in flight may take after Linger.
	Limit jsonc.Duration `json:"limit"`
}

// Draining implements model.Drainer.
type Draining struct {
	*drainer
	settings Settings
	doc      *jsonc.Document
	host     model.HostID
}

func newDraining() *Draining {
	return &Draining{settings: Settings{
		Linger: jsonc.Duration(defaultLinger),
		Limit:  jsonc.Duration(defaultLimit),
	}}
}

// Provision implements kernel.Plugin. It reads the settings and provides the
// model.Drainer.
func (d *Draining) Provision(ctx *kernel.Context) error {
	d.doc = ctx.Settings(&d.settings)
	d.host = ctx.Host().ID
	fleet, err := kernel.Lookup[model.Fleet](ctx)
	if err != nil {
		return err
	}
	mux, err := kernel.Lookup[model.OperatorMux](ctx)
	if err != nil {
		return err
	}
	d.drainer = newDrainer(ctx, &d.settings, fleet)
	fleet.Subscribe(d.drainIfLeaving)
	mux.HandleRaw("/v1/drain", http.HandlerFunc(d.serveDrain))
	ctx.Metrics().Set("stage", expvar.Func(func() any { return d.Stage().String() }))
	ctx.Metrics().Set("in_flight_entry", expvar.Func(func() any { return d.inFlight(model.RoleEntry) }))
	ctx.Metrics().Set("in_flight_target", expvar.Func(func() any { return d.inFlight(model.RoleTarget) }))
	d.requireServing(ctx)
	kernel.Provide[model.Drainer](ctx, d)
	return nil
}

// requireServing makes a draining node not ready. It does nothing if no plug-in
// provides model.Readiness.
func (d *Draining) requireServing(ctx *kernel.Context) {
	readiness, err := kernel.Lookup[model.Readiness](ctx)
	if err != nil {
		return
	}
	readiness.Require("draining", func() error {
		if stage := d.Stage(); stage != model.StageServing {
			return errors.Errorf("the node is %s", stage)
		}
		return nil
	})
}

// Validate implements kernel.Validator.
func (d *Draining) Validate(findings *finding.List) {
	d.doc.RequireNonNegative(findings, jsonc.NonNegative{Field: "linger", Value: float64(d.settings.Linger)})
	if d.settings.Limit <= 0 {
		findings.Errorf(d.doc.Place("limit"), "must be above 0")
	}
}

// Start implements kernel.Starter. A node that drains before it starts to serve does
// not linger.
func (d *Draining) Start(_ context.Context) error {
	d.serving.Store(true)
	return nil
}

// Stop implements kernel.Stopper. It drains the node, unless that has already begun,
// and waits for the end of draining. It returns the error of ctx if that ends first.
func (d *Draining) Stop(ctx context.Context) error {
	d.Drain(causeStop)
	select {
	case <-d.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drainIfLeaving drains the node once the host list marks its host as leaving.
func (d *Draining) drainIfLeaving(v *model.View) {
	if self := v.ByID[d.host]; self != nil && self.Leaving {
		d.Drain(causeHostList)
	}
}

// serveDrain handles POST /v1/drain, with which an operator drains the node.
func (d *Draining) serveDrain(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "use POST to drain the node", http.StatusMethodNotAllowed)
		return
	}
	d.Drain(causeOperator)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write([]byte(`{"stage":"` + d.Stage().String() + `"}` + "\n")) // fails only if the client has disconnected
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Draining)(nil)
	_ kernel.Validator = (*Draining)(nil)
	_ kernel.Starter   = (*Draining)(nil)
	_ kernel.Stopper   = (*Draining)(nil)
	_ model.Drainer    = (*Draining)(nil)
)
