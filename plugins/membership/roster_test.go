package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func host(id string) model.Host {
	return model.Host{ID: model.HostID(id), Region: "r", Domain: "d", Service: "s", PeerAddress: "127.0.0.1:1"}
}

func listOf(revision uint64, hosts ...model.Host) *model.HostList {
	return &model.HostList{Revision: revision, Hosts: hosts}
}

// testRoster returns the roster of host a with a list of the hosts a, b and c, and
// the notices that it originates.
func testRoster() (*roster, *[]model.Notice) {
	r := newRoster(rosterConfig{
		timing: testTiming, host: host("a"), incarnation: 1,
		hooks: kernel.NewHooks(), log: event.NewDiscardLog(),
	})
	var originated []model.Notice
	r.SubscribeNotices(func(n model.Notice) { originated = append(originated, n) })
	r.SetHostList(listOf(1, host("c"), host("a"), host("b")))
	return r, &originated
}

// startTasks runs the background tasks of the roster until the test ends.
func startTasks(t *testing.T, r *roster) {
	ctx, stop := context.WithCancel(context.Background())
	go r.publishViews(ctx, defaultViewInterval)
	go r.tickLoop(ctx)
	t.Cleanup(stop)
}

func state(r *roster, id model.HostID) model.MemberState {
	return r.View().ByID[id].State
}

func observe(r *roster, id model.HostID, e model.Evidence, i model.Incarnation) {
	r.Observe(model.Observation{Host: id, Evidence: e, Incarnation: i, At: time.Now()})
}

func TestOlderHostListIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r, _ := testRoster()
	r.SetHostList(listOf(3, host("a"), host("b")))
	r.SetHostList(listOf(2, host("a"), host("b"), host("z")))
	g.Expect(r.View().Revision).To(Equal(uint64(3)))
	g.Expect(r.View().Members).To(HaveLen(2))
}

func TestNewHostListKeepsMemberStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, _ := testRoster()
		startTasks(t, r)
		observe(r, "b", model.EvidenceDraining, 7)
		moved := host("c")
		moved.PeerAddress = "127.0.0.1:2"
		observe(r, "c", model.EvidenceLinkLost, 0)
		r.SetHostList(listOf(2, host("a"), host("b"), moved))
		g.Expect(state(r, "b")).To(Equal(model.MemberLeaving))
		g.Expect(state(r, "c")).To(Equal(model.MemberLive))
	})
}

func TestFailedHostIsDetectedAndAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, originated := testRoster()
		startTasks(t, r)
		observe(r, "b", model.EvidenceAlive, 7)
		observe(r, "b", model.EvidenceUnreachable, 7)
		for range 5 {
			time.Sleep(time.Second)
			observe(r, "c", model.EvidenceAlive, 8)
		}
		synctest.Wait()
		g.Expect(state(r, "b")).To(Equal(model.MemberDead))
		g.Expect(*originated).To(Equal([]model.Notice{{Host: "b", Incarnation: 7, State: model.MemberDead, Sequence: 1}}))
	})
}

// A node that loses contact with all other hosts may be partitioned itself, so it
// must not announce them as dead.
func TestPartitionedNodeAnnouncesNoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, originated := testRoster()
		startTasks(t, r)
		observe(r, "b", model.EvidenceAlive, 7)
		observe(r, "c", model.EvidenceAlive, 8)
		time.Sleep(time.Second)
		observe(r, "b", model.EvidenceUnreachable, 7)
		observe(r, "c", model.EvidenceUnreachable, 8)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g.Expect(state(r, "b")).To(Equal(model.MemberDead))
		g.Expect(state(r, "c")).To(Equal(model.MemberDead))
		g.Expect(*originated).To(BeEmpty())
	})
}

// A paused process must not take its own pause for failures of other hosts. No
// background task runs in the first minute, as in a paused process.
func TestPauseRestartsSuspicions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, originated := testRoster()
		observe(r, "b", model.EvidenceAlive, 7)
		observe(r, "b", model.EvidenceUnreachable, 7)
		before := time.Now()
		time.Sleep(time.Minute)
		observe(r, "c", model.EvidenceAlive, 8)
		r.Observe(model.Observation{Host: "c", Evidence: model.EvidenceLinkLost, Incarnation: 8, At: before})
		r.tick(time.Now())
		r.rebuildView()
		g.Expect(state(r, "b")).To(Equal(model.MemberSuspected))
		g.Expect(state(r, "c")).To(Equal(model.MemberLive))
		g.Expect(*originated).To(BeEmpty())

		startTasks(t, r)
		observe(r, "b", model.EvidenceUnreachable, 7)
		for range 4 {
			time.Sleep(time.Second)
			observe(r, "c", model.EvidenceAlive, 8)
		}
		synctest.Wait()
		g.Expect(state(r, "b")).To(Equal(model.MemberDead))
		g.Expect(*originated).To(HaveLen(1))
	})
}

func TestNodeRefutesFalseNoticesAboutItself(t *testing.T) {
	g := NewWithT(t)
	r, originated := testRoster()
	g.Expect(r.Apply(model.Notice{Host: "a", Incarnation: 1, State: model.MemberDead, Sequence: 5})).To(BeFalse())
	g.Expect(*originated).To(Equal([]model.Notice{{Host: "a", Incarnation: 1, State: model.MemberLive, Sequence: 6}}))
	g.Expect(r.Apply(model.Notice{Host: "a", Incarnation: 99, State: model.MemberDead, Sequence: 9})).To(BeFalse())
	g.Expect(*originated).To(HaveLen(1))
}

func TestLeavingIsFinal(t *testing.T) {
	g := NewWithT(t)
	r, originated := testRoster()
	r.Announce(model.MemberLeaving)
	r.Announce(model.MemberLive)
	g.Expect(state(r, "a")).To(Equal(model.MemberLeaving))
	r.Apply(model.Notice{Host: "a", Incarnation: 1, State: model.MemberLive, Sequence: 9})
	g.Expect(*originated).To(HaveLen(3))
	for _, n := range *originated {
		g.Expect(n.State).To(Equal(model.MemberLeaving))
	}
	g.Expect((*originated)[2].Sequence).To(Equal(uint64(10)))
}

func TestFailedLeavingNoticeIsNotBroadcast(t *testing.T) {
	g := NewWithT(t)
	r, originated := testRoster()
	r.hooks.Set(kernel.HookNotifyLeaving, func(context.Context) error { return errors.New("injected") })
	r.Announce(model.MemberLeaving)
	g.Expect(*originated).To(BeEmpty())
	g.Expect(state(r, "a")).To(Equal(model.MemberLeaving))
}

func TestNoticesAboutUnlistedHostsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r, _ := testRoster()
	g.Expect(r.Apply(model.Notice{Host: "z", Incarnation: 1, State: model.MemberDead, Sequence: 1})).To(BeFalse())
}

// The rate at which views are built is bounded, whatever the rate of the evidence.
func TestViewRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, _ := testRoster()
		views := 0
		r.Subscribe(func(*model.View) { views++ })
		startTasks(t, r)
		const seconds = 10
		for i := range seconds * 1000 {
			observe(r, "b", model.EvidenceAlive, model.Incarnation(i+1))
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		g.Expect(views).To(BeNumerically("<=", seconds*int(time.Second/defaultViewInterval)+1))
		g.Expect(views).To(BeNumerically(">", seconds))
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(r.View().ByID["b"].Incarnation).To(Equal(model.Incarnation(seconds * 1000)))
	})
}

func largeRoster(hosts int) *roster {
	r, _ := testRoster()
	list := &model.HostList{Revision: 2}
	for i := range hosts {
		list.Hosts = append(list.Hosts, host(fmt.Sprintf("h%05d", i)))
	}
	r.SetHostList(list)
	return r
}

func BenchmarkObserve(b *testing.B) {
	r := largeRoster(2000)
	now := time.Now()
	for b.Loop() {
		r.Observe(model.Observation{Host: "h00042", Evidence: model.EvidenceAlive, Incarnation: 5, At: now})
	}
}

func BenchmarkRebuild(b *testing.B) {
	r := largeRoster(2000)
	b.ReportAllocs()
	for b.Loop() {
		r.rebuildView()
	}
}
