package distribution

import (
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
	. "github.com/onsi/gomega"
)

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
