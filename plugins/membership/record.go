package membership

import (
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// retiredIncarnations is the number of earlier incarnations kept for each host, so
// that delayed notices about them are recognized.
const retiredIncarnations = 4

// record is what the node knows of one host.
type record struct {
	host        model.Host
	state       model.MemberState
	incarnation model.Incarnation
	// retired holds earlier incarnations, the most recent first.
	retired [retiredIncarnations]model.Incarnation
	// sequence and reportedState are those of the latest notice about the
	// incarnation; reportedState is live, suspected or dead.
	sequence      uint64
	reportedState model.MemberState
	// leaving is set once the incarnation has announced that it is leaving. It
	// stays set regardless of the order in which notices arrive.
	leaving bool
	// lastAlive is when the node itself last received evidence that the host is
	// up.
	lastAlive time.Time
	// changedAt is the start of the current timeout: the last change of state, the
	// first failed attempt to connect since lastAlive, or the end of a pause.
	changedAt time.Time
	// connectFailed is set if an attempt to connect to the host has failed since
	// lastAlive.
	connectFailed bool
}

// setState changes the state and restarts the timeout if the state differs.
func (r *record) setState(state model.MemberState, now time.Time) {
	if r.state != state {
		r.state = state
		r.changedAt = now
	}
}

// healthyState returns the state of the host in the absence of failures: live or
// leaving.
func (r *record) healthyState() model.MemberState {
	if r.host.Leaving || r.leaving {
		return model.MemberLeaving
	}
	return model.MemberLive
}

// startIncarnation resets the record for a new process of the host.
func (r *record) startIncarnation(incarnation model.Incarnation, now time.Time) {
	if r.incarnation != 0 {
		copy(r.retired[1:], r.retired[:])
		r.retired[0] = r.incarnation
	}
	if at := slices.Index(r.retired[:], incarnation); at >= 0 {
		r.retired[at] = 0
	}
	r.incarnation = incarnation
	r.sequence = 0
	r.reportedState = model.MemberLive
	r.leaving = false
	r.connectFailed = false
	r.setState(r.healthyState(), now)
}

func (r *record) isRetired(incarnation model.Incarnation) bool {
	return incarnation != 0 && slices.Contains(r.retired[:], incarnation)
}

// nextNotice returns a notice that supersedes all known ones about the incarnation,
// and records it.
func (r *record) nextNotice(state model.MemberState) model.Notice {
	r.sequence++
	r.setReported(state)
	return model.Notice{Host: r.host.ID, Incarnation: r.incarnation, State: state, Sequence: r.sequence}
}

// setReported records the state that a notice reports. Leaving is kept apart from
// reportedState.
func (r *record) setReported(state model.MemberState) {
	if state == model.MemberLeaving {
		r.leaving = true
		state = model.MemberLive
	}
	r.reportedState = state
}
