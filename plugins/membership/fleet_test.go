package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	. "github.com/onsi/gomega"
)

const (
	meshHosts = 9
	// meshLinks is the number of hosts that each host probes.
	meshLinks     = 3
	probeInterval = time.Second
	// convergenceTime is the time after a change within which all views must
	// agree.
	convergenceTime = 6 * time.Second
)

// mesh is a simulated fleet of rosters, each of which probes meshLinks others and
// relays notices. Hosts reach each other unless one is down or they are in different
// partitions.
type mesh struct {
	rosters   []*roster
	down      []bool
	partition []int
}

func newMesh(t *testing.T) *mesh {
	m := &mesh{down: make([]bool, meshHosts), partition: make([]int, meshHosts)}
	m.rosters = make([]*roster, meshHosts)
	for i := range meshHosts {
		m.startRoster(t, i, model.Incarnation(100+i))
	}
	return m
}

func meshList() *model.HostList {
	list := &model.HostList{Revision: 1}
	for i := range meshHosts {
		list.Hosts = append(list.Hosts, host(fmt.Sprintf("h%d", i)))
	}
	return list
}

func (m *mesh) startRoster(t *testing.T, i int, incarnation model.Incarnation) {
	r := newRoster(rosterConfig{
		timing: testTiming, host: meshList().Hosts[i], incarnation: incarnation,
		hooks: kernel.NewHooks(), log: event.NewDiscardLog(),
	})
	r.SetHostList(meshList())
	r.SubscribeNotices(func(n model.Notice) { m.flood(i, n) })
	m.rosters[i] = r
	startTasks(t, r)
}

func (m *mesh) reaches(i, j int) bool {
	return !m.down[i] && !m.down[j] && m.partition[i] == m.partition[j]
}

// flood relays a notice to every reachable host for which it is new.
func (m *mesh) flood(from int, n model.Notice) {
	for j := range m.rosters {
		if j != from && m.reaches(from, j) && m.rosters[j].Apply(n) {
			m.flood(j, n)
		}
	}
}

// run simulates d, in which each host probes the ones after it at every
// probeInterval.
func (m *mesh) run(d time.Duration) {
	for range int(d / probeInterval) {
		for i, r := range m.rosters {
			if m.down[i] {
				continue
			}
			for step := 1; step <= meshLinks; step++ {
				m.probe(r, i, (i+step)%meshHosts)
			}
		}
		time.Sleep(probeInterval)
	}
	synctest.Wait()
}

// probe connects two hosts, which thereby learn each other's incarnation.
func (m *mesh) probe(r *roster, i, j int) {
	other := m.rosters[j]
	if !m.reaches(i, j) {
		observe(r, other.host.ID, model.EvidenceUnreachable, 0)
		return
	}
	observe(r, other.host.ID, model.EvidenceAlive, other.incarnation)
	observe(other, r.host.ID, model.EvidenceAlive, r.incarnation)
}

// expect checks the views of all running hosts.
func (m *mesh) expect(g *WithT, state func(j int) model.MemberState) {
	for i, r := range m.rosters {
		if m.down[i] {
			continue
		}
		for j, other := range m.rosters {
			member := r.View().ByID[other.host.ID]
			g.Expect(member.State).To(Equal(state(j)), "state of h%[2]d in the view of h%[1]d", i, j)
		}
	}
}

func allLive(int) model.MemberState { return model.MemberLive }

func allLiveBut(i int, state model.MemberState) func(int) model.MemberState {
	return func(j int) model.MemberState {
		if j == i {
			return state
		}
		return model.MemberLive
	}
}

func TestViewsConvergeAfterPartition(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := newMesh(t)
				m.run(3 * probeInterval)
				m.expect(g, allLive)
				random := rand.New(rand.NewPCG(seed, 0))
				for range 2 {
					for i := range m.partition {
						m.partition[i] = random.IntN(2)
					}
					m.run(time.Duration(5+random.IntN(20)) * time.Second)
					clear(m.partition)
					m.run(convergenceTime)
					m.expect(g, allLive)
				}
			})
		})
	}
}

func TestHostFailureAndReturnAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMesh(t)
		m.run(3 * probeInterval)
		const failed = 4
		for restart := range 2 {
			m.down[failed] = true
			m.run(convergenceTime)
			m.expect(g, allLiveBut(failed, model.MemberDead))
			m.down[failed] = false
			m.startRoster(t, failed, model.Incarnation(200+restart))
			m.run(convergenceTime)
			m.expect(g, allLive)
		}
	})
}

func TestLeavingIsKnownWithinOneProbeInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMesh(t)
		m.run(3 * probeInterval)
		const leaving = 2
		m.rosters[leaving].Announce(model.MemberLeaving)
		m.run(probeInterval)
		othersLive := allLiveBut(leaving, model.MemberLeaving)
		m.expect(g, othersLive)
		m.run(20 * time.Second)
		m.expect(g, othersLive)
		m.startRoster(t, leaving, 300)
		m.run(convergenceTime)
		m.expect(g, allLive)
	})
}
