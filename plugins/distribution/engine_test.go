package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	. "github.com/onsi/gomega"
)

// startedSimulation returns a simulated fleet in which all nodes have applied
// the first release.
func startedSimulation(t *testing.T, seed uint64, size, readers int, first *config.Release) *simulation {
	t.Helper()
	s := newSimulation(t, seed, size, readers)
	s.publish(first)
	s.startAll()
	s.runUntil(30*time.Second, s.allAt(first.Record.Number))
	s.run(5 * time.Second)
	return s
}

func TestChangesReachAllNodes(t *testing.T) {
	const changes = 24
	releases := chain(changes + 1)
	s := startedSimulation(t, 1, 96, 8, releases[0])
	pushed := 0
	var slowest time.Duration
	idleStart := s.messages[wire.KindHeartbeat]
	for _, r := range releases[1:] {
		before := s.bytes[wire.KindPush]
		s.publish(r)
		slowest = max(slowest, s.runUntil(3*time.Second, s.allAt(r.Record.Number)))
		s.run(1500 * time.Millisecond)
		if r.Record.Number > 9 {
			pushed += s.bytes[wire.KindPush] - before
		}
	}
	s.g.Expect(s.messages[wire.KindHeartbeat]).To(BeNumerically(">", idleStart))
	t.Logf("96 nodes: slowest change %v; pushes per node and change %.2f; push bytes per node and change %d; prunes %d, grafts %d, announces %d",
		slowest, float64(s.messages[wire.KindPush])/96/changes, pushed/96/(changes-8),
		s.messages[wire.KindPrune], s.messages[wire.KindGraft], s.messages[wire.KindAnnounce])
	links := 0
	for _, n := range s.nodes {
		links += len(n.engine.links)
	}
	t.Logf("links per node %.1f", float64(links)/96)
}

func TestChangesReachAllNodesOverFaultyLinks(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			releases := chain(15)
			s := startedSimulation(t, seed, 24, 4, releases[0])
			s.faults.drop = 0.2
			s.faults.duplicate = 0.2
			s.faults.corrupt = 0.3
			s.faults.reorder = true
			for _, r := range releases[1:] {
				s.publish(r)
				s.run(time.Duration(s.random.IntN(300)) * time.Millisecond)
			}
			s.runUntil(20*time.Second, s.allAt(15))
		})
	}
}

func TestHostListsSpreadAsDeltas(t *testing.T) {
	s := startedSimulation(t, 3, 24, 2, chain(1)[0])
	before := s.bytes[wire.KindPush]
	list := *s.platform.hosts
	list.Revision = 2
	list.Hosts = append([]model.Host(nil), list.Hosts...)
	list.Hosts[5].Leaving = true
	s.platform.hosts = &list
	s.runUntil(3*time.Second, func() bool {
		for _, n := range s.nodes {
			if n.view.Revision != 2 || !n.view.ByID["host-005"].Leaving {
				return false
			}
		}
		return true
	})
	s.g.Expect(s.bytes[wire.KindPush] - before).To(BeNumerically("<", 24*10*150))
}

func TestRestartedNodeCatchesUpWhilePlatformIsDown(t *testing.T) {
	s := startedSimulation(t, 4, 24, 2, chain(1)[0])
	s.platform.down = true
	n := s.nodes[17]
	n.kill()
	s.run(8 * time.Second)
	n.start(simSettings())
	took := s.runUntil(10*time.Second, s.allAt(1))
	t.Logf("caught up after %v", took)
}

func TestMassRestartCatchesUpFromSurvivorsWhilePlatformIsDown(t *testing.T) {
	s := startedSimulation(t, 5, 48, 4, chain(1)[0])
	s.platform.down = true
	for i, n := range s.nodes {
		if i%12 != 7 {
			n.kill()
		}
	}
	s.run(10 * time.Second)
	for _, n := range s.nodes {
		if n.engine == nil {
			n.start(simSettings())
		}
	}
	took := s.runUntil(30*time.Second, s.allAt(1))
	t.Logf("44 of 48 nodes caught up from 4 survivors after %v", took)
}

func TestNodeBelowFloorDoesNotServe(t *testing.T) {
	releases := chain(5)
	s := startedSimulation(t, 6, 12, 2, releases[2])
	n := s.nodes[9]
	n.kill()
	for _, peer := range s.nodes {
		if peer.engine != nil {
			peer.engine.floors.Claim(n.host.ID, 5)
		}
	}
	n.start(simSettings())
	s.run(60 * time.Second)
	s.g.Expect(n.release()).To(BeZero())
	s.g.Expect(n.engine.describe(s.now).Floor).To(BeEquivalentTo(5))
	s.g.Expect(n.events[eventBelowFloor.Number]).To(Equal(1))
	s.publish(releases[3])
	s.run(5 * time.Second)
	s.g.Expect(n.release()).To(BeZero())
	s.publish(releases[4])
	s.runUntil(3*time.Second, s.allAt(5))
}

func TestStalePlatformRevertsNoNode(t *testing.T) {
	releases := chain(6)
	s := startedSimulation(t, 7, 16, 16, releases[0])
	for _, r := range releases[1:] {
		s.publish(r)
		s.run(400 * time.Millisecond)
	}
	s.runUntil(3*time.Second, s.allAt(6))
	s.platform.head = releases[1]
	s.run(3 * time.Second)
	for i, n := range s.nodes {
		if i%2 == 0 {
			n.kill()
			n.start(simSettings())
		}
	}
	s.runUntil(20*time.Second, s.allAt(6))
	s.g.Expect(s.nodes[1].events[eventSourceOlder.Number]).To(BeNumerically(">", 0))
}

func TestConcurrentUpdatesConvergeOnNewest(t *testing.T) {
	releases := chain(12)
	s := startedSimulation(t, 17, 24, 0, releases[0])
	for i, r := range releases[1:] {
		s.platform.releases[r.Record.Number] = r
		n := s.nodes[(i*7)%24]
		n.engine.handleHead(r.Raw, s.now)
	}
	s.runUntil(10*time.Second, s.allAt(12))
}

func TestNewerReleaseSeenOnCallTriggersPull(t *testing.T) {
	releases := chain(2)
	s := startedSimulation(t, 18, 30, 1, releases[0])
	isolated := s.nodes[11]
	var unlinked model.HostID
	for _, n := range s.nodes {
		if isolated.engine.linkTo(n.host.ID) == nil {
			unlinked = n.host.ID
		}
	}
	s.faults.silent = func(from, to model.HostID) bool { return to == "host-011" && from != unlinked }
	s.publish(releases[1])
	s.run(300 * time.Millisecond)
	s.g.Expect(unlinked).NotTo(BeEmpty())
	dials := isolated.dials
	s.g.Expect(isolated.release()).To(BeEquivalentTo(1))
	isolated.engine.handleObservedRelease(unlinked, 2, s.now)
	s.run(300 * time.Millisecond)
	s.g.Expect(isolated.dials).To(Equal(dials), "the node waits for a push or pull first")
	s.run(700 * time.Millisecond)
	s.g.Expect(isolated.release()).To(BeEquivalentTo(2))
}

// TestNodeWithoutPeersReadsPlatform partitions one node from all others.
func TestNodeWithoutPeersReadsPlatform(t *testing.T) {
	releases := chain(2)
	s := startedSimulation(t, 22, 12, 1, releases[0])
	n := s.nodes[8]
	s.g.Expect(n.engine.isStarved(s.now)).To(BeFalse())
	s.faults.cut = func(a, b model.HostID) bool { return a == n.host.ID || b == n.host.ID }
	s.breakCutLinks()
	s.publish(releases[1])
	s.runUntil(10*time.Second, s.allAt(2))
	s.g.Expect(n.engine.isStarved(s.now)).To(BeTrue())
	s.g.Expect(n.engine.via).To(Equal(viaSource))
	s.faults.cut = nil
	s.run(5 * time.Second)
	s.g.Expect(n.engine.isStarved(s.now)).To(BeFalse())
}

func TestNoticesReachAllNodes(t *testing.T) {
	s := startedSimulation(t, 19, 24, 1, chain(1)[0])
	notice := model.Notice{Host: "host-002", Incarnation: 1, State: model.MemberLeaving, Sequence: 1}
	s.nodes[2].seen[notice] = true
	noticeInput{notice: notice}.apply(s.nodes[2].engine, s.now)
	s.run(500 * time.Millisecond)
	for _, n := range s.nodes {
		s.g.Expect(n.seen[notice]).To(BeTrue(), string(n.host.ID))
	}
	s.g.Expect(s.messages[wire.KindNotice]).To(BeNumerically("<", 24*15))
}

func TestSpreadSourceExchangesNoDocuments(t *testing.T) {
	s := newSimulation(t, 20, 8, 8)
	s.publish(chain(1)[0])
	settings := simSettings()
	settings.Spread = SpreadSource
	for _, n := range s.nodes {
		n.start(settings)
	}
	s.runUntil(30*time.Second, s.allAt(1))
	s.run(5 * time.Second)
	s.g.Expect(s.messages[wire.KindPush]).To(BeZero())
	s.g.Expect(s.messages[wire.KindHeartbeat]).To(BeNumerically(">", 0))
}

func TestWholeReleasesReplaceDeltas(t *testing.T) {
	releases := chain(3)
	s := newSimulation(t, 21, 8, 1)
	s.publish(releases[0])
	settings := simSettings()
	settings.WholeReleases = true
	for _, n := range s.nodes {
		n.start(settings)
	}
	s.runUntil(30*time.Second, s.allAt(1))
	s.publish(releases[2])
	s.runUntil(5*time.Second, s.allAt(3))
	for _, n := range s.nodes {
		s.g.Expect(n.engine.metrics.deltasSent.Value()).To(BeZero())
	}
}
