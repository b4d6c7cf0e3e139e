package replica

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/model"
)

// testEra is the era of the positions that at returns.
const testEra = 1

// at returns the position of a revision.
func at(revision uint64) model.Position { return model.Position{Era: testEra, Revision: revision} }

// modelStore is a reference model of the store that keeps its whole history.
type modelStore struct {
	revision uint64
	held     map[string]model.Item
	changes  []model.Item
}

func (s *modelStore) put(key string) {
	s.revision++
	item := model.Item{Key: key, Position: at(s.revision), Data: []byte(fmt.Sprint(s.revision))}
	s.held[key] = item
	s.changes = append(s.changes, item)
}

func (s *modelStore) remove(key string) {
	if _, ok := s.held[key]; !ok {
		return
	}
	s.revision++
	delete(s.held, key)
	s.changes = append(s.changes, model.Item{Key: key, Position: at(s.revision), Removed: true})
}

func (s *modelStore) list() []model.Item {
	var items []model.Item
	for _, item := range s.held {
		items = append(items, item)
	}
	return items
}

// Property: after any sequence of watches, lists and responses of peers, late and repeated
// ones included, a copy equals the store as of the copy's revision.
func TestCopyEqualsStoreAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{held: map[string]model.Item{}}
		past := map[uint64]map[string]model.Item{0: {}}
		copies := []*storeCopy{newCopy(), newCopy(), newCopy()}
		key := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := copies[rapid.IntRange(0, 2).Draw(t, "copy")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.put(key.Draw(t, "key"))
			case 2:
				store.remove(key.Draw(t, "key"))
			case 3:
				c.apply(store.changes[min(int(c.position.Revision), len(store.changes)):], at(store.revision))
			case 4:
				if store.revision >= c.position.Revision {
					c.replace(store.list(), at(store.revision))
				}
			case 5:
				peer := copies[rapid.IntRange(0, 2).Draw(t, "peer")]
				items, complete := peer.since(c.position)
				if complete && !peer.position.Before(c.position) {
					c.replace(items, peer.position)
				} else if !complete {
					c.applyFromPeer(items, peer.position, peer.gap)
				}
			}
			past[store.revision] = maps.Clone(store.held)
			for _, c := range copies {
				if len(c.items) != len(past[c.position.Revision]) {
					t.Fatalf("revision %s: the copy holds %v, the store held %v", c.position, c.items, past[c.position.Revision])
				}
				for key, item := range past[c.position.Revision] {
					if c.items[key].Position != item.Position {
						t.Fatalf("revision %s: %s is of revision %s, not %s", c.position, key, c.items[key].Position, item.Position)
					}
				}
			}
		}
	})
}

// The second copy skipped, by a list, the revisions in which item d was added and removed,
// and the first copy got its changes from the second. The first copy must take over that
// gap and send the third copy everything, or d would stay there.
func TestCopyTakesOverGapOfPeer(t *testing.T) {
	g := NewWithT(t)
	a := model.Item{Key: "a", Position: at(1)}
	d := model.Item{Key: "d", Position: at(2)}
	first, second, third := newCopy(), newCopy(), newCopy()
	first.apply([]model.Item{a}, at(1))
	second.apply([]model.Item{a}, at(1))
	third.apply([]model.Item{a, d}, at(2))
	second.replace([]model.Item{a}, at(3))

	items, complete := second.since(first.position)
	g.Expect(complete).To(BeFalse())
	first.applyFromPeer(items, second.position, second.gap)
	items, complete = first.since(third.position)
	g.Expect(complete).To(BeTrue(), "the removal of d is not known")
	third.replace(items, first.position)
	g.Expect(third.items).NotTo(HaveKey("d"))
}

func TestOlderVersionIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newCopy()
	g.Expect(c.apply([]model.Item{{Key: "a", Position: at(5)}}, at(5))).To(HaveLen(1))
	g.Expect(c.apply([]model.Item{{Key: "a", Position: at(4)}}, at(4))).To(BeEmpty())
	g.Expect(c.position).To(Equal(at(5)))
	g.Expect(c.apply([]model.Item{{Key: "a", Position: at(6), Removed: true}}, at(6))).To(HaveLen(1))
	g.Expect(c.apply([]model.Item{{Key: "a", Position: at(5)}}, at(6))).To(BeEmpty(), "an older version of a removed item does not restore it")
}

func TestOldestRemovalsAreCompactedFirst(t *testing.T) {
	g := NewWithT(t)
	c := newCopy()
	revision := uint64(0)
	for i := range 2 * maxRemovals {
		key := fmt.Sprint(i)
		revision++
		c.apply([]model.Item{{Key: key, Position: at(revision)}}, at(revision))
		revision++
		c.apply([]model.Item{{Key: key, Position: at(revision), Removed: true}}, at(revision))
	}
	g.Expect(c.removals).To(HaveLen(maxRemovals))
	_, complete := c.since(at(revision - 10))
	g.Expect(complete).To(BeFalse())
	_, complete = c.since(at(1))
	g.Expect(complete).To(BeTrue(), "a peer that is far behind gets the whole copy")
}

func TestCompactedRevisionNeverFalls(t *testing.T) {
	g := NewWithT(t)
	c := newCopy()
	c.replace(nil, at(9000))
	g.Expect(c.compacted).To(Equal(at(9000)))
	for i := range uint64(maxRemovals + 1) {
		c.put(model.Item{Key: "k", Position: at(i + 1), Removed: true})
	}
	g.Expect(c.compacted).To(Equal(at(9000)), "removals up to 9000 are not complete")
}
