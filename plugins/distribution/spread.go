package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// handlePush handles a push; data is its encoded form.
func (e *engine) handlePush(l *link, m *wire.Push, data []byte, now time.Time) {
	l.versions[m.Document] = m.Target
	if m.Document == wire.DocumentRelease {
		e.floors.Claim(l.peer, m.Target.Number)
	}
	requested := e.pulls[m.Document].requestedFrom == l.id
	if !e.isWanted(m.Document, m.Target) {
		e.handleDuplicate(l, requested)
		return
	}
	r, err := e.decode(m)
	if err != nil {
		e.handleUndecodable(l, m, err, now)
		return
	}
	if !e.installPushed(l, r, now) {
		return
	}
	e.store(m.Document).CachePush(m.Base, data)
	if l.purpose == wire.PurposeLink {
		l.eager = true
	}
	e.metrics.countReceived(m.Base == (wire.Version{}))
	e.finishPull(m.Document)
	e.spread(m.Document, l.id, now)
}

func (e *engine) decode(m *wire.Push) (*revision, error) {
	if err := e.runHook(kernel.HookVerify); err != nil {
		return nil, err
	}
	return e.store(m.Document).Decode(m)
}

func (e *engine) installPushed(l *link, r *revision, now time.Time) bool {
	if r.hosts != nil {
		e.installHosts(r, string(l.peer), now)
		return true
	}
	verdict := e.evaluateOffer(&r.release.Record, r.version, string(l.peer))
	return verdict.Accepted() && e.installRelease(r, string(l.peer), now)
}

// handleDuplicate prunes a link whose unsolicited push arrived after the same
// version from another link.
func (e *engine) handleDuplicate(l *link, requested bool) {
	e.metrics.duplicates.Add(1)
	if requested || !l.eager || l.purpose != wire.PurposeLink {
		return
	}
	l.eager = false
	e.send(l, &wire.Prune{})
}

// handlePull replies to a pull or graft with the newest version, or with an
// announcement if there is none newer than have.
func (e *engine) handlePull(l *link, d wire.Document, have wire.Version, whole bool, now time.Time) {
	l.versions[d] = have
	s := e.store(d)
	if !e.spreadsViaPeers() || s.held == nil || !supersedes(d, s.Version(), have) {
		e.announce(l, now)
		return
	}
	if whole {
		have = wire.Version{}
	}
	e.push(l, s, have)
}

func (e *engine) push(l *link, s *store, from wire.Version) {
	if err := e.runHook(kernel.HookPushDelta); err != nil {
		return
	}
	data, err := s.Push(from)
	if err != nil {
		e.metrics.encodeFailures.Add(1)
		return
	}
	l.versions[s.document] = s.Version()
	e.metrics.countPush(s.whole || s.Base(from) == nil)
	e.sendEncoded(l, wire.KindPush, data)
}

// spread propagates a new version on all links but one. It is pushed on eager
// links where the delta is small enough, and announced on the others.
func (e *engine) spread(d wire.Document, except linkID, now time.Time) {
	if !e.spreadsViaPeers() {
		return
	}
	for _, l := range e.links {
		if l.id == except {
			continue
		}
		e.spreadTo(l, d, now)
	}
}

func (e *engine) spreadTo(l *link, d wire.Document, now time.Time) {
	s := e.store(d)
	if !supersedes(d, s.Version(), l.versions[d]) {
		return
	}
	if l.eager && e.canPushEagerly(l, s) {
		e.push(l, s, l.versions[d])
		return
	}
	if l.announceAt.IsZero() {
		l.announceAt = now.Add(e.jitter(e.settings.AnnounceDelay.Std()))
	}
}

// canPushEagerly reports whether there is a base for a delta to the peer and
// the unsolicited push is small enough.
func (e *engine) canPushEagerly(l *link, s *store) bool {
	if !s.HasBase(l.versions[s.document]) {
		return false
	}
	data, err := s.Push(l.versions[s.document])
	return err == nil && (s.whole || len(data) <= wire.MaxEagerBytes)
}

// announce sends the held versions to a peer immediately.
func (e *engine) announce(l *link, now time.Time) {
	if err := e.runHook(kernel.HookAnnounce); err != nil {
		return
	}
	l.announceAt = time.Time{}
	l.nextHeartbeat = now.Add(e.settings.Heartbeat.Std())
	heartbeat := e.newHeartbeat()
	e.send(l, (*wire.Announce)(heartbeat))
}

func (e *engine) newHeartbeat() *wire.Heartbeat {
	release := e.releases.Version()
	return &wire.Heartbeat{
		Release:      release.Number,
		DigestPrefix: release.DigestPrefix,
		Hosts:        e.hosts.Version().Number,
		Unsettled:    !e.settled,
	}
}

// jitter returns a random duration in [0.5d, 1.5d).
func (e *engine) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + e.random()) * float64(d))
}

// sendDue sends the heartbeats and announcements that are due. An announcement
// is skipped if the peer has reported in the meantime that it holds the
// version.
func (e *engine) sendDue(now time.Time) {
	var heartbeat []byte
	for _, l := range e.links {
		if !l.announceAt.IsZero() && !now.Before(l.announceAt) {
			l.announceAt = time.Time{}
			if e.isPeerBehind(l) {
				e.announce(l, now)
			}
		}
		if now.Before(l.nextHeartbeat) {
			continue
		}
		if heartbeat == nil {
			heartbeat = e.encode(e.newHeartbeat())
		}
		l.nextHeartbeat = now.Add(e.settings.Heartbeat.Std())
		e.sendEncoded(l, wire.KindHeartbeat, heartbeat)
	}
}

// handleHeartbeat handles a heartbeat or an announcement.
func (e *engine) handleHeartbeat(l *link, m *wire.Heartbeat, now time.Time) {
	wait := e.settings.GraftDelay.Std()
	release := wire.Version{Number: m.Release, DigestPrefix: m.DigestPrefix}
	hosts := e.hosts.CompleteVersion(wire.Version{Number: m.Hosts})
	e.recordVersion(l, wire.DocumentRelease, release, wait, now)
	e.recordVersion(l, wire.DocumentHosts, hosts, wait, now)
	if !m.Unsettled && !e.settledPeers[l.peer] {
		e.settledPeers[l.peer] = true
		e.settle(now)
	}
	e.reannounce(l, now)
}

// isPeerBehind reports whether a peer holds an older version than the node,
// according to its last report.
func (e *engine) isPeerBehind(l *link) bool {
	for d, version := range l.versions {
		if supersedes(d, e.store(d).Version(), version) {
			return true
		}
	}
	return false
}

// reannounce announces the held versions to a peer that has been behind for
// more than a heartbeat interval.
func (e *engine) reannounce(l *link, now time.Time) {
	interval := e.settings.Heartbeat.Std()
	stable := now.Sub(e.heldSince) > interval && now.Sub(e.hostsInstalledAt) > interval
	if stable && e.spreadsViaPeers() && e.isPeerBehind(l) && now.Sub(l.lastReannounce) >= interval {
		l.lastReannounce = now
		e.announce(l, now)
	}
}

// handleRefusal records a refusal reported by a peer and forwards it if it is
// new, so that operators can see it on any node.
func (e *engine) handleRefusal(l *link, m *wire.Refusal) {
	if m.Release <= e.releases.Version().Number {
		return
	}
	e.highest = max(e.highest, m.Release)
	if e.refused.Add(refusalFromMessage(m)) {
		e.flood(m, l.id)
	}
}

// handleNotice handles a notice from a peer and forwards it if it is new.
func (e *engine) handleNotice(l *link, m *wire.Notice) {
	if e.out.ApplyNotice(m.Notice) {
		e.flood(m, l.id)
	}
}

// flood sends a message on all persistent links but one.
func (e *engine) flood(m wire.Message, except linkID) {
	data := e.encode(m)
	for _, l := range e.links {
		if l.id != except && l.purpose == wire.PurposeLink {
			e.sendEncoded(l, m.Kind(), data)
		}
	}
}

func (e *engine) send(l *link, m wire.Message) {
	e.sendEncoded(l, m.Kind(), e.encode(m))
}

func (e *engine) sendEncoded(l *link, kind wire.Kind, data []byte) {
	if data == nil {
		return
	}
	e.metrics.countSent(kind, len(data))
	e.out.Send(l.id, data)
}

func (e *engine) encode(m wire.Message) []byte {
	data, err := wire.Encode(m)
	if err != nil {
		e.metrics.encodeFailures.Add(1)
		return nil
	}
	return data
}
