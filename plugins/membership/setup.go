// Package membership is the plug-in that knows the state of the other hosts
// from the platform's host list, what the node saw itself and what peers say.
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
	// DeadAfter is how long a host that cannot be reached stays suspected.
	DeadAfter jsonc.Duration `json:"dead_after"`
	// TrustAlive is how long evidence that a host is up outweighs notices.
	TrustAlive jsonc.Duration `json:"trust_alive"`
	// RecheckAfter is when a host that is dead by notices only is
	// tried again.
	RecheckAfter jsonc.Duration `json:"recheck_after"`
	// ViewInterval is the shortest time between two views of the fleet.
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

// Provision reads the settings and offers the fleet.
func (m *Membership) Provision(ctx *kernel.Context) error {
	m.doc = ctx.Settings(&m.settings)
	m.context = ctx
	m.roster = newRoster(rosterParts{
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

// Validate checks the settings.
func (m *Membership) Validate(findings *finding.List) {
	m.doc.RequirePositive(findings,
		jsonc.Positive{Field: "dead_after", Value: float64(m.settings.DeadAfter)},
		jsonc.Positive{Field: "trust_alive", Value: float64(m.settings.TrustAlive)},
		jsonc.Positive{Field: "recheck_after", Value: float64(m.settings.RecheckAfter)},
		jsonc.Positive{Field: "view_interval", Value: float64(m.settings.ViewInterval)},
	)
}

// Start starts the duties of the plug-in.
func (m *Membership) Start(_ context.Context) error {
	m.context.Go("publish-views", func(ctx context.Context) { m.publishViews(ctx, m.settings.ViewInterval.Std()) })
	m.context.Go("watch-time", m.watchTime)
	return nil
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Membership)(nil)
	_ kernel.Validator = (*Membership)(nil)
	_ kernel.Starter   = (*Membership)(nil)
	_ model.Fleet      = (*Membership)(nil)
)
