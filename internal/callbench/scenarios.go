package callbench

import (
	"context"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/internal/standin/target"
)

// scenario defines the load, the targets and the event of a run.
type scenario struct {
	// relay routes the connections between nodes through the relay.
	relay bool
	// compareDirect also sends each call directly to a target.
	compareDirect bool
	// recordVictim records calls that enter at the victim separately.
	recordVictim bool
	// rate, if above 0, overrides the total calls per second of all callers.
	rate float64
	// slots, if above 0, overrides the number of slots of each target.
	slots int
	// grantedRate, if above 0, limits the calls per second of each caller.
	grantedRate float64
	// singleEntry sends all calls to the victim as entry node.
	singleEntry bool
	// behaviour, if set, changes the behaviour of the target of host i.
	behaviour func(i int, b *target.Behaviour)
	// event, if set, is called at the start of the second third of the run.
	event func(ctx context.Context, r *run) error
}

// slotCount returns the number of slots of each target.
func (s scenario) slotCount() int {
	if s.slots > 0 {
		return s.slots
	}
	return slotsPerTarget
}

// unlimitedRate is a granted rate, in calls per second, that no scenario reaches.
const unlimitedRate = 100_000

// rateLimit returns the rate granted to each caller, in calls per second.
func (s scenario) rateLimit() float64 {
	if s.grantedRate > 0 {
		return s.grantedRate
	}
	return unlimitedRate
}

// victim is the index of the host that the faults of single-host scenarios affect.
const victim = 0

var scenarios = map[string]scenario{
	Steady:         {compareDirect: true, behaviour: constantServiceTime},
	Overload:       {event: overload, behaviour: slowBehaviour, rate: baseShare * fairShare(slowService) * callerCount},
	Drain:          {event: drain},
	RollingRestart: {event: rollingRestart},
	Kill:           {event: kill, recordVictim: true},
	Pause:          {event: pause, recordVictim: true},
	Silence:        {relay: true, event: silence},
	LateAnswer:     {relay: true, event: lateAnswer},
	ColdStart:      {event: coldStart},
	LyingHealth:    {event: lyingHealth, behaviour: falseHealthBehaviour},
	Skew:           {rate: callerCount * skewRate, grantedRate: skewRate, singleEntry: true, event: skew},
	Deep:           {event: deep, rate: deepRate, slots: deepSlots},
}

// constantServiceTime gives all calls the same service time, so that the latency
// added by the nodes is not masked by its variation.
func constantServiceTime(_ int, b *target.Behaviour) {
	b.Spread = 0
}

// slowService is the mean service time of targets in the scenario overload. Slow
// targets are overloaded at rates that do not overload the host machine.
const slowService = 80 * time.Millisecond

func slowBehaviour(_ int, b *target.Behaviour) {
	b.ServiceTime = jsonc.Duration(slowService)
}

// fairShare returns each caller's fair share of the capacity of all targets, in
// calls per second.
func fairShare(service time.Duration) float64 {
	return float64(nodeCount*slotsPerTarget) / service.Seconds() / callerCount
}

// overload makes one caller send a multiple of its fair share until the event ends.
func overload(ctx context.Context, r *run) error {
	ctx, cancel := context.WithDeadline(ctx, r.to)
	defer cancel()
	l := r.newLoad(greedyCaller, callerCount)
	l.idSuffix = "extra"
	l.rate = (overloadFactor - baseShare) * fairShare(slowService)
	l.run(ctx)
	return nil
}

// drain marks a host as leaving in the platform's host list and counts the
// executions at its target after that.
func drain(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	leavingSince := time.Now()
	r.fleet.checker.Leaving(h.id(), leavingSince)
	h.setStopping(true)
	if err := r.fleet.publishHosts(h.id()); err != nil {
		return err
	}
	r.addMetrics = func(result *Result) {
		result.Metrics["executions_after_2s"] = r.fleet.executions.countBetween(h.id(), leavingSince.Add(2*time.Second), time.Now())
		result.Metrics["executions_after_told"] = r.fleet.executions.countBetween(h.id(), leavingSince, time.Now())
	}
	clock.SleepUntil(ctx, r.to)
	return nil
}

// rollingRestart restarts all nodes gracefully, one at a time.
func rollingRestart(ctx context.Context, r *run) error {
	restarted := 0
	r.addMetrics = func(result *Result) { result.Metrics["nodes_restarted"] = restarted }
	for _, h := range r.fleet.hosts {
		if ctx.Err() != nil {
			return nil
		}
		h.setStopping(true)
		if err := h.proc.Terminate(); err != nil {
			return err
		}
		<-h.proc.Ended()
		if err := h.proc.ExitError(); err != nil {
			return err
		}
		h.setStopping(false)
		h.setReady(false)
		if err := h.proc.Start(); err != nil {
			return err
		}
		if err := h.awaitReady(context.WithoutCancel(ctx)); err != nil {
			return err
		}
		restarted++
	}
	return nil
}

// kill kills a node and starts it again when the event ends.
func kill(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	if err := h.proc.Kill(); err != nil {
		return err
	}
	h.setReady(false)
	clock.SleepUntil(ctx, r.to)
	if err := h.proc.Start(); err != nil {
		return err
	}
	return h.awaitReady(context.WithoutCancel(ctx))
}

// pause suspends the process of a node until the event ends.
func pause(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	if err := h.proc.Pause(); err != nil {
		return err
	}
	clock.SleepUntil(ctx, r.to)
	return h.proc.Resume()
}

// silenceInterval is the time between two faults of the scenario silence.
const silenceInterval = 400 * time.Millisecond

// silence repeatedly stops the traffic on all open connections to one host, without
// closing them. New connections work.
func silence(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	for time.Now().Before(r.to) && ctx.Err() == nil {
		r.fleet.procs.Relay().SetRule(func(_, destination string) (relay.Fault, time.Duration) {
			if destination == string(h.id()) {
				return relay.SilenceOpen, 0
			}
			return relay.Pass, 0
		})
		clock.Sleep(ctx, silenceInterval)
	}
	r.clearRelayRule()
	return nil
}

// clearRelayRule makes the relay forward all traffic again.
func (r *run) clearRelayRule() {
	r.fleet.procs.Relay().SetRule(func(string, string) (relay.Fault, time.Duration) { return relay.Pass, 0 })
}

// holdTime is how long traffic is held back, and passed, in the scenario
// late-answer.
const holdTime = 700 * time.Millisecond

// lateAnswer alternately holds back all traffic to one host and delivers it late.
func lateAnswer(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	for time.Now().Before(r.to) && ctx.Err() == nil {
		r.fleet.procs.Relay().SetRule(func(_, destination string) (relay.Fault, time.Duration) {
			if destination == string(h.id()) {
				return relay.Silence, 0
			}
			return relay.Pass, 0
		})
		clock.Sleep(ctx, holdTime)
		r.clearRelayRule()
		clock.Sleep(ctx, holdTime)
	}
	return nil
}

// coldFactor multiplies the service times of a cold target.
const coldFactor = 8

// coldStart replaces a target by a cold one and restarts its node.
func coldStart(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	if err := h.proc.Kill(); err != nil {
		return err
	}
	h.setReady(false)
	h.mu.Lock()
	old := h.target
	h.mu.Unlock()
	address, b := old.Address(), old.Behaviour()
	old.Stop()
	b.ColdFactor = coldFactor
	b.ColdDuration = jsonc.Duration(time.Until(r.to))
	if err := r.fleet.startTarget(h, address, b); err != nil {
		return err
	}
	if err := h.proc.Start(); err != nil {
		return err
	}
	return h.awaitReady(context.WithoutCancel(ctx))
}

// falseHealthBehaviour makes all targets but the victim's report themselves as
// unhealthy, and the victim's report no load.
func falseHealthBehaviour(i int, b *target.Behaviour) {
	b.ReportUnhealthy = i != victim
	b.ReportIdle = i == victim
}

// lyingHealth makes the one target that reports itself as healthy abort all calls.
func lyingHealth(ctx context.Context, r *run) error {
	h := r.fleet.hosts[victim]
	b := h.target.Behaviour()
	b.Crash = 1
	h.target.SetBehaviour(b)
	r.addMetrics = func(result *Result) {
		result.Metrics["executions_at_broken_target"] = r.fleet.executions.countBetween(h.id(), r.from, r.to)
	}
	clock.SleepUntil(ctx, r.to)
	b.Crash = 0
	h.target.SetBehaviour(b)
	return nil
}

// deep stops all targets of the service that the last nested call uses, while
// chains of nested calls run.
func deep(ctx context.Context, r *run) error {
	before := r.fleet.forwardingCounter("retries")
	r.addMetrics = func(result *Result) {
		result.Metrics["retries_with_service_down"] = r.fleet.forwardingCounter("retries") - before
	}
	var stopped sync.WaitGroup
	for i, h := range r.fleet.hosts {
		if r.fleet.serviceOf(i) == stoppedService {
			stopped.Go(h.target.Stop)
		}
	}
	stopped.Wait()
	return nil
}

// skewRate is the rate granted to each caller in the scenario skew, in calls per
// second.
const skewRate = 120

// skew makes one caller exceed its granted rate while all callers send at theirs
// through a single entry node.
func skew(ctx context.Context, r *run) error {
	ctx, cancel := context.WithDeadline(ctx, r.to)
	defer cancel()
	r.addMetrics = func(result *Result) {
		seconds := r.to.Sub(r.from).Seconds()
		for _, p := range result.Phases {
			result.Metrics["part_of_rate "+p.Caller+" "+p.Phase] = float64(p.Succeeded) / seconds / skewRate
		}
	}
	l := r.newLoad(greedyCaller, callerCount)
	l.idSuffix = "extra"
	l.rate = 2 * skewRate
	l.singleEntry = true
	l.run(ctx)
	return nil
}
