package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	"github.com/pkg/errors"
)

// wholePullFactor multiplies the timeout of a pull that transfers a whole
// document.
const wholePullFactor = 5

// pullState tracks the retrieval of a document version that a peer has and the
// node lacks.
type pullState struct {
	// target is the newest version that a peer has reported, zero for none.
	target wire.Version
	// due is when the next request is sent, unless the document arrives before.
	due time.Time
	// requestedFrom is the link that the outstanding request was sent on, 0 for
	// none.
	requestedFrom linkID
	// whole requests the whole document in place of a delta.
	whole bool
	// tried contains the links that did not deliver the document.
	tried map[linkID]bool
}

// isWanted reports whether offered is newer than the held version and was not
// refused by this node.
func (e *engine) isWanted(d wire.Document, offered wire.Version) bool {
	return supersedes(d, offered, e.store(d).Version()) && (d != wire.DocumentRelease || !e.refused.RefusedLocally(offered))
}

// supersedes reports whether version a of a document replaces version b. Host
// lists with the same revision are considered equal.
func supersedes(d wire.Document, a, b wire.Version) bool {
	if d == wire.DocumentHosts {
		return a.Number > b.Number
	}
	return a.Newer(b)
}

// recordVersion records the version that a peer holds. If it is newer than the
// held one, it is requested after the given wait.
func (e *engine) recordVersion(l *link, d wire.Document, version wire.Version, wait time.Duration, now time.Time) {
	l.versions[d] = version
	if d == wire.DocumentRelease {
		e.highest = max(e.highest, version.Number)
		e.floors.Claim(l.peer, version.Number)
	}
	if !e.spreadsViaPeers() || !e.isWanted(d, version) {
		return
	}
	pull := e.pulls[d]
	if pull.target == (wire.Version{}) {
		*pull = pullState{target: version, due: now.Add(wait)}
		return
	}
	if version.Newer(pull.target) {
		pull.target = version
	}
}

// pullAllDue requests the documents whose wait is over.
func (e *engine) pullAllDue(now time.Time) {
	e.pullDue(wire.DocumentRelease, now)
	e.pullDue(wire.DocumentHosts, now)
}

func (e *engine) pullDue(d wire.Document, now time.Time) {
	pull := e.pulls[d]
	if pull.target == (wire.Version{}) {
		return
	}
	if !e.isWanted(d, pull.target) {
		e.finishPull(d)
		return
	}
	if now.Before(pull.due) {
		return
	}
	if pull.requestedFrom != 0 {
		e.recordPullTimeout(pull)
	}
	l := e.bestHolder(d, pull)
	if l == nil {
		*pull = pullState{} // the next heartbeat of a peer that has it restarts the pull
		return
	}
	e.sendPull(l, d, pull, now)
}

func (e *engine) recordPullTimeout(pull *pullState) {
	if pull.tried == nil {
		pull.tried = map[linkID]bool{}
	}
	pull.tried[pull.requestedFrom] = true
	e.metrics.pullTimeouts.Add(1)
	pull.requestedFrom = 0 // a late reply is still accepted
}

// finishPull ends the pull of a document that arrived or is no longer wanted,
// and restores the read limit of the link.
func (e *engine) finishPull(d wire.Document) {
	pull := e.pulls[d]
	if l := e.linkByID(pull.requestedFrom); l != nil {
		e.out.AllowLarge(l.id, e.settings.WholeReleases)
	}
	*pull = pullState{}
}

// bestHolder returns the link to send a request on, nil if there is none. Of
// the links not tried yet it prefers the newest version, then the most recently
// received message.
func (e *engine) bestHolder(d wire.Document, pull *pullState) *link {
	var best *link
	for _, l := range e.links {
		if !e.isWanted(d, l.versions[d]) || pull.tried[l.id] {
			continue
		}
		if best == nil || betterHolder(l, best, d) {
			best = l
		}
	}
	return best
}

func betterHolder(a, b *link, d wire.Document) bool {
	if a.versions[d] != b.versions[d] {
		return a.versions[d].Newer(b.versions[d])
	}
	if !a.lastReceived.Equal(b.lastReceived) {
		return a.lastReceived.After(b.lastReceived)
	}
	return a.id < b.id
}

// sendPull requests a document with a graft, or with a pull if the link must
// not become eager.
func (e *engine) sendPull(l *link, d wire.Document, pull *pullState, now time.Time) {
	if err := e.runHook(kernel.HookPull); err != nil {
		return
	}
	have := e.store(d).Version()
	timeout := e.settings.PullTimeout.Std()
	if have.Number == 0 || pull.whole {
		timeout *= wholePullFactor
	}
	pull.requestedFrom = l.id
	pull.due = now.Add(timeout)
	e.out.AllowLarge(l.id, true)
	if l.purpose == wire.PurposeLink && !pull.whole && have.Number != 0 {
		l.eager = true
		e.metrics.grafts.Add(1)
		e.send(l, &wire.Graft{Document: d, Have: have})
		return
	}
	e.metrics.pulls.Add(1)
	e.send(l, &wire.Pull{Document: d, Have: have, Whole: pull.whole})
}

// handleUndecodable schedules a new request for a document that was corrupt or
// a delta from an unknown base.
func (e *engine) handleUndecodable(l *link, m *wire.Push, err error, now time.Time) {
	pull := e.pulls[m.Document]
	if pull.target == (wire.Version{}) {
		pull.target = m.Target
	}
	pull.due = now
	if errors.Is(err, errNoBase) {
		pull.requestedFrom = 0
		return
	}
	e.metrics.corrupt.Add(1)
	e.out.Emit(eventCorrupt, event.Fields{
		"peer":     l.peer,
		"document": m.Document.String(),
		"target":   m.Target.Number,
		"error":    err.Error(),
	})
	if pull.requestedFrom == l.id && pull.whole {
		return // the next request goes to another peer
	}
	pull.requestedFrom = 0
	pull.whole = true
}
