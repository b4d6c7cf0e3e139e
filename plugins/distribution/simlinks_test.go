package distribution

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	. "github.com/onsi/gomega"
)

// simLink is one end of a link.
type simLink struct {
	node, peer   *simNode
	id, remoteID linkID
	// dial is set on the dialling end until the peer's first message.
	dial   *dialRequest
	closed bool
	// lastArrival is the arrival time of the last message sent from this end.
	lastArrival time.Time
}

// Dial implements effects.
func (n *simNode) Dial(d dialRequest) {
	n.dials++
	s := n.sim
	incarnation := n.incarnation
	peer := s.byID(d.host.ID)
	s.schedule(s.latency(), func() {
		if n.engine == nil || n.incarnation != incarnation {
			return
		}
		if peer.engine == nil || peer.paused || s.isCut(n, peer) || s.isSilent(n, peer) || s.isSilent(peer, n) {
			wait := 10 * time.Millisecond // connection refused
			if peer.engine != nil {
				wait = n.engine.settings.HandshakeTimeout.Std()
			}
			s.schedule(wait, func() {
				n.dispatch(incarnation, func(now time.Time) { n.engine.handleDialFailed(peer.host.ID, false, 0, now) })
			})
			return
		}
		s.connect(n, peer, d)
	})
}

func (s *simulation) connect(n, peer *simNode, d dialRequest) {
	s.lastLink += 2
	near := &simLink{node: n, peer: peer, id: linkID(s.lastLink), remoteID: linkID(s.lastLink + 1), dial: &d}
	far := &simLink{node: peer, peer: n, id: near.remoteID, remoteID: near.id}
	n.links[near.id] = near
	peer.links[far.id] = far
	peer.dispatch(peer.incarnation, func(now time.Time) { peer.engine.handleOpened(far.id, d.hello, false, now) })
}

func (s *simulation) byID(id model.HostID) *simNode {
	i := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].host.ID >= id })
	return s.nodes[i]
}

func (s *simulation) isCut(a, b *simNode) bool {
	return s.faults.cut != nil && (s.faults.cut(a.host.ID, b.host.ID) || s.faults.cut(b.host.ID, a.host.ID))
}

func (s *simulation) isSilent(a, b *simNode) bool {
	return s.faults.silent != nil && s.faults.silent(a.host.ID, b.host.ID)
}

// breakCutLinks breaks the links between hosts that cannot reach each other.
func (s *simulation) breakCutLinks() {
	for _, n := range s.nodes {
		for _, id := range slices.Sorted(maps.Keys(n.links)) {
			if l := n.links[id]; s.isCut(n, l.peer) {
				l.breakLink()
			}
		}
	}
}

// Send implements effects.
func (n *simNode) Send(id linkID, data []byte) {
	l := n.links[id]
	if l == nil || l.closed {
		return
	}
	s := n.sim
	kind := wire.Kind(data[0])
	s.bytes[kind] += len(data)
	s.messages[kind]++
	if s.isSilent(n, l.peer) || kind != wire.KindHello && s.random.Float64() < s.faults.drop {
		return
	}
	copies := 1
	if kind != wire.KindHello && s.random.Float64() < s.faults.duplicate {
		copies = 2
	}
	if kind == wire.KindPush && s.random.Float64() < s.faults.corrupt {
		data = slices.Clone(data)
		data[len(data)-1-s.random.IntN(len(data)/2)] ^= 0x10
	}
	for range copies {
		s.schedule(l.delay(), func() { l.deliver(data) })
	}
}

// delay returns the latency of the next message. Without the reorder fault no
// message arrives before an earlier one.
func (l *simLink) delay() time.Duration {
	s := l.node.sim
	at := s.now.Add(s.latency())
	if at.Before(l.lastArrival) && !s.faults.reorder {
		at = l.lastArrival
	}
	l.lastArrival = at
	return at.Sub(s.now)
}

// deliver passes a message to the remote end.
func (l *simLink) deliver(data []byte) {
	peer := l.peer
	far := peer.links[l.remoteID]
	if peer.engine == nil || far == nil || far.closed {
		return
	}
	m, err := wire.Decode(data)
	if err != nil {
		l.breakLink() // as a real session does
		return
	}
	if far.dial != nil {
		far.completeHandshake(m)
		return
	}
	peer.dispatch(peer.incarnation, func(now time.Time) { peer.engine.handleMessage(far.id, m, data, now) })
}

// completeHandshake handles the first message on the dialling side.
func (l *simLink) completeHandshake(m wire.Message) {
	d := l.dial
	hello, ok := m.(*wire.Hello)
	if !ok {
		l.dial = nil
		l.breakLink()
		l.node.dispatch(l.node.incarnation, func(now time.Time) { l.node.engine.handleDialFailed(d.host.ID, true, 0, now) })
		return
	}
	l.dial = nil
	l.node.dispatch(l.node.incarnation, func(now time.Time) { l.node.engine.handleOpened(l.id, hello, true, now) })
}

// breakLink breaks a link at both ends.
func (l *simLink) breakLink() {
	l.closeEnd()
	if far := l.peer.links[l.remoteID]; far != nil {
		l.node.sim.schedule(l.node.sim.latency(), far.closeEnd)
	}
}

func (l *simLink) closeEnd() {
	if l.closed {
		return
	}
	l.closed = true
	n := l.node
	delete(n.links, l.id)
	if d := l.dial; d != nil {
		n.dispatch(n.incarnation, func(now time.Time) { n.engine.handleDialFailed(d.host.ID, false, 0, now) })
		return
	}
	n.dispatch(n.incarnation, func(now time.Time) { n.engine.handleClosed(l.id, now) })
}

// Close implements effects.
func (n *simNode) Close(id linkID, goodbye *wire.Goodbye) {
	l := n.links[id]
	if l == nil {
		return
	}
	if goodbye != nil {
		data, err := wire.Encode(goodbye)
		n.sim.g.Expect(err).NotTo(HaveOccurred())
		n.Send(id, data)
	}
	l.closed = true
	delete(n.links, id)
	if n.sim.isSilent(n, l.peer) {
		return
	}
	n.sim.schedule(l.delay(), func() {
		if far := l.peer.links[l.remoteID]; far != nil {
			far.closeEnd()
		}
	})
}
