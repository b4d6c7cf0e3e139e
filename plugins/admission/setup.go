// Package admission is the plug-in that decides at the target-side node which
// calls may start: within an adaptive concurrency limit, divided by the callers'
// shares, and within the callers' rates.
package admission

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/sirupsen/logrus"
)

const (
	defaultQueueWait    = 50 * time.Millisecond
	maxQueueWait        = time.Second
	defaultQueuePerSlot = 1.0
	maxQueuePerSlot     = 10.0
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "admission",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"membership", "operator"},
		New:      func() kernel.Plugin { return newAdmission() },
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// Policy is "fair", or "first-come" as a baseline for measurements.
	Policy string `json:"policy"`
	// QueueWait is the longest wait for a slot. The mean service time applies
	// instead if it is longer, so that a call can wait for the next slot.
	QueueWait jsonc.Duration `json:"queue_wait"`
	// QueuePerSlot is the number of calls that may wait per slot of the limit.
	QueuePerSlot float64 `json:"queue_per_slot"`
}

var (
	eventOverloaded = event.Define(event.Event{
		Number:  1600,
		Level:   logrus.WarnLevel,
		Message: "target is overloaded",
		Fields:  []string{"service", "limit", "slots", "in_excess"},
		Meaning: "The callers' demand exceeds the capacity of the target; calls are rejected. in_excess names the callers whose demand exceeds their fair share of the nominal capacity.",
		Action:  "Read the report of the service; contact the owners of the callers named, or repair the target.",
	})
	eventRelieved = event.Define(event.Event{
		Number:  1601,
		Level:   logrus.InfoLevel,
		Message: "target is no longer overloaded",
		Fields:  []string{"service", "limit", "slots"},
		Meaning: "No call has been rejected for lack of a slot for several seconds.",
		Action:  "None.",
	})
)

// Admission implements model.Admitter.
type Admission struct {
	settings Settings
	doc      *jsonc.Document
	ctx      *kernel.Context
	service  string
	host     model.HostID
	fleet    model.Fleet
	gate     *lockedGate
}

func newAdmission() *Admission {
	return &Admission{settings: Settings{
		Policy:       string(policyFair),
		QueueWait:    jsonc.Duration(defaultQueueWait),
		QueuePerSlot: defaultQueuePerSlot,
	}}
}

// Provision creates the gate and provides the admitter.
func (a *Admission) Provision(ctx *kernel.Context) error {
	a.ctx = ctx
	a.doc = ctx.Settings(&a.settings)
	a.service = ctx.Host().Service
	a.host = ctx.Host().ID
	fleet, err := kernel.Lookup[model.Fleet](ctx)
	if err != nil {
		return err
	}
	mux, err := kernel.Lookup[model.OperatorMux](ctx)
	if err != nil {
		return err
	}
	a.fleet = fleet
	a.gate = newLockedGate(a.gateSettings())
	fleet.Subscribe(a.updateNodes)
	mux.Handle("/v1/explain", a.explainPage)
	addMetrics(ctx.Metrics(), a.gate)
	kernel.Provide[model.Admitter](ctx, a)
	return nil
}

func (a *Admission) gateSettings() gateSettings {
	return gateSettings{
		policy:       policy(a.settings.Policy),
		queueWait:    a.settings.QueueWait.Std(),
		queuePerSlot: a.settings.QueuePerSlot,
	}
}

// Validate checks the settings.
func (a *Admission) Validate(findings *finding.List) {
	if p := policy(a.settings.Policy); p != policyFair && p != policyFirstCome {
		findings.Errorf(a.doc.Place("policy"), "%q is neither %q nor %q", p, policyFair, policyFirstCome)
	}
	if w := a.settings.QueueWait.Std(); w < 0 || w > maxQueueWait {
		findings.Errorf(a.doc.Place("queue_wait"), "must be from 0s to %s", maxQueueWait)
	}
	if q := a.settings.QueuePerSlot; !(q >= 0 && q <= maxQueuePerSlot) {
		findings.Errorf(a.doc.Place("queue_per_slot"), "must be from 0 to %g", maxQueuePerSlot)
	}
}

// Start starts the reporting of overload.
func (a *Admission) Start(_ context.Context) error {
	a.updateNodes(a.fleet.View())
	a.ctx.Go("report", a.reportOverload)
	return nil
}

// updateNodes sets the number of nodes that rates are divided over from a view.
func (a *Admission) updateNodes(v *model.View) {
	a.gate.setNodes(countRateNodes(v, a.service, a.host))
}

// countRateNodes returns the number of target-side nodes over which the rates of a
// service are divided: those that take calls according to the view, and self.
func countRateNodes(v *model.View, service string, self model.HostID) int {
	nodes := 0
	counted := false
	for _, m := range v.ByService[service] {
		takesCalls := m.State == model.MemberLive || m.State == model.MemberSuspected
		if takesCalls || m.ID == self {
			nodes++
		}
		counted = counted || m.ID == self
	}
	if !counted {
		nodes++
	}
	return nodes
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Admission)(nil)
	_ kernel.Validator = (*Admission)(nil)
	_ kernel.Starter   = (*Admission)(nil)
	_ model.Admitter   = (*Admission)(nil)
	_ model.Permit     = (*permit)(nil)
)
