package distribution

import (
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	. "github.com/onsi/gomega"
)

func TestPausedNodeHandshakesBeforeItPushes(t *testing.T) {
	releases := chain(4)
	s := startedSimulation(t, 13, 16, 2, releases[0])
	n := s.nodes[6]
	n.paused = true
	s.publish(releases[1])
	s.runUntil(5*time.Second, func() bool { return s.nodes[5].release() == 2 })
	s.run(10 * time.Second)
	s.publish(releases[2])
	s.run(2 * time.Second)
	before := s.messages[wire.KindPush]
	n.resume()
	s.g.Expect(n.events[eventPaused.Number]).To(Equal(1))
	s.g.Expect(n.engine.links).To(BeEmpty())
	s.g.Expect(s.messages[wire.KindPush]).To(Equal(before))
	took := s.runUntil(3*time.Second, s.allAt(3))
	t.Logf("caught up %v after the pause", took)
}

func TestSilentLinksAreReplaced(t *testing.T) {
	releases := chain(3)
	s := startedSimulation(t, 14, 16, 2, releases[0])
	old := map[linkID]bool{}
	for _, n := range s.nodes {
		for _, l := range n.engine.links {
			old[l.id] = true
		}
	}
	s.faults.silent = func(model.HostID, model.HostID) bool { return true }
	s.run(5 * time.Second)
	s.faults.silent = nil
	s.publish(releases[1])
	s.runUntil(10*time.Second, s.allAt(2))
	for _, n := range s.nodes {
		for _, l := range n.engine.links {
			s.g.Expect(old[l.id]).To(BeFalse())
		}
	}
}

func TestLinkSilentInOneDirectionIsReplaced(t *testing.T) {
	releases := chain(2)
	s := startedSimulation(t, 15, 8, 1, releases[0])
	s.faults.silent = func(from, to model.HostID) bool { return from == "host-000" && to < "host-004" }
	s.run(6 * time.Second)
	s.publish(releases[1])
	s.runUntil(5*time.Second, s.allAt(2))
}

func TestFleetConvergesAfterPartition(t *testing.T) {
	releases := chain(6)
	s := startedSimulation(t, 16, 24, 2, releases[0])
	side := func(id model.HostID) bool { return id < "host-012" }
	s.faults.cut = func(a, b model.HostID) bool { return side(a) != side(b) }
	s.breakCutLinks()
	s.nodes[20].reading = false
	for _, r := range releases[1:] {
		s.publish(r)
		s.run(4 * time.Second)
	}
	s.faults.cut = nil
	took := s.runUntil(10*time.Second, s.allAt(6))
	t.Logf("converged %v after the partition ended", took)
}

// TestTwoHostsReconnectAfterPartition guards against a fleet of two that stays
// partitioned: there is no third host from which either could learn the
// release.
func TestTwoHostsReconnectAfterPartition(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		releases := chain(2)
		s := startedSimulation(t, seed, 2, 1, releases[0])
		s.faults.cut = func(model.HostID, model.HostID) bool { return true }
		s.breakCutLinks()
		s.publish(releases[1])
		s.run(30 * time.Second)
		s.faults.cut = nil
		s.runUntil(3*time.Second, s.allAt(2))
	}
}

// TestUnresponsivePeerIsSkipped records a release for a peer that does not hold
// it, so that the pull from this peer fails.
func TestUnresponsivePeerIsSkipped(t *testing.T) {
	releases := chain(2)
	s := startedSimulation(t, 23, 12, 1, releases[0])
	n := s.nodes[8]
	unresponsive := n.engine.links[0]
	n.engine.recordVersion(unresponsive, wire.DocumentRelease, wire.Version{Number: 2, DigestPrefix: 1}, 0, s.now)
	s.publish(releases[1])
	s.runUntil(3*time.Second, s.allAt(2))
}

// TestDuplicatePushPrunesLink checks that duplicates reduce the eager links to
// about a spanning tree.
func TestDuplicatePushPrunesLink(t *testing.T) {
	releases := chain(12)
	s := startedSimulation(t, 24, 24, 2, releases[0])
	for _, r := range releases[1:] {
		s.publish(r)
		s.run(2 * time.Second)
	}
	s.g.Expect(s.allAt(12)()).To(BeTrue())
	eager := 0
	for _, n := range s.nodes {
		for _, l := range n.engine.links {
			if l.eager {
				eager++
			}
		}
	}
	// A spanning tree of 24 nodes has 23 links with two ends each.
	s.g.Expect(eager).To(BeNumerically("<", 2*2*23))
	s.g.Expect(s.messages[wire.KindPrune]).To(BeNumerically(">", 0))
}
