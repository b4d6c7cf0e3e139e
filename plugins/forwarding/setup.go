// Package forwarding is the plug-in that proxies calls. The entry node receives
// a caller's request and forwards it to the target-side node, which runs beside
// the target and calls it over loopback.
package forwarding

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/internal/unknownheader"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "forwarding",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"transport", "distribution", "membership", "balancing", "admission", "draining", "burn", "quarantine"},
		New:      func() kernel.Plugin { return newForwarding() },
	})
}

const (
	defaultMaxBodyBytes   = 16 << 20
	defaultRetryBodyBytes = 64 << 10
	defaultMaxAttempts    = 4
	defaultConnectTimeout = 500 * time.Millisecond
	defaultSilence        = 150 * time.Millisecond
	defaultTokenAge       = 60 * time.Second
	defaultLedgerEntries  = 1 << 18
	// tokenUseFraction is the fraction of the maximum token age up to which the
	// entry role uses a token, so that the token does not expire in transit.
	tokenUseFraction = 0.9
	// retentionSlack is added to the minimum retention of the ledger.
	retentionSlack = 5 * time.Second
)

// Settings configures the plug-in.
type Settings struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RetryBodyBytes is the maximum size of a request body that is buffered for
	// retries.
	RetryBodyBytes int `json:"retry_body_bytes"`
	// MaxAttempts is the maximum number of attempts per call, the first included.
	MaxAttempts int `json:"max_attempts"`
	// ConnectTimeout is the timeout for connecting to another node.
	ConnectTimeout jsonc.Duration `json:"connect_timeout"`
	// Silence is the minimum time without a response, measured from sending the
	// attempt, after which the entry role first inquires about it.
	Silence jsonc.Duration `json:"silence"`
	// TokenAge is the maximum age of a fencing token that admits attempts.
	TokenAge jsonc.Duration `json:"token_age"`
	// LedgerEntries is the maximum number of attempts in the target-side ledger.
	LedgerEntries int `json:"ledger_entries"`
	// UnlimitedRetries disables the retry budgets, as a baseline for
	// measurements.
	UnlimitedRetries bool `json:"unlimited_retries"`
}

// maxTokenUseAge returns the age up to which the entry role uses a token.
func (s *Settings) maxTokenUseAge() time.Duration {
	return time.Duration(float64(s.TokenAge) * tokenUseFraction)
}

// Forwarding implements the entry and target-side roles of a node.
type Forwarding struct {
	settings   Settings
	doc        *jsonc.Document
	entry      *entry
	targetSide *targetSide
	drainer    model.Drainer
}

func newForwarding() *Forwarding {
	return &Forwarding{settings: Settings{
		MaxBodyBytes:   defaultMaxBodyBytes,
		RetryBodyBytes: defaultRetryBodyBytes,
		MaxAttempts:    defaultMaxAttempts,
		ConnectTimeout: jsonc.Duration(defaultConnectTimeout),
		Silence:        jsonc.Duration(defaultSilence),
		TokenAge:       jsonc.Duration(defaultTokenAge),
		LedgerEntries:  defaultLedgerEntries,
	}}
}

// dependencies holds the interfaces that other plug-ins provide.
type dependencies struct {
	transport     model.Transport
	configuration model.Configuration
	fleet         model.Fleet
	balancer      model.Balancer
	admitter      model.Admitter
	drainer       model.Drainer
	recorder      model.Recorder
	quarantine    model.Quarantine
}

// Provision reads the settings and registers both roles with the listeners.
func (f *Forwarding) Provision(ctx *kernel.Context) error {
	f.doc = ctx.Settings(&f.settings)
	d, err := lookupDependencies(ctx)
	if err != nil {
		return err
	}
	f.drainer = d.drainer
	m := newMetrics(ctx.Metrics())
	f.entry = f.newEntry(ctx, d, m)
	f.targetSide = f.newTargetSide(ctx, d, m)
	ctx.Metrics().Set("ledger_entries", expvar.Func(func() any { return f.targetSide.ledgerSize() }))
	d.transport.HandleCalls(f.entry)
	d.transport.HandlePeer("POST "+pathCall+"/", f.targetSide)
	d.transport.HandlePeer("GET "+pathToken, http.HandlerFunc(f.targetSide.serveToken))
	d.transport.HandlePeer("POST "+pathInquire, http.HandlerFunc(f.targetSide.serveInquiry))
	d.fleet.Subscribe(f.entry.peers.retain)
	d.quarantine.SetPeers(func() []string { return peerAddresses(d.fleet.View()) })
	return nil
}

func lookupDependencies(ctx *kernel.Context) (dependencies, error) {
	var d dependencies
	for _, lookup := range []func() error{
		func() (err error) { d.transport, err = kernel.Lookup[model.Transport](ctx); return },
		func() (err error) { d.configuration, err = kernel.Lookup[model.Configuration](ctx); return },
		func() (err error) { d.fleet, err = kernel.Lookup[model.Fleet](ctx); return },
		func() (err error) { d.balancer, err = kernel.Lookup[model.Balancer](ctx); return },
		func() (err error) { d.admitter, err = kernel.Lookup[model.Admitter](ctx); return },
		func() (err error) { d.drainer, err = kernel.Lookup[model.Drainer](ctx); return },
		func() (err error) { d.recorder, err = kernel.Lookup[model.Recorder](ctx); return },
		func() (err error) { d.quarantine, err = kernel.Lookup[model.Quarantine](ctx); return },
	} {
		if err := lookup(); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (f *Forwarding) newEntry(ctx *kernel.Context, d dependencies, m *metrics) *entry {
	return &entry{
		settings:      &f.settings,
		host:          ctx.Host().ID,
		incarnation:   ctx.Incarnation(),
		hooks:         ctx.Hooks(),
		metrics:       m,
		configuration: d.configuration,
		fleet:         d.fleet,
		balancer:      d.balancer,
		drainer:       d.drainer,
		recorder:      d.recorder,
		peers:         newPeers(d.transport, f.settings.ConnectTimeout.Std()),
		budgets:       newBudgets(f.settings.UnlimitedRetries),
		splitter:      &ingress.Splitter{},
		quarantine:    d.quarantine,
	}
}

func (f *Forwarding) newTargetSide(ctx *kernel.Context, d dependencies, m *metrics) *targetSide {
	tokenAge := f.settings.TokenAge.Std()
	retention := tokenAge + config.MaxDeadline + retentionSlack
	crashes := quarantine.NewDetector()
	return &targetSide{
		settings:      &f.settings,
		host:          ctx.Host(),
		hooks:         ctx.Hooks(),
		metrics:       m,
		configuration: d.configuration,
		drainer:       d.drainer,
		admitter:      d.admitter,
		recorder:      d.recorder,
		transport:     d.transport,
		target:        newTarget(ctx.NodeSettings().TargetAddress, reportReached(crashes, d.transport.DialTarget)),
		unknownHeaders: &unknownheader.Recorder{Counts: &m.unknownHeaders, OnNew: func(name string) {
			ctx.Log().Emit(eventUnknownHeader, event.Fields{"header": name})
		}},
		processStart: time.Now(),
		quarantine:   d.quarantine,
		crashes:      crashes,
		isolation:    quarantine.NewIsolation(),
		log:          ctx.Log(),
		ledger:       newLedger(ctx.Incarnation(), f.settings.LedgerEntries, tokenAge, retention),
	}
}

// Validate requires all limits to be positive.
func (f *Forwarding) Validate(findings *finding.List) {
	f.doc.RequirePositive(findings,
		jsonc.Positive{Field: "max_body_bytes", Value: float64(f.settings.MaxBodyBytes)},
		jsonc.Positive{Field: "retry_body_bytes", Value: float64(f.settings.RetryBodyBytes)},
		jsonc.Positive{Field: "max_attempts", Value: float64(f.settings.MaxAttempts)},
		jsonc.Positive{Field: "connect_timeout", Value: float64(f.settings.ConnectTimeout)},
		jsonc.Positive{Field: "silence", Value: float64(f.settings.Silence)},
		jsonc.Positive{Field: "token_age", Value: float64(f.settings.TokenAge)},
		jsonc.Positive{Field: "ledger_entries", Value: float64(f.settings.LedgerEntries)},
	)
}

// Stop drains the node and waits for the calls in flight: the plug-ins and
// listeners that they depend on are stopped after this one.
func (f *Forwarding) Stop(ctx context.Context) error {
	f.drainer.Drain("stop")
	defer f.entry.peers.close()
	defer f.targetSide.target.close()
	select {
	case <-f.drainer.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Forwarding)(nil)
	_ kernel.Validator = (*Forwarding)(nil)
	_ kernel.Stopper   = (*Forwarding)(nil)
)
