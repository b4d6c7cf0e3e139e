// Package quarantine is the plug-in that keeps requests from targets that crash while they run
// them. Each node reports the crashes of the target beside it to the others; package
// internal/quarantine decides by the sum of these reports.
package quarantine

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "quarantine",
		Requires: []string{"transport"},
		New:      func() kernel.Plugin { return newQuarantine() },
	})
}

const (
	defaultCrashes = 3
	defaultHold    = 10 * time.Minute
	// defaultPause covers the restart of a target and its entry in the list.
	defaultPause  = 3 * time.Second
	defaultMemory = 10 * time.Minute
)

// Settings are the settings of the plug-in.
type Settings struct {
	// Crashes is the number of crashes under a request from which it is refused.
	Crashes int `json:"crashes"`
	// Hold is how long it is refused; the time doubles with each further crash.
	Hold jsonc.Duration `json:"hold"`
	// Pause is how long a request is refused after its second crash.
	Pause jsonc.Duration `json:"pause"`
	// Memory is how long a request with fewer crashes is remembered.
	Memory jsonc.Duration `json:"memory"`
}

func defaults() Settings {
	return Settings{
		Crashes: defaultCrashes,
		Hold:    jsonc.Duration(defaultHold),
		Pause:   jsonc.Duration(defaultPause),
		Memory:  jsonc.Duration(defaultMemory),
	}
}

func (s *Settings) limits() quarantine.Limits {
	return quarantine.Limits{Crashes: s.Crashes, Hold: s.Hold.Std(), Pause: s.Pause.Std(), Memory: s.Memory.Std()}
}

func (s *Settings) check(doc *jsonc.Document, findings *finding.List) {
	doc.RequirePositive(findings,
		jsonc.Positive{Field: "crashes", Value: float64(s.Crashes)},
		jsonc.Positive{Field: "hold", Value: float64(s.Hold)},
		jsonc.Positive{Field: "pause", Value: float64(s.Pause)},
		jsonc.Positive{Field: "memory", Value: float64(s.Memory)},
	)
}

// Quarantine implements model.Quarantine.
type Quarantine struct {
	settings  Settings
	doc       *jsonc.Document
	log       *event.Log
	metrics   *metrics
	startTask func(name string, run func(ctx context.Context))
	client    *peerClient
	// send sends a message to a peer and returns the peer's.
	send  func(ctx context.Context, peer string, m *message) (*message, error)
	self  string
	peers func() []string
	// news holds requests about which the other nodes are to be told.
	news *kernel.Ring[quarantine.Fingerprint]

	// records is the number of requests in table.
	records      atomic.Int64
	synchronized atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
	// held holds the requests whose refusal was logged.
	held map[quarantine.Fingerprint]quarantine.Held
}

// newsCapacity is the number of requests that wait to be spread. What does not fit is
// exchanged with the periodic synchronization.
const newsCapacity = 256

func newQuarantine() *Quarantine {
	return &Quarantine{
		settings: defaults(),
		peers:    func() []string { return nil },
		news:     kernel.NewRing[quarantine.Fingerprint](newsCapacity, kernel.DropOldest),
		held:     map[quarantine.Fingerprint]quarantine.Held{},
	}
}

// Provision reads the settings, registers the handler for peers and provides the quarantine.
func (q *Quarantine) Provision(ctx *kernel.Context) error {
	q.doc = ctx.Settings(&q.settings)
	q.log = ctx.Log()
	q.startTask = ctx.Go
	q.table = quarantine.NewTable(q.settings.limits())
	q.metrics = newMetrics(ctx.Metrics())
	ctx.Metrics().Set("suspects", expvar.Func(func() any { return q.records.Load() }))
	ctx.Metrics().Set("held", expvar.Func(func() any { return q.heldAges() }))
	transport, err := kernel.Lookup[model.Transport](ctx)
	if err != nil {
		return err
	}
	q.self = ctx.Host().PeerAddress
	q.client = newPeerClient(transport.DialPeer)
	q.send = q.client.exchange
	transport.HandlePeer("POST "+pathQuarantine, http.HandlerFunc(q.servePeer))
	kernel.Provide[model.Quarantine](ctx, q)
	return nil
}

// Validate implements kernel.Validator.
func (q *Quarantine) Validate(findings *finding.List) {
	q.settings.check(q.doc, findings)
}

// Start starts the goroutines that exchange reports with other nodes.
func (q *Quarantine) Start(_ context.Context) error {
	q.startTask("spread", q.spread)
	q.startTask("synchronize", q.synchronize)
	return nil
}

// Stop closes idle connections.
func (q *Quarantine) Stop(_ context.Context) error {
	q.client.close()
	return nil
}

// SetPeers implements model.Quarantine.
func (q *Quarantine) SetPeers(peers func() []string) { q.peers = peers }

// Empty implements model.Quarantine.
func (q *Quarantine) Empty() bool { return q.records.Load() == 0 }

// Verdict implements model.Quarantine.
func (q *Quarantine) Verdict(f quarantine.Fingerprint) quarantine.Verdict {
	if q.Empty() {
		return quarantine.Verdict{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Verdict(f, time.Now())
}

// RecordCrash implements model.Quarantine.
func (q *Quarantine) RecordCrash(suspects []quarantine.Fingerprint) {
	q.mu.Lock()
	q.table.RecordCrash(rand.Uint64(), suspects, time.Now())
	q.changed(suspects, viaTarget)
	q.mu.Unlock()
	q.metrics.crashes.Add(1)
	q.announce(suspects)
}

// RecordRun implements model.Quarantine.
func (q *Quarantine) RecordRun(f quarantine.Fingerprint) {
	if q.Empty() {
		return
	}
	q.mu.Lock()
	cleared := q.table.RecordRun(f, time.Now())
	if cleared {
		q.changed([]quarantine.Fingerprint{f}, viaTarget)
	}
	q.mu.Unlock()
	if cleared {
		q.announce([]quarantine.Fingerprint{f})
	}
}

// Reports implements model.Quarantine.
func (q *Quarantine) Reports(f quarantine.Fingerprint) []quarantine.Report {
	return q.reports([]quarantine.Fingerprint{f})
}

func (q *Quarantine) reports(requests []quarantine.Fingerprint) []quarantine.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Reports(requests, time.Now())
}

// Learn implements model.Quarantine.
func (q *Quarantine) Learn(reports []quarantine.Report) {
	q.merge(reports, viaAnswer)
}

// merge adds the evidence of another node, passes on what is new and returns how many requests
// that concerns. via is the source as logged.
func (q *Quarantine) merge(reports []quarantine.Report, via string) (changed int) {
	if len(reports) == 0 {
		return 0
	}
	q.mu.Lock()
	requests := q.table.Merge(reports, time.Now())
	if len(requests) > 0 {
		q.changed(requests, via)
	}
	q.mu.Unlock()
	q.announce(requests)
	return len(requests)
}

// announce queues requests about which the other nodes are to be told.
func (q *Quarantine) announce(requests []quarantine.Fingerprint) {
	for _, f := range requests {
		_ = q.news.Put(context.Background(), f) // a full ring drops its oldest element
	}
}

// Synchronized implements model.Quarantine.
func (q *Quarantine) Synchronized() error {
	if q.synchronized.Load() {
		return nil
	}
	return errNotSynchronized
}

// Interface guards.
var (
	_ kernel.Plugin    = (*Quarantine)(nil)
	_ kernel.Validator = (*Quarantine)(nil)
	_ kernel.Starter   = (*Quarantine)(nil)
	_ kernel.Stopper   = (*Quarantine)(nil)
	_ model.Quarantine = (*Quarantine)(nil)
)
