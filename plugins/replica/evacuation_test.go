package replica

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/model"
)

// maxEvacuationDelay is the time from the store's confirmation within which no node sends
// requests to an evacuated failure domain: the shortest bound of a deployment.
const maxEvacuationDelay = 5 * time.Second

// evacuating returns the number of running nodes that list the targets of a domain as evacuated.
func (f *testFleet) evacuating(domain string) int {
	n := 0
	for _, h := range f.hosts {
		for _, t := range h.replica.Targets().ByService["alpha"] {
			if t.Domain == domain && t.Evacuated {
				n++
				break
			}
		}
	}
	return n
}

func TestEvacuationReachesAllNodesAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(t, unevenLinks(12)...)
		time.Sleep(2 * time.Second)
		f.hosts[7].refused.Store(true) // it learns of changes from other nodes
		f.store.put(evacuationPrefix+"d0", "")
		f.store.put(evacuationPrefix+"elsewhere", "")
		time.Sleep(changeBound)
		g.Expect(f.evacuating("d0")).To(Equal(len(f.hosts)))
		before := time.Now()
		f.store.remove(evacuationPrefix + "d0")
		time.Sleep(changeBound)
		g.Expect(f.evacuating("d0")).To(BeZero())
		for _, h := range f.hosts {
			g.Expect(h.replica.Targets().ByService["alpha"][0].ReturnedAt).To(BeTemporally(">=", before))
		}
	})
}

func TestEvacuationOutlivesRestartsAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(t, unevenLinks(12)...)
		time.Sleep(2 * time.Second)
		f.store.put(evacuationPrefix+"d0", "")
		time.Sleep(changeBound)
		f.store.setDown(true)
		time.Sleep(4 * time.Second)
		g.Expect(f.evacuating("d0")).To(Equal(len(f.hosts)))
		f.store.setDown(false)
		for _, h := range f.hosts {
			h.kill()
			h.start()
		}
		time.Sleep(maxEvacuationDelay)
		g.Expect(f.evacuating("d0")).To(Equal(len(f.hosts)))
	})
}

func TestEvacuationThatARestoredStoreLostCountsUntilItIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(t, unevenLinks(12)...)
		time.Sleep(2 * time.Second)
		f.store.put(evacuationPrefix+"d0", "")
		time.Sleep(changeBound)
		lost := f.store.restore(1)
		time.Sleep(defaultRestoreGrace / 2)
		g.Expect(f.evacuating("d0")).To(Equal(len(f.hosts)))
		f.store.rewrite(lost)
		time.Sleep(2 * defaultRestoreGrace)
		g.Expect(f.evacuating("d0")).To(Equal(len(f.hosts)), "it was requested again")
		f.store.restore(1)
		time.Sleep(defaultRestoreGrace + changeBound)
		g.Expect(f.evacuating("d0")).To(BeZero(), "it was not requested again")
	})
}

func TestUnreadableEvacuationCountsForItsDomainOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(t, unevenLinks(4)...)
		time.Sleep(2 * time.Second)
		f.store.put(evacuationPrefix+"d0", "unreadable")
		f.store.put(evacuationPrefix, "")
		f.store.configure(2)
		time.Sleep(changeBound)
		g.Expect(f.evacuating("d0")).To(Equal(len(f.hosts)))
		g.Expect(f.evacuating("d1")).To(BeZero())
		g.Expect(f.hosts[0].configuration()).To(Equal(uint64(2)), "the other changes count")
	})
}

// Property: whatever the order of requests, ends and restores, a domain is evacuated if its
// latest item was a request, and at the latest once the grace of the restore is over it is not
// if there is none.
func TestLatestRequestOfADomainCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		e := newEvacuations()
		now := time.Unix(1_000_000, 0)
		requested := map[string]bool{}
		lapsesAt := map[string]time.Time{}
		domains := []string{"d0", "d1", "d2"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			e.expire(now)
			for d, at := range lapsesAt {
				if !at.After(now) {
					requested[d] = false
					delete(lapsesAt, d)
				}
			}
			domain := rapid.SampledFrom(domains).Draw(t, "domain")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				e.start(domain)
				requested[domain] = true
				delete(lapsesAt, domain)
			case 1:
				e.end(domain, now, now)
				requested[domain] = false
				delete(lapsesAt, domain)
			case 2:
				e.end(domain, now.Add(defaultRestoreGrace), now)
				if requested[domain] {
					lapsesAt[domain] = now.Add(defaultRestoreGrace)
				}
			}
			for _, d := range domains {
				g.Expect(e.apply(&model.Target{Domain: d}).Evacuated).To(Equal(requested[d]), d)
			}
		}
	})
}
