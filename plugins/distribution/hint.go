package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// releaseHint is a newer release number that was seen on a call.
type releaseHint struct {
	peer   model.HostID
	number uint64
	since  time.Time
}

// handleObservedRelease handles the release number of a peer as seen on a call.
// A difference is normal while a change propagates, so the node reacts only if
// it persists.
func (e *engine) handleObservedRelease(peer model.HostID, number uint64, now time.Time) {
	held := e.releases.Version().Number
	if !e.spreadsViaPeers() || number == held {
		return
	}
	if number > held {
		e.highest = max(e.highest, number)
		if e.hint.number <= held {
			e.hint = releaseHint{peer: peer, number: number, since: now}
		}
		return
	}
	if now.Sub(e.heldSince) <= e.settings.Heartbeat.Std() {
		return
	}
	if l := e.linkTo(peer); l != nil {
		e.reannounce(l, now)
		return
	}
	e.dialRepair(peer, now)
}

// followHint requests the release from the peer of the hint if it has not
// arrived by push or pull within half a heartbeat interval.
func (e *engine) followHint(now time.Time) {
	hint := &e.hint
	if hint.number <= e.releases.Version().Number || now.Sub(hint.since) < e.settings.Heartbeat.Std()/2 {
		return
	}
	if l := e.linkTo(hint.peer); l != nil {
		e.recordVersion(l, wire.DocumentRelease, wire.Version{Number: hint.number}, 0, now)
		e.pullDue(wire.DocumentRelease, now)
	} else {
		e.dialRepair(hint.peer, now)
	}
	e.hint = releaseHint{}
}
