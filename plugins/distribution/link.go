package distribution

import (
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

const (
	// repairLifetime is how long a repair link is kept.
	repairLifetime = 5 * time.Second
	// backoffResetAfter is how long a link must have been open for its closing to
	// reset the dial backoff.
	backoffResetAfter = 5 * time.Second
)

// link is an open link to a peer.
type link struct {
	id             linkID
	peer           model.HostID
	incarnation    model.Incarnation
	purpose        wire.Purpose
	outgoing       bool
	openedAt       time.Time
	lastReceived   time.Time
	nextHeartbeat  time.Time
	lastReannounce time.Time
	unneededSince  time.Time
	// announceAt is when a new version is announced to the peer, unless the peer
	// reports before then that it holds it; zero if none is due.
	announceAt time.Time
	// eager is set while new versions are pushed on the link without a request.
	eager bool
	// versions are those that the peer last reported or that were pushed to it
	// since. The next heartbeat of the peer reveals a push that was lost.
	versions map[wire.Document]wire.Version
}

// newHello returns the first message to a peer.
func (e *engine) newHello(peer model.HostID, purpose wire.Purpose) *wire.Hello {
	return &wire.Hello{
		Protocol:    wire.ProtocolVersion,
		Fleet:       e.fleet,
		Host:        e.self.ID,
		Incarnation: e.incarnation,
		Release:     e.releases.Version(),
		Hosts:       e.hosts.Version(),
		Floor:       e.floors.Of(peer),
		Receiver:    peer,
		Purpose:     purpose,
		Unsettled:   !e.settled,
	}
}

// handleOpened handles a new link whose peer has sent its hello. On an incoming
// link the node replies with its own.
func (e *engine) handleOpened(id linkID, m *wire.Hello, outgoing bool, now time.Time) {
	if e.stopped {
		e.out.Close(id, &wire.Goodbye{Reason: wire.GoodbyeStopping})
		return
	}
	if reason, bad := e.incompatible(m); bad {
		e.out.Close(id, &wire.Goodbye{Reason: reason})
		if outgoing {
			e.dialEnded(m.Host, true, 0, now)
		}
		return
	}
	l := &link{
		id:            id,
		peer:          m.Host,
		incarnation:   m.Incarnation,
		purpose:       m.Purpose,
		outgoing:      outgoing,
		openedAt:      now,
		lastReceived:  now,
		nextHeartbeat: now.Add(e.firstHeartbeatDelay()),
		eager:         m.Purpose == wire.PurposeLink,
		versions:      map[wire.Document]wire.Version{},
	}
	if !e.acceptLink(l, now) {
		e.out.Close(id, &wire.Goodbye{Reason: wire.GoodbyeDuplicate})
		if outgoing {
			e.dialEnded(m.Host, false, 0, now)
		}
		return
	}
	e.links = append(slices.Clip(e.links), l)
	e.choicesStale = true
	if outgoing {
		e.dialEnded(m.Host, false, 0, now)
	} else {
		e.send(l, e.newHello(m.Host, m.Purpose))
	}
	e.handleHello(l, m, now)
}

// firstHeartbeatDelay returns a random delay within the heartbeat interval, so
// that the heartbeats of the links do not coincide.
func (e *engine) firstHeartbeatDelay() time.Duration {
	return time.Duration(e.random() * float64(e.settings.Heartbeat.Std()))
}

// handleHello processes the state that the peer reported in its hello.
func (e *engine) handleHello(l *link, m *wire.Hello, now time.Time) {
	e.out.AllowLarge(l.id, e.settings.WholeReleases)
	e.out.Emit(eventLinkOpened, event.Fields{"peer": l.peer, "outgoing": l.outgoing, "purpose": uint8(l.purpose)})
	e.out.Observe(model.Observation{Host: l.peer, Incarnation: l.incarnation, Evidence: model.EvidenceAlive, At: now})
	if m.Receiver == e.self.ID {
		e.floor = max(e.floor, m.Floor)
		e.highest = max(e.highest, m.Floor)
	}
	if !m.Unsettled {
		e.settledPeers[l.peer] = true
	}
	e.recordVersion(l, wire.DocumentRelease, m.Release, 0, now)
	e.recordVersion(l, wire.DocumentHosts, m.Hosts, 0, now)
	if entry := e.refused.Newest(e.releases.Version().Number); entry != nil && l.purpose == wire.PurposeLink {
		e.send(l, entry.message())
	}
	e.settle(now)
	e.pullAllDue(now)
}

// incompatible reports whether links to the peer are impossible, and why.
func (e *engine) incompatible(m *wire.Hello) (wire.GoodbyeReason, bool) {
	switch {
	case m.Protocol != wire.ProtocolVersion:
		return wire.GoodbyeProtocol, true
	case m.Fleet != e.fleet:
		return wire.GoodbyeFleet, true
	case m.Host == e.self.ID:
		return wire.GoodbyeIdentity, true
	}
	return 0, false
}

// acceptLink reports whether a new link is kept. If there is another persistent
// link to the same peer, only one remains, and both ends keep the same one: the
// link dialled by the host with the lower ID, unless it is stale.
func (e *engine) acceptLink(l *link, now time.Time) bool {
	if l.purpose != wire.PurposeLink {
		return true
	}
	for _, other := range e.links {
		if other.peer != l.peer || other.purpose != wire.PurposeLink {
			continue
		}
		if other.incarnation == l.incarnation && other.outgoing != l.outgoing && e.isPreferred(other) && !e.isStale(other, now) {
			return false
		}
		e.closeLink(other, &wire.Goodbye{Reason: wire.GoodbyeDuplicate}, "replaced", now)
	}
	return true
}

// isPreferred reports whether the host with the lower ID dialled the link.
func (e *engine) isPreferred(l *link) bool {
	return l.outgoing == (e.self.ID < l.peer)
}

func (e *engine) isStale(l *link, now time.Time) bool {
	return now.Sub(l.lastReceived) > 2*e.settings.Heartbeat.Std()
}

// handleMessage dispatches a message; data is its encoded form.
func (e *engine) handleMessage(id linkID, m wire.Message, data []byte, now time.Time) {
	l := e.linkByID(id)
	if l == nil {
		return
	}
	if now.Sub(l.lastReceived) > e.settings.Heartbeat.Std()/2 {
		e.out.Observe(model.Observation{Host: l.peer, Incarnation: l.incarnation, Evidence: model.EvidenceAlive, At: now})
	}
	l.lastReceived = now
	switch m := m.(type) {
	case *wire.Heartbeat:
		e.handleHeartbeat(l, m, now)
	case *wire.Announce:
		e.handleHeartbeat(l, (*wire.Heartbeat)(m), now)
	case *wire.Push:
		if e.spreadsViaPeers() {
			e.handlePush(l, m, data, now)
		}
	case *wire.Pull:
		e.handlePull(l, m.Document, m.Have, m.Whole, now)
	case *wire.Graft:
		l.eager = true
		e.handlePull(l, m.Document, m.Have, false, now)
	case *wire.Prune:
		l.eager = false
	case *wire.Notice:
		e.handleNotice(l, m)
	case *wire.Refusal:
		e.handleRefusal(l, m)
	case *wire.Goodbye:
		e.handleGoodbye(l, m, now)
	}
}

// handleGoodbye closes a link whose peer sent a goodbye.
func (e *engine) handleGoodbye(l *link, m *wire.Goodbye, now time.Time) {
	e.closeLink(l, nil, m.Reason.String(), now)
	if d, known := e.dials[l.peer]; known && l.outgoing && m.RetryMs > 0 {
		d.nextAttempt = now.Add(time.Duration(m.RetryMs) * time.Millisecond)
	}
}

// handleClosed handles the loss of a connection.
func (e *engine) handleClosed(id linkID, now time.Time) {
	if l := e.linkByID(id); l != nil {
		e.out.Observe(model.Observation{Host: l.peer, Incarnation: l.incarnation, Evidence: model.EvidenceLinkLost, At: now})
		e.closeLink(l, nil, "connection lost", now)
	}
}

// closeLink closes and removes a link. It reschedules the pulls that wait for
// the link, and the next dial if the node dialled it.
func (e *engine) closeLink(l *link, goodbye *wire.Goodbye, reason string, now time.Time) {
	e.links = slices.DeleteFunc(slices.Clone(e.links), func(other *link) bool { return other == l })
	e.choicesStale = true
	e.out.Close(l.id, goodbye)
	e.out.Emit(eventLinkClosed, event.Fields{"peer": l.peer, "outgoing": l.outgoing, "reason": reason})
	for _, pull := range e.pulls {
		if pull.requestedFrom == l.id {
			pull.requestedFrom = 0
			pull.due = now
		}
	}
	if !l.outgoing || l.purpose != wire.PurposeLink {
		return
	}
	d := e.dialStateOf(l.peer)
	if now.Sub(l.openedAt) >= backoffResetAfter {
		d.failures = 0
	} else {
		d.failures++
	}
	d.nextAttempt = now.Add(e.dialBackoff(d.failures))
}

// closeSilent closes links that received no message within the heartbeat
// timeout, and repair links whose lifetime is over.
func (e *engine) closeSilent(now time.Time) {
	limit := e.settings.heartbeatTimeout()
	for _, l := range e.links {
		if l.purpose == wire.PurposeRepair && now.Sub(l.openedAt) > repairLifetime {
			e.closeLink(l, &wire.Goodbye{Reason: wire.GoodbyeUnneeded}, "repair ended", now)
			continue
		}
		silent := now.Sub(l.lastReceived)
		if silent <= limit {
			continue
		}
		e.metrics.silentLinks.Add(1)
		e.out.Emit(eventLinkSilent, event.Fields{"peer": l.peer, "silent": silent.String()})
		e.out.Observe(model.Observation{Host: l.peer, Incarnation: l.incarnation, Evidence: model.EvidenceLinkLost, At: now})
		e.closeLink(l, nil, "silent", now)
	}
}

// setView replaces the view of the fleet.
func (e *engine) setView(view *model.View) {
	if view == nil || view == e.view {
		return
	}
	e.view = view
	e.choicesStale = true
}

func (e *engine) linkByID(id linkID) *link {
	for _, l := range e.links {
		if l.id == id {
			return l
		}
	}
	return nil
}

// linkTo returns the persistent link to a peer, nil if there is none.
func (e *engine) linkTo(peer model.HostID) *link {
	for _, l := range e.links {
		if l.peer == peer && l.purpose == wire.PurposeLink {
			return l
		}
	}
	return nil
}

func (e *engine) countPersistentLinks() int {
	count := 0
	for _, l := range e.links {
		if l.purpose == wire.PurposeLink {
			count++
		}
	}
	return count
}

// stop closes all links with a goodbye and opens no more.
func (e *engine) stop(now time.Time) {
	e.stopped = true
	for _, l := range e.links {
		e.closeLink(l, &wire.Goodbye{Reason: wire.GoodbyeStopping}, "stopping", now)
	}
}
