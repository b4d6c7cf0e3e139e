package convergebench

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/relay"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/pkg/errors"
)

const (
	// victimDivisor is the divisor of the number of hosts that gives the number of
	// hosts killed or paused, at least one.
	victimDivisor = 8
	// corruptEvery makes the platform corrupt every third response for each key.
	corruptEvery = 3
)

// faultInjection begins and ends a fault. hidesPublications is set if nodes cannot
// see new releases before the end.
type faultInjection struct {
	begin             func(r *run) error
	end               func(ctx context.Context, r *run) error
	hidesPublications bool
}

var faultInjections = map[Fault]faultInjection{
	FaultNone:            {begin: func(*run) error { return nil }, end: func(context.Context, *run) error { return nil }},
	FaultKill:            {begin: killVictims, end: startVictims},
	FaultPause:           {begin: pauseVictims, end: resumeVictims},
	FaultSilence:         {begin: setRelayRule(silenceOpen), end: clearRelayRule},
	FaultPartition:       {begin: setRelayRule(partitionDomains), end: clearRelayRule},
	FaultSourceDown:      {begin: setSourceFaults(platform.Faults{Down: platform.Unavailable}), end: clearSourceFaults, hidesPublications: true},
	FaultSourceStale:     {begin: setSourceFaults(platform.Faults{Stale: true}), end: clearSourceFaults, hidesPublications: true},
	FaultSourceBackwards: {begin: setSourceFaults(platform.Faults{Backwards: true}), end: clearSourceFaults},
	FaultSourceCorrupt:   {begin: setSourceFaults(platform.Faults{CorruptEvery: corruptEvery}), end: clearSourceFaults},
	FaultRestartAll:      {begin: restartAll, end: func(context.Context, *run) error { return nil }},
}

// chooseVictims returns the hosts that a fault affects, chosen at random by the seed.
func (r *run) chooseVictims() []*procfleet.Proc {
	order := r.random.Perm(len(r.procs))
	chosen := make([]*procfleet.Proc, 0, len(order))
	for _, i := range order[:max(len(order)/victimDivisor, 1)] {
		chosen = append(chosen, r.procs[i])
	}
	return chosen
}

func killVictims(r *run) error {
	r.victims = r.chooseVictims()
	for _, p := range r.victims {
		r.markUnreachable(p)
		if err := p.Kill(); err != nil {
			return errors.Wrapf(err, "kill %s", p.Host.ID)
		}
	}
	return nil
}

func startVictims(ctx context.Context, r *run) error {
	return r.restart(ctx, r.victims)
}

func pauseVictims(r *run) error {
	r.victims = r.chooseVictims()
	for _, p := range r.victims {
		r.markUnreachable(p)
		if err := p.Pause(); err != nil {
			return errors.Wrapf(err, "pause %s", p.Host.ID)
		}
	}
	return nil
}

func resumeVictims(ctx context.Context, r *run) error {
	startTime := time.Now()
	for _, p := range r.victims {
		if err := p.Resume(); err != nil {
			return errors.Wrapf(err, "resume %s", p.Host.ID)
		}
		r.markReachable(p, startTime)
	}
	return r.catchUp(ctx, r.victims, startTime)
}

// restartAll kills every node and then starts all of them at the same time, as a
// thundering herd.
func restartAll(r *run) error {
	for _, p := range r.procs {
		r.markUnreachable(p)
		if err := p.Kill(); err != nil {
			return errors.Wrapf(err, "kill %s", p.Host.ID)
		}
	}
	return r.restart(r.ctx, r.procs)
}

// setRelayRule returns a function that begins a fault of the connections between
// nodes.
func setRelayRule(newRule func(r *run) relay.Rule) func(*run) error {
	return func(r *run) error {
		r.fleet.Relay().SetRule(newRule(r))
		return nil
	}
}

func clearRelayRule(_ context.Context, r *run) error {
	r.fleet.Relay().SetRule(func(string, string) (relay.Fault, time.Duration) { return relay.Pass, 0 })
	return nil
}

// silenceOpen returns a rule that permanently stops the traffic on all connections
// open at this time, without closing them. New connections work.
func silenceOpen(*run) relay.Rule {
	return func(string, string) (relay.Fault, time.Duration) { return relay.SilenceOpen, 0 }
}

// partitionDomains returns a rule that cuts the connections between the first half
// of the failure domains and the others.
func partitionDomains(r *run) relay.Rule {
	side := map[string]bool{}
	for i, p := range r.procs {
		side[string(p.Host.ID)] = i%r.options.Domains < (r.options.Domains+1)/2
	}
	return func(source, destination string) (relay.Fault, time.Duration) {
		if side[source] != side[destination] {
			return relay.Cut, 0
		}
		return relay.Pass, 0
	}
}

func setSourceFaults(f platform.Faults) func(*run) error {
	return func(r *run) error {
		f.Seed = r.options.Seed
		r.platform.SetFaults(f)
		return nil
	}
}

func clearSourceFaults(_ context.Context, r *run) error {
	r.platform.SetFaults(platform.Faults{})
	return nil
}
