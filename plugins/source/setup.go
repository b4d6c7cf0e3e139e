// Package source is the plug-in that reads the platform on behalf of a node,
// within the node's share of the platform's rate limit.
package source

import (
	"context"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "source",
		Profile:  kernel.ProfileFleet,
		Requires: []string{"transport", "membership"},
		New:      func() kernel.Plugin { return newSource() },
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// Platform holds the HTTP URLs of the platform's replicas.
	Platform []string `json:"platform"`
	// Timeout bounds a read, and a watch beyond its wait. It doubles with each
	// consecutive failure, up to 10 s.
	Timeout jsonc.Duration `json:"timeout"`
	// WatchWait is the longest time that a watch waits for a change. A broken
	// connection goes unnoticed for at most WatchWait plus Timeout.
	WatchWait jsonc.Duration `json:"watch_wait"`
	// ReadersPerDomain is the number of hosts in each failure domain that watch
	// the platform.
	ReadersPerDomain int `json:"readers_per_domain"`
	// Budget is the platform's rate limit for the whole fleet in calls per
	// second.
	Budget float64 `json:"budget"`
	// ExpectedFleet is the number of hosts that a node assumes until it has a
	// host list.
	ExpectedFleet int `json:"expected_fleet"`
	// EveryNodeReads makes every node watch the platform. It serves as a
	// baseline in benchmarks.
	EveryNodeReads bool `json:"every_node_reads"`
}

const (
	defaultTimeout          = time.Second
	defaultWatchWait        = 1500 * time.Millisecond
	defaultReadersPerDomain = 2
	defaultBudget           = 2000
	defaultExpectedFleet    = 2000
)

func (s *Settings) policy() policy {
	return policy{
		budget:           s.Budget,
		readersPerDomain: s.ReadersPerDomain,
		expectedFleet:    s.ExpectedFleet,
		everyNodeReads:   s.EveryNodeReads,
		watchWait:        s.WatchWait.Std(),
		timeout:          s.Timeout.Std(),
	}
}

// Source implements model.Reader.
type Source struct {
	settings Settings
	doc      *jsonc.Document
	context  *kernel.Context
	fleet    model.Fleet
	client   *client
	reader   *reader
	metrics  metrics

	headSubscribers []func([]byte)
	hostSubscribers []func(*model.HostList)
	starved         func() bool
}

func newSource() *Source {
	return &Source{
		settings: Settings{
			Timeout:          jsonc.Duration(defaultTimeout),
			WatchWait:        jsonc.Duration(defaultWatchWait),
			ReadersPerDomain: defaultReadersPerDomain,
			Budget:           defaultBudget,
			ExpectedFleet:    defaultExpectedFleet,
		},
		starved: func() bool { return true },
	}
}

// Provision implements kernel.Plugin. It reads the settings and provides the
// model.Reader.
func (s *Source) Provision(ctx *kernel.Context) error {
	s.doc = ctx.Settings(&s.settings)
	s.context = ctx
	s.metrics.publish(ctx.Metrics())
	fleet, err := kernel.Lookup[model.Fleet](ctx)
	if err != nil {
		return err
	}
	s.fleet = fleet
	transport, err := kernel.Lookup[model.Transport](ctx)
	if err != nil {
		return err
	}
	s.client = newClient(s.settings.Platform, rand.Uint32(), countBytes(transport.DialPlatform, &s.metrics))
	s.reader = newReader(readerConfig{
		policy:   s.settings.policy(),
		host:     ctx.Host(),
		view:     fleet.View,
		platform: s.client,
		hooks:    ctx.Hooks(),
		log:      ctx.Log(),
		metrics:  &s.metrics,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	kernel.Provide[model.Reader](ctx, s)
	return nil
}

// Validate implements kernel.Validator.
func (s *Source) Validate(findings *finding.List) {
	for _, text := range s.settings.Platform {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			findings.Errorf(s.doc.Place("platform"), "%q is not an HTTP URL", text)
		}
	}
	if len(s.settings.Platform) == 0 {
		findings.Errorf(s.doc.Place("platform"), "must name at least one replica of the platform")
	}
	s.doc.RequirePositive(findings,
		jsonc.Positive{Field: "timeout", Value: float64(s.settings.Timeout)},
		jsonc.Positive{Field: "watch_wait", Value: float64(s.settings.WatchWait)},
		jsonc.Positive{Field: "readers_per_domain", Value: float64(s.settings.ReadersPerDomain)},
		jsonc.Positive{Field: "budget", Value: s.settings.Budget},
		jsonc.Positive{Field: "expected_fleet", Value: float64(s.settings.ExpectedFleet)},
	)
}

// Start implements kernel.Starter. It starts the tasks that follow the head and the
// host list.
func (s *Source) Start(_ context.Context) error {
	s.reader.starved = s.starved
	head := s.reader.headFeed(s.deliverHead)
	hosts := s.reader.hostsFeed(s.deliverHosts)
	s.context.Go("follow-head", func(ctx context.Context) { s.reader.follow(ctx, head) })
	s.context.Go("follow-hosts", func(ctx context.Context) { s.reader.follow(ctx, hosts) })
	return nil
}

// Stop implements kernel.Stopper. It closes the idle connections to the platform.
func (s *Source) Stop(_ context.Context) error {
	s.client.close()
	return nil
}

func (s *Source) deliverHead(record []byte) {
	for _, f := range s.headSubscribers {
		f(record)
	}
}

// deliverHosts passes the list to the membership first, so that the node's
// assignment is up to date when the subscribers run.
func (s *Source) deliverHosts(list *model.HostList) {
	s.fleet.SetHostList(list)
	for _, f := range s.hostSubscribers {
		f(list)
	}
}

// SubscribeHead implements model.Reader.
func (s *Source) SubscribeHead(f func(record []byte)) {
	s.headSubscribers = append(s.headSubscribers, f)
}

// SubscribeHosts implements model.Reader.
func (s *Source) SubscribeHosts(f func(list *model.HostList)) {
	s.hostSubscribers = append(s.hostSubscribers, f)
}

// SetStarved implements model.Reader.
func (s *Source) SetStarved(f func() bool) {
	s.starved = f
}

// Reading implements model.Reader.
func (s *Source) Reading() bool {
	return s.reader.assignment().reader
}

// Part implements model.Reader.
func (s *Source) Part(ctx context.Context, digest config.Digest) ([]byte, error) {
	return s.reader.part(ctx, digest)
}

// Pack implements model.Reader.
func (s *Source) Pack(ctx context.Context, index int) ([]byte, error) {
	return s.reader.pack(ctx, index)
}

// Record implements model.Reader.
func (s *Source) Record(ctx context.Context, number uint64) ([]byte, error) {
	return s.reader.record(ctx, number)
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Source)(nil)
	_ kernel.Validator = (*Source)(nil)
	_ kernel.Starter   = (*Source)(nil)
	_ kernel.Stopper   = (*Source)(nil)
	_ model.Reader     = (*Source)(nil)
)
