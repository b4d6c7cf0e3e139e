package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
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

// invalidRelease returns a release with an unknown key in one part.
func invalidRelease(number uint64, previous *config.Release) *config.Release {
	b := &releaseBuilder{
		fleet: testFleet, number: number,
		previous: previous.Record.Number, parent: config.DigestOf(previous.Raw),
		parts: map[string]string{"team-00": "{\"team\": \"team-0\", \"no-such-key\": 1}"},
	}
	return b.build()
}

func TestRefusedReleaseDoesNotBlockLaterOnes(t *testing.T) {
	releases := chain(1)
	s := startedSimulation(t, 8, 16, 2, releases[0])
	s.publish(invalidRelease(2, releases[0]))
	s.run(3 * time.Second)
	s.g.Expect(s.allAt(1)()).To(BeTrue())
	for _, n := range s.nodes {
		refused := n.engine.describe(s.now).Refused
		s.g.Expect(refused).NotTo(BeNil(), string(n.host.ID))
		s.g.Expect(refused.Release).To(BeEquivalentTo(2))
		s.g.Expect(refused.Findings).NotTo(BeEmpty())
	}
	reads := s.platform.reads
	s.run(10 * time.Second)
	s.g.Expect(s.platform.reads).To(Equal(reads))
	s.publish((&releaseBuilder{fleet: testFleet, number: 3, previous: 2, parts: map[string]string{"team-00": teamText(0, 3)}}).build())
	s.runUntil(3*time.Second, s.allAt(3))
	s.g.Expect(s.nodes[9].engine.describe(s.now).Refused).To(BeNil())
}

func TestColdStartWalksBackToNewestAcceptableRelease(t *testing.T) {
	releases := chain(2)
	s := newSimulation(t, 9, 12, 3)
	s.publish(releases[0])
	s.publish(releases[1])
	last := releases[1]
	for number := uint64(3); number < 7; number++ {
		last = invalidRelease(number, last)
		s.publish(last)
	}
	s.startAll()
	s.runUntil(30*time.Second, s.allAt(2))
}

func TestReleaseBetweenHeldAndRefusedIsApplied(t *testing.T) {
	releases := chain(2)
	s := startedSimulation(t, 10, 12, 2, releases[0])
	s.platform.releases[2] = releases[1]
	s.publish(invalidRelease(3, releases[1]))
	s.runUntil(5*time.Second, s.allAt(2))
}

func TestReleaseOfAnotherFleetIsRefused(t *testing.T) {
	releases := chain(1)
	s := startedSimulation(t, 11, 8, 2, releases[0])
	s.publish((&releaseBuilder{fleet: "other", number: 9, parts: map[string]string{"team-00": teamText(0, 1)}}).build())
	s.run(5 * time.Second)
	s.g.Expect(s.allAt(1)()).To(BeTrue())
	s.g.Expect(s.nodes[0].events[eventOtherFleet.Number]).To(BeNumerically(">", 0))
}

// TestConflictingReleasesConverge gives two nodes different releases with the
// same number; the whole fleet must converge on the one with the newer version.
func TestConflictingReleasesConverge(t *testing.T) {
	releases := chain(1)
	s := startedSimulation(t, 12, 16, 0, releases[0])
	conflicting := func(change int) *config.Release {
		return (&releaseBuilder{fleet: testFleet, number: 2, previous: 1, parts: map[string]string{"team-00": teamText(0, change)}}).build()
	}
	a, b := conflicting(100), conflicting(200)
	s.nodes[2].engine.handleHead(a.Raw, s.now)
	s.nodes[2].engine.handleFetched(s.nodes[2].engine.candidate.request, a, nil, s.now)
	s.nodes[13].engine.handleHead(b.Raw, s.now)
	s.nodes[13].engine.handleFetched(s.nodes[13].engine.candidate.request, b, nil, s.now)
	s.runUntil(5*time.Second, func() bool {
		for _, n := range s.nodes {
			if n.release() != 2 || n.current.Digest != s.nodes[0].current.Digest {
				return false
			}
		}
		return true
	})
	want := a
	if wire.VersionOf(2, config.DigestOf(b.Raw)).Newer(wire.VersionOf(2, config.DigestOf(a.Raw))) {
		want = b
	}
	s.g.Expect(s.nodes[0].current.Digest).To(Equal(want.Record.ContentDigest))
}

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

func TestAReleaseThatMakesTheCompilerPanicIsRefused(t *testing.T) {
	releases := chain(3)
	s := startedSimulation(t, 6, 12, 2, releases[0])
	for _, n := range s.nodes {
		compile := n.engine.compile
		n.engine.compile = func(r *config.Release) (*config.Snapshot, *finding.List) {
			if r.Record.Number == 2 {
				panic("compiler fault")
			}
			return compile(r)
		}
	}
	s.publish(releases[1])
	s.run(3 * time.Second)
	s.g.Expect(s.allAt(1)()).To(BeTrue())
	s.publish(releases[2])
	s.runUntil(10*time.Second, s.allAt(3))
}
