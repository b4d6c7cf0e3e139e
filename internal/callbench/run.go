package callbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/standin/target"
)

const (
	// eventStart and eventEnd are the times of a scenario's event, as fractions of
	// the run.
	eventStart = 1.0 / 3
	eventEnd   = 2.0 / 3
	// nestedCallsPerCall is the depth of the chain of nested calls that each call
	// starts in the scenario deep.
	nestedCallsPerCall = 14
	// deepRate is the number of calls per second in the scenario deep, without the
	// nested ones.
	deepRate = 8
	// deepSlots is the number of slots of each target in the scenario deep. It
	// suffices for the calls that hold a slot while they wait for nested ones.
	deepSlots = 64
	// baseShare is the fraction of its fair share that each caller sends in the
	// scenario overload outside of the event.
	baseShare = 0.7
	// meanServiceTime is the mean service time of the targets.
	meanServiceTime = 5 * time.Millisecond
	// overloadFactor is the load of the greedy caller during the event, as a
	// multiple of its fair share.
	overloadFactor = 10
	// settleTime is the wait after the last response for executions that end late.
	settleTime = 300 * time.Millisecond
)

// victimLabel replaces the caller in the result for calls that enter at the victim.
const victimLabel = "through-victim"

// run is one run of a scenario.
type run struct {
	options Options
	fleet   *fleet
	// from and to bound the event of the scenario.
	from    time.Time
	to      time.Time
	records map[string]*record
	loads   []*load
	// addMetrics, if set by the event, adds the metrics of the scenario.
	addMetrics func(*Result)
}

// Run runs a scenario and returns its result. A broken promise is reported in the
// result, not as an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	s := scenarios[o.Scenario]
	f, err := startFleet(ctx, o, func(i int) target.Behaviour { return s.behaviourOf(i) })
	if err != nil {
		return nil, err
	}
	defer f.close()
	startTime := time.Now()
	r := &run{
		options: o,
		fleet:   f,
		from:    startTime.Add(time.Duration(eventStart * float64(o.Duration))),
		to:      startTime.Add(time.Duration(eventEnd * float64(o.Duration))),
		records: map[string]*record{},
	}
	r.addLoads(s)
	cpu := f.cpuTime()
	if err := r.runScenario(ctx, s, startTime.Add(o.Duration)); err != nil {
		return nil, err
	}
	cpu = f.cpuTime() - cpu
	result := r.buildResult(s)
	if calls, nested := f.executions.counts(); calls+nested > 0 && cpu > 0 {
		result.Metrics["node_cpu_us_a_call"] = cpu.Microseconds() / int64(calls+nested)
	}
	return result, nil
}

// behaviourOf returns the behaviour of the target of the host with index i.
func (s scenario) behaviourOf(i int) target.Behaviour {
	b := target.DefaultBehaviour()
	b.Slots = s.slotCount()
	b.Connections = connectionsPerTarget
	b.ServiceTime = jsonc.Duration(meanServiceTime)
	if s.behaviour != nil {
		s.behaviour(i, &b)
	}
	return b
}

// addLoads creates a load for each caller, with an equal part of the rate.
func (r *run) addLoads(s scenario) {
	if s.recordVictim {
		r.records[victimLabel] = newRecord(r.from, r.to)
	}
	for i := range callerCount {
		caller := callerName(i)
		r.records[caller] = newRecord(r.from, r.to)
		l := r.newLoad(caller, i)
		l.compareDirect = s.compareDirect
		l.singleEntry = s.singleEntry
		l.victimRecord = r.records[victimLabel]
		if s.rate > 0 {
			l.rate = s.rate / callerCount
		}
		if r.options.Scenario == Deep {
			l.service, l.nestedCalls = deepService, nestedCallsPerCall
		}
		r.loads = append(r.loads, l)
	}
}

func (r *run) newLoad(caller string, i int) *load {
	return &load{
		fleet:   r.fleet,
		caller:  caller,
		service: mainService,
		rate:    r.options.Rate * nodeCount / callerCount,
		record:  r.records[caller],
		random:  rand.New(rand.NewPCG(r.options.Seed, uint64(i))),
		client:  newClient(),
	}
}

// runScenario runs the loads until end and the scenario's event at its time.
func (r *run) runScenario(ctx context.Context, s scenario, end time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var loads sync.WaitGroup
	for _, h := range r.fleet.hosts {
		loads.Go(func() { h.pollReadiness(ctx) })
	}
	for _, l := range r.loads {
		loads.Go(func() { l.run(ctx) })
	}
	var err error
	if s.event != nil && clock.SleepUntil(ctx, r.from) {
		err = s.event(ctx, r)
	}
	loads.Wait()
	time.Sleep(settleTime)
	return err
}

// buildResult returns the result, with the samples, the counters and the report of
// the checker, which compares the reported outcomes with the executions.
func (r *run) buildResult(s scenario) *Result {
	result := newResult(r.options, r.records)
	if s.compareDirect {
		result.addDirectComparison(r.records)
	}
	r.fleet.executions.reportTo(r.fleet.checker)
	for _, name := range []string{"retries", "inquiries", "silent_connections", "revokes", "revokes_unanswered", "token_fetches", "retry_budget_empty"} {
		result.Metrics[name] = r.fleet.forwardingCounter(name)
	}
	calls, nested := r.fleet.executions.counts()
	result.Metrics["executions"] = calls
	result.Metrics["nested_executions"] = nested
	if r.addMetrics != nil {
		r.addMetrics(result)
	}
	result.Promises = r.fleet.checker.Finish(time.Now())
	return result
}
