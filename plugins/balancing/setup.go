// Package balancing is the plug-in that chooses the target of each attempt.
package balancing

import (
	"expvar"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "balancing",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"membership", "operator"},
		New:      func() kernel.Plugin { return newBalancing() },
	})
}

// The balancing policies.
const (
	// PolicyLoad chooses by load, distance, slow start and ejection.
	PolicyLoad = "load"
	// PolicyRandom chooses a random target, as a baseline for measurements.
	PolicyRandom = "random"
)

const (
	defaultSpillThreshold      = 0.8
	defaultConsecutiveFailures = 3
	defaultBaseEjectionTime    = time.Second
	defaultMaxEjectionTime     = 30 * time.Second
	defaultMaxEjectedFraction  = 1.0 / 3
)

// Settings are the settings of the plug-in.
type Settings struct {
	// Policy is "load" or "random".
	Policy string `json:"policy"`
	// SpillThreshold is the load of a nearer target, as a fraction of its limit,
	// above which farther ones are considered.
	SpillThreshold float64 `json:"spill"`
	// ConsecutiveFailures is the number of failures in a row that eject a target.
	ConsecutiveFailures int `json:"failures"`
	// BaseEjectionTime is the duration of a target's first ejection. It doubles
	// with each further ejection without a success in between, up to
	// MaxEjectionTime.
	BaseEjectionTime jsonc.Duration `json:"ejection"`
	MaxEjectionTime  jsonc.Duration `json:"max_ejection"`
	// MaxEjectedFraction is the largest fraction of a service's targets that may
	// be ejected at once. Unreachable targets are ejected regardless.
	MaxEjectedFraction float64 `json:"ejection_part"`
}

// Balancing implements model.Balancer.
type Balancing struct {
	*balancer
	settings Settings
	doc      *jsonc.Document
}

func newBalancing() *Balancing {
	return &Balancing{settings: Settings{
		Policy:              PolicyLoad,
		SpillThreshold:      defaultSpillThreshold,
		ConsecutiveFailures: defaultConsecutiveFailures,
		BaseEjectionTime:    jsonc.Duration(defaultBaseEjectionTime),
		MaxEjectionTime:     jsonc.Duration(defaultMaxEjectionTime),
		MaxEjectedFraction:  defaultMaxEjectedFraction,
	}}
}

// Provision reads the settings and provides the balancer.
func (b *Balancing) Provision(ctx *kernel.Context) error {
	b.doc = ctx.Settings(&b.settings)
	fleet, err := kernel.Lookup[model.Fleet](ctx)
	if err != nil {
		return err
	}
	mux, err := kernel.Lookup[model.OperatorMux](ctx)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b.balancer = newBalancer(&b.settings, ctx.Host(), fleet, random)
	fleet.Subscribe(b.retain)
	mux.Handle("/v1/targets", func(*http.Request) (any, error) { return b.report(time.Now()), nil })
	ctx.Metrics().Set("ejections", &b.ejections)
	ctx.Metrics().Set("spilled", &b.spilled)
	ctx.Metrics().Set("targets", expvar.Func(func() any { return b.size() }))
	kernel.Provide[model.Balancer](ctx, b)
	return nil
}

// Validate checks the settings.
func (b *Balancing) Validate(findings *finding.List) {
	if b.settings.Policy != PolicyLoad && b.settings.Policy != PolicyRandom {
		findings.Errorf(b.doc.Place("policy"), "%q is neither %q nor %q", b.settings.Policy, PolicyLoad, PolicyRandom)
	}
	if b.settings.SpillThreshold <= 0 {
		findings.Errorf(b.doc.Place("spill"), "must be above 0")
	}
	if b.settings.ConsecutiveFailures <= 0 {
		findings.Errorf(b.doc.Place("failures"), "must be above 0")
	}
	if b.settings.BaseEjectionTime <= 0 || b.settings.MaxEjectionTime < b.settings.BaseEjectionTime {
		findings.Errorf(b.doc.Place("max_ejection"), "must be at least ejection, and ejection above 0")
	}
	if b.settings.MaxEjectedFraction < 0 || b.settings.MaxEjectedFraction >= 1 {
		findings.Errorf(b.doc.Place("ejection_part"), "must be from 0 to below 1")
	}
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Balancing)(nil)
	_ kernel.Validator = (*Balancing)(nil)
	_ model.Balancer   = (*Balancing)(nil)
)
