package matrix

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/internal/memnet"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/internal/simfleet"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
)

const (
	// faultTime is the duration of all faults but the pause, which lasts for pauseTime.
	faultTime = 5 * time.Second
	pauseTime = 10 * time.Second
	// addedDelay is the one-way delay that the delay fault adds, and the upper limit for reorder.
	addedDelay = 200 * time.Millisecond
	// minCorruptedSize is the smallest segment, in bytes, that the corrupt fault alters, so
	// that it affects documents.
	minCorruptedSize = 200
	// killedAtOnce is the number of nodes that the herd-restart fault kills at once.
	killedAtOnce = 5
)

var errInjected = errors.New("injected fault")

// injection is an active fault on one host.
type injection struct {
	fault  fault
	env    *env
	victim model.HostID
	random *rand.Rand
}

// fault is a kind of fault. begin runs within the step, and an error from it makes the
// step fail; end heals the fault.
type fault struct {
	name  string
	begin func(in *injection) error
	end   func(in *injection) error
	// duration is the time from begin to end.
	duration time.Duration
	// blocksStep is set if begin returns only after the duration of the fault.
	blocksStep bool
	// breaksResponses is set if the fault itself can break connections that carry
	// responses, so that a lost response is not attributed to a shutdown.
	breaksResponses bool
	// notApplicable returns the reason why the fault does not apply to a step, or "" if
	// it does. If nil, the fault applies to every step.
	notApplicable func(step) string
}

var faults = []fault{
	{name: "kill", begin: beginKill, end: endKill, duration: faultTime, breaksResponses: true},
	{name: "pause", begin: beginPause, end: noCleanup, duration: pauseTime, blocksStep: true, breaksResponses: true},
	{name: "reset", begin: beginReset, end: noCleanup, duration: faultTime, breaksResponses: true},
	{name: "silent", begin: beginSilent, end: noCleanup, duration: faultTime, breaksResponses: true},
	{name: "delay", begin: beginDelay, end: endRule, duration: faultTime},
	{name: "reorder", begin: beginReorder, end: endRule, duration: faultTime},
	{name: "truncate", begin: beginTruncate, end: endTamper, duration: faultTime, breaksResponses: true},
	{name: "corrupt", begin: beginCorrupt, end: endCorrupt, duration: faultTime, notApplicable: releaseStepsOnly},
	{name: "duplicate", begin: beginDuplicate, end: endTamper, duration: faultTime},
	{name: "partition", begin: beginPartition, end: endRule, duration: faultTime, breaksResponses: true},
	{name: "source-down", begin: beginSource(platform.Faults{Down: platform.Unavailable}), end: endSource, duration: faultTime},
	{name: "source-stale", begin: beginSource(platform.Faults{Stale: true}), end: endSource, duration: faultTime},
	{name: "source-backwards", begin: beginSource(platform.Faults{Backwards: true}), end: endSource, duration: faultTime},
	{name: "source-behind", begin: beginSource(platform.Faults{Lagging: true}), end: endSource, duration: faultTime},
	{name: "bad-release", begin: beginInvalidRelease, end: noCleanup, duration: faultTime},
	{name: "herd-restart", begin: beginHerdRestart, end: endHerdRestart, duration: faultTime, breaksResponses: true},
	{name: "target-hang", begin: beginTarget(hang), end: endTarget, duration: faultTime, notApplicable: callStepsOnly},
	{name: "target-crash", begin: beginTarget(crash), end: endTarget, duration: faultTime, notApplicable: callStepsOnly},
	{name: "target-overload", begin: beginTarget(overload), end: endTarget, duration: faultTime, notApplicable: callStepsOnly},
	{name: "target-lies", begin: beginTarget(misreport), end: endTarget, duration: faultTime, notApplicable: callStepsOnly},
	{name: "fatal-call", begin: beginFatalCalls, end: endFatalCalls, duration: fatalTime, notApplicable: callStepsOnly},
}

func callStepsOnly(s step) string {
	if s.group == groupRelease {
		return "no target takes part in the step"
	}
	return ""
}

func releaseStepsOnly(s step) string {
	if s.group != groupRelease {
		return "TCP and TLS keep the bytes of calls intact; only documents are checked by digest"
	}
	return ""
}

func noCleanup(*injection) error { return nil }

// affects reports whether traffic is sent or received by the victim and does not involve
// callers.
func (in *injection) affects(from, to string) bool {
	if from == simfleet.CallerHost || to == simfleet.CallerHost {
		return false
	}
	return from == string(in.victim) || to == string(in.victim)
}

func isNode(host string) bool {
	return host != simfleet.CallerHost && host != simfleet.PlatformHost
}

func beginKill(in *injection) error {
	in.env.kill(in.victim)
	return errInjected
}

func endKill(in *injection) error {
	return in.env.restart(in.victim)
}

// beginPause blocks the victim in the step and in every other step that it reaches, and
// silences its traffic, until it resumes.
func beginPause(in *injection) error {
	in.env.excludeFromConvergence(in.victim)
	in.env.setRule(in.fault.name, func(from, to string) (relay.Fault, time.Duration) {
		if from == string(in.victim) || to == string(in.victim) {
			return relay.Silence, 0
		}
		return relay.Pass, 0
	})
	resume := in.blockSteps()
	time.Sleep(pauseTime)
	in.env.setRule(in.fault.name, nil)
	resume()
	return nil
}

// blockSteps blocks the victim at every step that it reaches until resume is called.
func (in *injection) blockSteps() (resume func()) {
	resumed := make(chan struct{})
	node := in.env.fleet.Node(in.victim).Running()
	if node == nil {
		return func() {}
	}
	hooks := node.Kernel().Hooks()
	for _, step := range steps {
		hooks.Set(step.hook, func(context.Context) error {
			<-resumed
			return nil
		})
	}
	return func() {
		close(resumed)
		for _, step := range steps {
			hooks.Set(step.hook, nil)
		}
	}
}

// beginReset resets the victim's open connections.
func beginReset(in *injection) error {
	return in.applyOnce(relay.Cut)
}

// beginSilent stops all data on the victim's open connections permanently, without closing
// them.
func beginSilent(in *injection) error {
	return in.applyOnce(relay.SilenceOpen)
}

func (in *injection) applyOnce(f relay.Fault) error {
	in.env.setRule(in.fault.name, func(from, to string) (relay.Fault, time.Duration) {
		if in.affects(from, to) {
			return f, 0
		}
		return relay.Pass, 0
	})
	in.env.setRule(in.fault.name, nil)
	return nil
}

func beginDelay(in *injection) error {
	in.env.setRule(in.fault.name, func(from, to string) (relay.Fault, time.Duration) {
		if in.affects(from, to) {
			return relay.Pass, addedDelay
		}
		return relay.Pass, 0
	})
	return nil
}

// beginReorder delays each segment by a random time, so that data on different connections
// arrives out of order.
func beginReorder(in *injection) error {
	in.env.setRule(in.fault.name, func(from, to string) (relay.Fault, time.Duration) {
		if in.affects(from, to) {
			return relay.Pass, time.Duration(rand.Int64N(int64(addedDelay)))
		}
		return relay.Pass, 0
	})
	return nil
}

func endRule(in *injection) error {
	in.env.setRule(in.fault.name, nil)
	return nil
}

// beginTruncate cuts every third of the victim's segments in half and breaks the connection
// after it.
func beginTruncate(in *injection) error {
	const every = 3
	var segments atomic.Int64
	return in.tamper(func(p memnet.Segment) ([]byte, bool) {
		if segments.Add(1)%every != 1 {
			return p.Data, false
		}
		return p.Data[:len(p.Data)/2], true
	})
}

// onLink reports whether a segment belongs to a link between nodes rather than to a call.
func onLink(p memnet.Segment) bool {
	return bytes.Contains(p.FirstSegment, []byte("Upgrade: websocket"))
}

// isHTTPHead reports whether a segment begins an HTTP request or response.
func isHTTPHead(p memnet.Segment) bool {
	for _, start := range []string{"HTTP/", "GET ", "POST "} {
		if bytes.HasPrefix(p.Data, []byte(start)) {
			return true
		}
	}
	return false
}

// beginCorrupt damages every second response of the platform and flips a bit in each large
// segment on the victim's links to other nodes.
func beginCorrupt(in *injection) error {
	const every = 2
	in.env.platform.SetFaults(platform.Faults{CorruptEvery: every, Seed: in.random.Uint64()})
	in.env.excludeFromConvergence(in.env.allHosts()...)
	var segments atomic.Int64
	return in.tamper(func(p memnet.Segment) ([]byte, bool) {
		if len(p.Data) < minCorruptedSize || !onLink(p) || isHTTPHead(p) {
			return p.Data, false
		}
		damaged := append([]byte(nil), p.Data...)
		half := len(damaged) / 2
		damaged[half+int(segments.Add(1))%half] ^= 1
		return damaged, false
	})
}

func endCorrupt(in *injection) error {
	in.env.platform.SetFaults(platform.Faults{})
	return endTamper(in)
}

// beginDuplicate sends each message on the victim's links, and each call between the victim
// and another node, twice.
func beginDuplicate(in *injection) error {
	in.env.excludeFromConvergence(in.victim)
	return in.tamper(func(p memnet.Segment) ([]byte, bool) {
		if onLink(p) == isHTTPHead(p) || bytes.HasPrefix(p.Data, []byte("HTTP/")) {
			return p.Data, false
		}
		return append(append([]byte(nil), p.Data...), p.Data...), false
	})
}

// tamper applies change to the segments between the victim and other nodes.
func (in *injection) tamper(change memnet.Tamper) error {
	in.env.setTamper(in.fault.name, func(p memnet.Segment) ([]byte, bool) {
		if !in.affects(p.Source, p.Destination) || !isNode(p.Source) || !isNode(p.Destination) || p.Source == p.Destination {
			return p.Data, false
		}
		return change(p)
	})
	return nil
}

func endTamper(in *injection) error {
	in.env.setTamper(in.fault.name, nil)
	return nil
}

// beginPartition disconnects the victim's failure domain from the other failure domains
// and from the platform.
func beginPartition(in *injection) error {
	inside := map[string]bool{}
	domain := in.env.fleet.Node(in.victim).Host.Domain
	for _, h := range in.env.fleet.Hosts() {
		if h.Domain == domain {
			inside[string(h.ID)] = true
			in.env.excludeFromConvergence(h.ID)
		}
	}
	in.env.setRule(in.fault.name, func(from, to string) (relay.Fault, time.Duration) {
		if from != simfleet.CallerHost && to != simfleet.CallerHost && inside[from] != inside[to] {
			return relay.Cut, 0
		}
		return relay.Pass, 0
	})
	return nil
}

func beginSource(f platform.Faults) func(*injection) error {
	return func(in *injection) error {
		in.env.excludeFromConvergence(in.env.allHosts()...)
		in.env.platform.SetFaults(f)
		return nil
	}
}

func endSource(in *injection) error {
	in.env.platform.SetFaults(platform.Faults{})
	return nil
}

func beginInvalidRelease(in *injection) error {
	return in.env.publishInvalid()
}

// beginHerdRestart kills the victim and further nodes at once, killedAtOnce in all.
func beginHerdRestart(in *injection) error {
	in.env.kill(in.killedHosts()...)
	return errInjected
}

func endHerdRestart(in *injection) error {
	return in.env.restart(in.killedHosts()...)
}

func (in *injection) killedHosts() []model.HostID {
	killedHosts := []model.HostID{in.victim}
	for _, id := range in.env.allHosts() {
		if id != in.victim && len(killedHosts) < killedAtOnce {
			killedHosts = append(killedHosts, id)
		}
	}
	return killedHosts
}

func beginTarget(change func(b *target.Behaviour)) func(*injection) error {
	return func(in *injection) error {
		t := in.env.targets[in.victim]
		b := t.Behaviour()
		change(&b)
		t.SetBehaviour(b)
		return nil
	}
}

func endTarget(in *injection) error {
	in.env.targets[in.victim].SetBehaviour(target.DefaultBehaviour())
	return nil
}

func hang(b *target.Behaviour)  { b.Hang = 1 }
func crash(b *target.Behaviour) { b.Crash = 1 }

func overload(b *target.Behaviour) {
	b.Slots = 1
	b.ServiceTime = jsonc.Duration(time.Second)
	b.ShedAt = 1
}

func misreport(b *target.Behaviour) {
	b.ReportUnhealthy = true
	b.ReportIdle = true
}

// kill ends nodes all at once, as a crash of their processes does.
func (e *env) kill(hosts ...model.HostID) {
	e.excludeFromConvergence(hosts...)
	for _, id := range hosts {
		reap, err := e.fleet.BeginKill(id)
		if err != nil {
			continue // the node has already been killed
		}
		e.background(reap)
	}
}

// restart starts those of the given nodes that are not running.
func (e *env) restart(hosts ...model.HostID) error {
	e.settleBackground()
	for _, id := range hosts {
		if e.fleet.Node(id).Running() != nil {
			continue
		}
		if err := e.fleet.Start(context.Background(), id); err != nil {
			return err
		}
	}
	return nil
}
