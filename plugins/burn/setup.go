// Package burn is the plug-in that records finished calls and computes from them the
// burn rate of each service's error budget, and which callers or target caused it.
package burn

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
	// recordCapacity is the size, in records, of the ring between the calls and
	// the goroutine that counts them. A full ring rejects new records, so that
	// a call never blocks; dropped records are counted.
	recordCapacity = 8192

	defaultShortWindow = 5 * time.Minute
	defaultLongWindow  = time.Hour
	defaultAlertBurn   = 14.4 // uses up 2% of a 30-day error budget in one hour
	minShortWindow     = 3 * time.Second
	maxLongWindow      = 24 * time.Hour
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "burn",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"operator"},
		New:      func() kernel.Plugin { return newBurn() },
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// ShortWindow and LongWindow are the sliding windows over which the burn rate
	// is computed.
	ShortWindow jsonc.Duration `json:"short_window"`
	LongWindow  jsonc.Duration `json:"long_window"`
	// AlertBurn is the burn rate that both windows must reach for an event to be
	// logged.
	AlertBurn float64 `json:"alert_burn"`
}

var (
	eventFastBurn = event.Define(event.Event{
		Number:  2000,
		Level:   logrus.WarnLevel,
		Message: "error budget burns fast",
		Fields:  []string{"service", "short_burn", "long_burn", "cause", "verdict"},
		Meaning: "Over both the short and the long window, calls that entered at this node miss the service's objective at a rate that reaches the alert threshold. The verdict names the callers or the target that caused it.",
		Action:  "Run bronzemast report for the service and follow docs/operators/overload.md.",
	})
	eventFastBurnOver = event.Define(event.Event{
		Number:  2001,
		Level:   logrus.InfoLevel,
		Message: "error budget no longer burns fast",
		Fields:  []string{"service", "short_burn"},
		Meaning: "The burn rate over the short window is below the alert threshold again.",
		Action:  "None.",
	})
)

// Burn is the plug-in. It implements model.Recorder.
type Burn struct {
	settings   Settings
	doc        *jsonc.Document
	ctx        *kernel.Context
	records    *kernel.Ring[model.CallRecord]
	aggregator *aggregator
	metrics    *metrics
	alerting   map[string]bool
}

func newBurn() *Burn {
	return &Burn{
		settings: Settings{
			ShortWindow: jsonc.Duration(defaultShortWindow),
			LongWindow:  jsonc.Duration(defaultLongWindow),
			AlertBurn:   defaultAlertBurn,
		},
		alerting: map[string]bool{},
	}
}

// Provision reads the settings, provides the recorder and registers the pages.
func (b *Burn) Provision(ctx *kernel.Context) error {
	b.ctx = ctx
	b.doc = ctx.Settings(&b.settings)
	b.records = kernel.NewRing[model.CallRecord](recordCapacity, kernel.RejectNew)
	b.aggregator = newAggregator(b.steps())
	b.metrics = newMetrics(ctx.Metrics(), b.aggregator)
	mux, err := kernel.Lookup[model.OperatorMux](ctx)
	if err != nil {
		return err
	}
	mux.Handle("/v1/report", b.reportPage)
	mux.Handle("/v1/calls", b.callsPage)
	kernel.Provide[model.Recorder](ctx, b)
	return nil
}

// steps returns the bucket lengths of both windows. Windows that are too short,
// which Validate rejects, are raised to their minimum.
func (b *Burn) steps() windowSteps {
	short := max(b.settings.ShortWindow.Std(), minShortWindow)
	return newWindowSteps(short, max(b.settings.LongWindow.Std(), short))
}

// Validate checks the windows and the alert threshold.
func (b *Burn) Validate(findings *finding.List) {
	short, long := b.settings.ShortWindow.Std(), b.settings.LongWindow.Std()
	if short < minShortWindow {
		findings.Errorf(b.doc.Place("short_window"), "must be at least %s", minShortWindow)
	}
	if long <= short || long > maxLongWindow {
		findings.Errorf(b.doc.Place("long_window"), "must be above the short window and at most %s", maxLongWindow)
	}
	if !(b.settings.AlertBurn > 0) {
		findings.Errorf(b.doc.Place("alert_burn"), "must be above 0")
	}
}

// Start starts the goroutines that count records and check for alerts.
func (b *Burn) Start(_ context.Context) error {
	b.ctx.Go("count", b.count)
	b.ctx.Go("alert", b.runAlerts)
	return nil
}

// Record queues a call for counting. It never blocks: a full ring drops the record.
func (b *Burn) Record(r model.CallRecord) {
	if b.records.Put(context.Background(), r) != nil {
		b.metrics.dropped.Add(1)
	}
}

func (b *Burn) count(ctx context.Context) {
	for {
		r, err := b.records.Get(ctx)
		if err != nil {
			return
		}
		b.countRecord(r)
	}
}

// unknownService collects calls that name a service outside of the release, so
// that callers cannot create series with invented names.
const unknownService = "(unknown)"

func (b *Burn) countRecord(r model.CallRecord) {
	s := b.snapshot()
	var objective time.Duration
	if service := serviceOf(s, r.Service); service != nil {
		objective = service.Objective.Latency
	} else {
		r.Service = unknownService
	}
	b.aggregator.add(r, objective)
	b.metrics.recorded.Add(1)
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Burn)(nil)
	_ kernel.Validator = (*Burn)(nil)
	_ kernel.Starter   = (*Burn)(nil)
	_ model.Recorder   = (*Burn)(nil)
)
