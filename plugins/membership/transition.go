package membership

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// timing holds the timeouts of state transitions.
type timing struct {
	// deadAfter is how long a host stays suspected after the first failed attempt
	// to connect before it is dead.
	deadAfter time.Duration
	// trustAlive is how long evidence that a host is up takes precedence over
	// notices that it has failed.
	trustAlive time.Duration
	// recheckAfter is how long a host stays dead by notices alone before it
	// becomes suspected, so that the node tries to connect to it.
	recheckAfter time.Duration
}

// result holds the notices that a transition requires.
type result struct {
	// fresh is set if the applied notice was new and is to be relayed.
	fresh bool
	// originate is a notice that the node itself has to broadcast; nil if none.
	originate *model.Notice
}

// observe returns the record after evidence that the node itself received.
// broadcast is set if the node may announce the change of state.
func (t timing) observe(r record, o model.Observation, broadcast bool) (record, result) {
	switch o.Evidence {
	case model.EvidenceAlive:
		return t.alive(r, o, broadcast)
	case model.EvidenceDraining:
		return t.draining(r, o)
	case model.EvidenceLinkLost:
		return t.linkLost(r, o), result{}
	case model.EvidenceUnreachable:
		return t.unreachable(r, o, broadcast)
	}
	return r, result{}
}

// alive applies evidence that the host is up. The return of a host that was dead, or
// that restarted after leaving, is announced.
func (t timing) alive(r record, o model.Observation, broadcast bool) (record, result) {
	if o.At.Before(r.lastAlive) && o.Incarnation != r.incarnation {
		return r, result{} // delayed evidence of an earlier process
	}
	wasDown := r.state == model.MemberDead || r.reportedState == model.MemberDead
	if o.Incarnation != 0 && o.Incarnation != r.incarnation {
		wasDown = wasDown || r.state == model.MemberLeaving
		r.startIncarnation(o.Incarnation, o.At)
	}
	r.lastAlive = o.At
	r.connectFailed = false
	r.setState(r.healthyState(), o.At)
	if !wasDown || !broadcast || r.incarnation == 0 {
		return r, result{}
	}
	n := r.nextNotice(r.state)
	return r, result{originate: &n}
}

// draining applies a message of the host itself that it is leaving.
func (t timing) draining(r record, o model.Observation) (record, result) {
	if r.isRetired(o.Incarnation) {
		return r, result{}
	}
	if o.Incarnation != 0 && o.Incarnation != r.incarnation {
		r.startIncarnation(o.Incarnation, o.At)
	}
	r.lastAlive = o.At
	r.connectFailed = false
	r.leaving = true
	r.setState(model.MemberLeaving, o.At)
	return r, result{}
}

func (t timing) linkLost(r record, o model.Observation) record {
	if !r.isCurrent(o) || r.state != model.MemberLive {
		return r
	}
	r.setState(model.MemberSuspected, o.At)
	return r
}

// unreachable applies a failed attempt to connect. Apart from notices, only such
// failures of the node itself can make a host dead.
func (t timing) unreachable(r record, o model.Observation, broadcast bool) (record, result) {
	if !r.isCurrent(o) || r.state == model.MemberDead {
		return r, result{}
	}
	if !r.connectFailed {
		r.connectFailed = true
		r.changedAt = o.At
	}
	if r.state == model.MemberLive {
		r.setState(model.MemberSuspected, o.At)
	}
	return t.expire(r, o.At, broadcast)
}

// isCurrent reports whether evidence of a failure is about the current process and
// not older than the last evidence that the host is up.
func (r *record) isCurrent(o model.Observation) bool {
	if o.Incarnation != 0 && r.incarnation != 0 && o.Incarnation != r.incarnation {
		return false
	}
	return !o.At.Before(r.lastAlive)
}

// expire applies timeouts that have expired by now.
func (t timing) expire(r record, now time.Time, broadcast bool) (record, result) {
	elapsed := now.Sub(r.changedAt)
	switch {
	case r.connectFailed && r.state != model.MemberDead && elapsed >= t.deadAfter:
		r.setState(model.MemberDead, now)
		if !broadcast || r.incarnation == 0 || r.reportedState == model.MemberDead {
			return r, result{}
		}
		n := r.nextNotice(model.MemberDead)
		return r, result{originate: &n}
	case !r.connectFailed && r.state == model.MemberDead && elapsed >= t.recheckAfter:
		r.setState(model.MemberSuspected, now)
	}
	return r, result{}
}

// timeDependent reports whether expire can change the state of the record.
func (r *record) timeDependent() bool {
	if r.state == model.MemberDead {
		return !r.connectFailed
	}
	return r.connectFailed
}

// resetSuspicion restarts the timeouts of a record after a pause of the node's own
// process, since the pause may have caused the failures.
func (t timing) resetSuspicion(r record, now time.Time) record {
	r.connectFailed = false
	r.changedAt = now
	return r
}

// applyNotice returns the record after a notice from another node.
func (t timing) applyNotice(r record, n model.Notice, now time.Time) (record, result) {
	if r.isRetired(n.Incarnation) || n.Incarnation == 0 {
		return r, result{}
	}
	if n.Incarnation != r.incarnation {
		return t.applyNewIncarnation(r, n, now)
	}
	firstLeaving := n.State == model.MemberLeaving && !r.leaving
	if !firstLeaving && !r.supersededBy(n) {
		return r, result{}
	}
	if isFailure(n.State) && t.recentlyAlive(r, now) {
		r.sequence = n.Sequence
		refutation := r.nextNotice(r.state)
		return r, result{originate: &refutation}
	}
	if r.supersededBy(n) {
		r.sequence = n.Sequence
		r.setReported(n.State)
	}
	r.leaving = r.leaving || firstLeaving
	r.setState(t.derivedState(r), now)
	return r, result{fresh: true}
}

// supersededBy reports whether a notice about the current incarnation takes
// precedence over earlier ones: it has a higher sequence, or a worse state with the
// same sequence.
func (r *record) supersededBy(n model.Notice) bool {
	if n.Sequence != r.sequence {
		return n.Sequence > r.sequence
	}
	return isFailure(n.State) && n.State > r.reportedState
}

// isFailure reports whether a state means that the host has failed or may have.
func isFailure(s model.MemberState) bool {
	return s == model.MemberSuspected || s == model.MemberDead
}

// applyNewIncarnation applies a notice about an unknown incarnation. If another one
// is known, a notice of failure is ignored: only a live or leaving notice, which goes
// back to the process itself, shows that its incarnation is the newer one.
func (t timing) applyNewIncarnation(r record, n model.Notice, now time.Time) (record, result) {
	if r.incarnation != 0 && isFailure(n.State) {
		return r, result{}
	}
	r.startIncarnation(n.Incarnation, now)
	r.sequence = n.Sequence
	r.setReported(n.State)
	r.setState(t.derivedState(r), now)
	return r, result{fresh: true}
}

// recentlyAlive reports whether the node itself received evidence within trustAlive
// that the host is up, and the host is neither suspected nor dead.
func (t timing) recentlyAlive(r record, now time.Time) bool {
	return !isFailure(r.state) && !r.lastAlive.IsZero() && now.Sub(r.lastAlive) < t.trustAlive
}

// derivedState returns the state after a notice. A host that the node itself cannot
// reach stays suspected when others report it live.
func (t timing) derivedState(r record) model.MemberState {
	switch {
	case r.reportedState == model.MemberDead:
		return model.MemberDead
	case r.healthyState() == model.MemberLeaving:
		return model.MemberLeaving
	case r.connectFailed:
		return model.MemberSuspected
	default:
		return r.reportedState
	}
}
