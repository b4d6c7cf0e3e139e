package matrix

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/memnet"
	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/internal/simfleet"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	nodes   = 8
	domains = 3
	regions = 2
	// teamFile is the file that each good release changes.
	teamFile = "teams/renewals.jsonc"
	// firstRate is the rate that the first release after the example's sets.
	firstRate = 100
	// callInterval is the mean time between two calls of one flow.
	callInterval = 200 * time.Millisecond
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// recoveryLimit bounds the time until every host has the newest good release.
	recoveryLimit = 30 * time.Second
)

// env is a fleet with its platform, targets and callers in one synctest bubble.
type env struct {
	fleet    *simfleet.Fleet
	platform *platform.Server
	targets  map[model.HostID]*target.Target
	checker  *invariant.Checker
	releases *observe.Publisher
	sources  *config.Sources
	callers  *observe.Callers
	rate     int

	mu       sync.Mutex
	random   *rand.Rand
	rules    map[string]relay.Rule
	tampers  map[string]memnet.Tamper
	graceful map[model.HostID]bool
	// accepted holds the time at which a node accepted a call, by call ID.
	accepted map[string]time.Time
	// lastHealed is the time at which the last fault that breaks responses ended.
	lastHealed       time.Time
	scenarioFailures []string
	injector         *injector
	fatal            fatalCalls
	pending          atomic.Int64
}

// options modify an env for tests of the checker.
type options struct {
	// replace returns node options that replace plug-ins of a host's node; it may be nil.
	replace func(e *env, id model.HostID) []kernel.Option
}

// newEnv starts a fleet and waits until its first release is in force on all hosts.
func newEnv(t *testing.T, seed uint64, o options) *env {
	t.Helper()
	sources, err := observe.LoadExample("clearplate")
	if err != nil {
		t.Fatal(err)
	}
	e := &env{
		platform: platform.New(),
		targets:  map[model.HostID]*target.Target{},
		checker:  invariant.New(invariant.RequiredBounds),
		sources:  sources,
		rate:     firstRate,
		random:   rand.New(rand.NewPCG(seed, seed)),
		rules:    map[string]relay.Rule{},
		tampers:  map[string]memnet.Tamper{},
		graceful: map[model.HostID]bool{},
		accepted: map[string]time.Time{},
	}
	e.releases = observe.NewPublisher(e.platform, e.checker)
	if err := e.start(seed, o); err != nil {
		e.close()
		t.Fatal(err)
	}
	return e
}

func (e *env) start(seed uint64, o options) error {
	hosts := simfleet.Hosts(nodes, domains, regions, "renewals")
	for i := range hosts {
		if i%2 == 1 {
			hosts[i].Service = "assessments"
		}
	}
	fleet, err := simfleet.New(simfleet.Options{
		Hosts:    hosts,
		Platform: e.platform,
		Target:   func(h model.Host) http.Handler { return e.newTarget(h.ID, seed) },
		Log:      debugLog,
		Plugins:  map[string]map[string]any{"source": {"expected_fleet": nodes}},
		BeforeStart: func(id model.HostID, n *bronzemast.Node) error {
			e.mu.Lock()
			inj := e.injector
			e.mu.Unlock()
			if inj != nil {
				inj.armNode(id, n)
			}
			return observe.ReportReleases(n, id, e.checker)
		},
		OnCall: func(_ model.HostID, call string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.accepted[call] = time.Now()
		},
		NodeOptions: func(id model.HostID) []kernel.Option {
			if o.replace == nil {
				return nil
			}
			return o.replace(e, id)
		},
	})
	if err != nil {
		return err
	}
	e.fleet = fleet
	e.setRule("base-delay", e.linkDelay)
	if err := e.platform.PutHosts(&model.HostList{Revision: 1, Hosts: hosts}); err != nil {
		return err
	}
	if err := e.releases.Publish(e.sources); err != nil {
		return err
	}
	if err := fleet.StartAll(context.Background()); err != nil {
		return err
	}
	e.callers = observe.StartCallers(observe.CallersOptions{
		Checker:       e.checker,
		Client:        fleet.Client(simfleet.CallerHost),
		Hosts:         fleet.Hosts(),
		Flows:         observe.ClearplateFlows,
		Interval:      callInterval,
		Seed:          seed,
		CutByShutdown: e.cutByShutdown,
	})
	return e.awaitInForce()
}

func (e *env) newTarget(id model.HostID, seed uint64) http.Handler {
	t := target.New(target.Options{
		Behaviour: target.DefaultBehaviour(),
		Seed:      seed + uint64(len(e.targets)),
		OnStart: func(call string, at time.Time) {
			e.checker.Executed(invariant.Execution{CallID: call, Host: id, At: at})
			e.observeFatal(call, id, at)
		},
	})
	e.targets[id] = t
	return t.Handler()
}

// linkDelay is a network rule that delays traffic according to the regions of its hosts.
func (e *env) linkDelay(from, to string) (relay.Fault, time.Duration) {
	const (
		near = time.Millisecond
		far  = 10 * time.Millisecond
	)
	a, b := e.fleet.Node(model.HostID(from)), e.fleet.Node(model.HostID(to))
	switch {
	case from == to:
		return relay.Pass, 0
	case a != nil && b != nil && a.Host.Region != b.Host.Region:
		return relay.Pass, far
	default:
		return relay.Pass, near
	}
}

// publish publishes a good release that differs from all earlier ones.
func (e *env) publish() error {
	changed, err := observe.WithRate(e.sources, teamFile, e.rate)
	if err != nil {
		return err
	}
	e.rate++
	return e.releases.Publish(changed)
}

// publishInvalid publishes an invalid release, which no node may accept.
func (e *env) publishInvalid() error {
	invalid, err := observe.WithDanglingGrant(e.sources, teamFile)
	if err != nil {
		return err
	}
	return e.releases.PublishInvalid(invalid)
}

// awaitInForce waits until every host has the newest good release, and includes all hosts
// in the convergence check from then on.
func (e *env) awaitInForce() error {
	limit := time.Now().Add(recoveryLimit)
	for _, h := range e.fleet.Hosts() {
		for e.release(h.ID) < e.releases.LastGood() {
			if time.Now().After(limit) {
				return errors.Errorf("host %s has release %d, not %d, after %s", h.ID, e.release(h.ID), e.releases.LastGood(), recoveryLimit)
			}
			time.Sleep(pollInterval)
		}
	}
	for _, h := range e.fleet.Hosts() {
		e.checker.Reachable(h.ID, time.Now())
	}
	return nil
}

// excludeFromConvergence excludes hosts from the convergence check until the next
// awaitInForce.
func (e *env) excludeFromConvergence(hosts ...model.HostID) {
	for _, id := range hosts {
		e.checker.Reachable(id, time.Time{})
	}
}

func (e *env) allHosts() []model.HostID {
	var all []model.HostID
	for _, h := range e.fleet.Hosts() {
		all = append(all, h.ID)
	}
	return all
}

func (e *env) release(id model.HostID) uint64 {
	node := e.fleet.Node(id).Running()
	if node == nil {
		return 0
	}
	return observe.ReleaseInForce(node)
}

// close stops callers and nodes without a graceful shutdown.
func (e *env) close() {
	if e.callers != nil {
		e.callers.Stop()
		defer e.callers.Wait()
	}
	if e.fleet != nil {
		e.fleet.Close()
	}
}

// recordFailure adds a failure of the scenario itself to the result of the cell; a nil
// error is ignored.
func (e *env) recordFailure(err error) {
	if err == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scenarioFailures = append(e.scenarioFailures, err.Error())
}

// setRule adds a named rule to the network or, if rule is nil, removes it.
func (e *env) setRule(name string, rule relay.Rule) {
	e.mu.Lock()
	if rule == nil {
		delete(e.rules, name)
	} else {
		e.rules[name] = rule
	}
	var rules []relay.Rule
	for _, r := range e.rules {
		rules = append(rules, r)
	}
	e.mu.Unlock()
	e.fleet.Network.SetRule(func(from, to string) (worst relay.Fault, delay time.Duration) {
		for _, r := range rules {
			fault, more := r(from, to)
			worst = max(worst, fault)
			delay += more
		}
		return worst, delay
	})
}

// setTamper adds a named change of data to the network or, if tamper is nil, removes it.
func (e *env) setTamper(name string, tamper memnet.Tamper) {
	e.mu.Lock()
	if tamper == nil {
		delete(e.tampers, name)
	} else {
		e.tampers[name] = tamper
	}
	var tampers []memnet.Tamper
	for _, t := range e.tampers {
		tampers = append(tampers, t)
	}
	e.mu.Unlock()
	if len(tampers) == 0 {
		e.fleet.Network.SetTamper(nil)
		return
	}
	e.fleet.Network.SetTamper(func(p memnet.Segment) ([]byte, bool) {
		broken := false
		for _, t := range tampers {
			if !broken {
				p.Data, broken = t(p)
			}
		}
		return p.Data, broken
	})
}

// debugLog receives the logs of all nodes; set it to debug a failing cell.
var debugLog io.Writer
