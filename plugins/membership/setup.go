// Package membership is the plug-in that tracks the state of the other hosts. It
// combines the platform's host list, the node's own observations and the notices of
// peers.
package membership

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "membership",
		Profile: kernel.ProfileFleet,
		New:     func() kernel.Plugin { return newMembership() },
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// DeadAfter is how long a host that cannot be reached stays suspected before
	// it is dead, from the first failed attempt to connect.
	DeadAfter jsonc.Duration `json:"dead_after"`
	// TrustAlive is how long evidence that a host is up takes precedence over
	// notices that it has failed. A node without such evidence of any host for as
	// long does not announce failures.
	TrustAlive jsonc.Duration `json:"trust_alive"`
	// RecheckAfter is how long a host stays dead by notices alone before the node
	// tries to connect to it.
	RecheckAfter jsonc.Duration `json:"recheck_after"`
	// ViewInterval is the shortest time between two published views of the fleet.
	ViewInterval jsonc.Duration `json:"view_interval"`
}

const (
	defaultDeadAfter    = 3 * time.Second
	defaultTrustAlive   = 3 * time.Second
	defaultRecheckAfter = 30 * time.Second
	defaultViewInterval = 100 * time.Millisecond
)

func defaultSettings() Settings {
	return Settings{
		DeadAfter:    jsonc.Duration(defaultDeadAfter),
		TrustAlive:   jsonc.Duration(defaultTrustAlive),
		RecheckAfter: jsonc.Duration(defaultRecheckAfter),
		ViewInterval: jsonc.Duration(defaultViewInterval),
	}
}

func (s Settings) timing() timing {
	return timing{
		deadAfter:    s.DeadAfter.Std(),
		trustAlive:   s.TrustAlive.Std(),
		recheckAfter: s.RecheckAfter.Std(),
	}
}

// Membership implements model.Fleet.
type Membership struct {
	*roster
	settings Settings
	doc      *jsonc.Document
	context  *kernel.Context
}

func newMembership() *Membership {
	return &Membership{settings: defaultSettings()}
}

// Provision implements kernel.Plugin. It reads the settings and provides the
// model.Fleet.
func (m *Membership) Provision(ctx *kernel.Context) error {
	m.doc = ctx.Settings(&m.settings)
	m.context = ctx
	m.roster = newRoster(rosterConfig{
		timing:      m.settings.timing(),
		host:        ctx.Host(),
		incarnation: ctx.Incarnation(),
		hooks:       ctx.Hooks(),
		log:         ctx.Log(),
	})
	m.metrics.publish(ctx.Metrics())
	kernel.Provide[model.Fleet](ctx, m)
	return nil
}

// Validate implements kernel.Validator.
func (m *Membership) Validate(findings *finding.List) {
	m.doc.RequirePositive(findings,
		jsonc.Positive{Field: "dead_after", Value: float64(m.settings.DeadAfter)},
		jsonc.Positive{Field: "trust_alive", Value: float64(m.settings.TrustAlive)},
		jsonc.Positive{Field: "recheck_after", Value: float64(m.settings.RecheckAfter)},
		jsonc.Positive{Field: "view_interval", Value: float64(m.settings.ViewInterval)},
	)
}

// Start implements kernel.Starter.
func (m *Membership) Start(_ context.Context) error {
	m.context.Go("publish-views", func(ctx context.Context) { m.publishViews(ctx, m.settings.ViewInterval.Std()) })
	m.context.Go("watch-time", m.tickLoop)
	return nil
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Membership)(nil)
	_ kernel.Validator = (*Membership)(nil)
	_ kernel.Starter   = (*Membership)(nil)
	_ model.Fleet      = (*Membership)(nil)
)
