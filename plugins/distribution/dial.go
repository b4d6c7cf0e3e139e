package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/overlay"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

const (
	// minChooseInterval is the minimum time between two choices of peers.
	minChooseInterval = 500 * time.Millisecond
	// unneededTimeout is how long a link is kept after its peer was last chosen.
	unneededTimeout = 10 * time.Second
	// maxDialing bounds the concurrent dials to chosen peers.
	maxDialing = 8
	// dialStateTTL is how long the dial state of a host that is no longer chosen
	// is kept, from the time of its next attempt.
	dialStateTTL = 30 * time.Second
	// downAfterFailures is the number of consecutive failed dials after which a
	// substitute is dialled as well.
	downAfterFailures = 2
)

// dialState tracks the dials to one host.
type dialState struct {
	inProgress  bool
	failures    int // consecutive, also counts links that closed early
	nextAttempt time.Time
}

// maintainLinks opens and closes links to match the peers that the overlay
// chooses.
func (e *engine) maintainLinks(now time.Time) {
	if e.stopped {
		return
	}
	if e.choicesStale && now.Sub(e.chosenAt) >= minChooseInterval {
		e.choosePeers(now)
	}
	e.closeUnneeded(now)
	e.dialDue(now)
}

func (e *engine) choosePeers(now time.Time) {
	e.choicesStale = false
	e.chosenAt = now
	hosts := make([]model.Host, 0, len(e.view.Members))
	for i := range e.view.Members {
		hosts = append(hosts, e.view.Members[i].Host)
	}
	e.chosen = overlay.Choose(e.self, hosts, e.isDown, e.settings.linkCounts())
	e.expireDialStates(now)
}

// expireDialStates removes the dial state of hosts that are no longer in the
// view, or that are not chosen and whose state is older than dialStateTTL.
func (e *engine) expireDialStates(now time.Time) {
	for host, d := range e.dials {
		_, listed := e.view.ByID[host]
		old := now.Sub(d.nextAttempt) > dialStateTTL && !e.isChosen(host)
		if !d.inProgress && (old || !listed) {
			delete(e.dials, host)
		}
	}
}

// isDown reports whether the host needs a substitute.
func (e *engine) isDown(host model.HostID) bool {
	if e.linkTo(host) != nil {
		return false
	}
	if m := e.view.ByID[host]; m != nil && m.State == model.MemberDead {
		return true
	}
	d, known := e.dials[host]
	return known && d.failures >= downAfterFailures
}

// closeUnneeded closes outgoing links whose peer has not been chosen for
// unneededTimeout.
func (e *engine) closeUnneeded(now time.Time) {
	if e.view.Revision == 0 {
		return
	}
	for _, l := range e.links {
		if !l.outgoing || l.purpose != wire.PurposeLink || e.isChosen(l.peer) {
			l.unneededSince = time.Time{}
			continue
		}
		if l.unneededSince.IsZero() {
			l.unneededSince = now
			continue
		}
		if now.Sub(l.unneededSince) > unneededTimeout {
			e.closeLink(l, &wire.Goodbye{Reason: wire.GoodbyeUnneeded}, "unneeded", now)
		}
	}
}

func (e *engine) isChosen(host model.HostID) bool {
	for i := range e.chosen {
		if e.chosen[i].Host.ID == host {
			return true
		}
	}
	return false
}

// dialDue dials the chosen peers that have no link and whose backoff has
// expired.
func (e *engine) dialDue(now time.Time) {
	dialing := 0
	for _, d := range e.dials {
		if d.inProgress {
			dialing++
		}
	}
	for i := range e.chosen {
		if dialing >= maxDialing {
			return
		}
		host := e.chosen[i].Host
		d := e.dialStateOf(host.ID)
		if d.inProgress || now.Before(d.nextAttempt) || e.linkTo(host.ID) != nil {
			continue
		}
		if err := e.runHook(kernel.HookDialPeer); err != nil {
			continue
		}
		d.inProgress = true
		dialing++
		e.out.Dial(dialRequest{host: host, purpose: wire.PurposeLink, hello: e.newHello(host.ID, wire.PurposeLink)})
	}
}

// dialRepair opens a short-lived link to a host to exchange versions with it,
// at most once per heartbeat interval.
func (e *engine) dialRepair(peer model.HostID, now time.Time) {
	m := e.view.ByID[peer]
	if m == nil || e.dialStateOf(peer).inProgress || now.Sub(e.lastRepair) < e.settings.Heartbeat.Std() {
		return
	}
	e.lastRepair = now
	e.dialStateOf(peer).inProgress = true
	e.metrics.repairs.Add(1)
	e.out.Dial(dialRequest{host: m.Host, purpose: wire.PurposeRepair, hello: e.newHello(peer, wire.PurposeRepair)})
}

// handleDialFailed handles a failed dial; retryAfter is the delay that the peer
// asked for, measured from now.
func (e *engine) handleDialFailed(host model.HostID, rejected bool, retryAfter time.Duration, now time.Time) {
	if !rejected {
		e.out.Observe(model.Observation{Host: host, Evidence: model.EvidenceUnreachable, At: now})
	}
	e.dialEnded(host, true, retryAfter, now)
}

func (e *engine) dialEnded(host model.HostID, failed bool, retryAfter time.Duration, now time.Time) {
	d := e.dialStateOf(host)
	d.inProgress = false
	if !failed {
		return
	}
	d.failures++
	d.nextAttempt = now.Add(retryAfter + e.dialBackoff(d.failures))
	if d.failures == downAfterFailures {
		e.choicesStale = true
	}
}

func (e *engine) dialBackoff(failures int) time.Duration {
	return Backoff(e.settings.RetryBase.Std(), e.settings.RetryLimit.Std(), failures, e.random())
}

func (e *engine) dialStateOf(host model.HostID) *dialState {
	d, known := e.dials[host]
	if !known {
		d = &dialState{}
		e.dials[host] = d
	}
	return d
}
