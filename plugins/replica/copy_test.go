package replica

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
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
	era     uint64
	changes []model.Item
}

// position returns the position of the last change.
func (s *modelStore) position() model.Position {
	return model.Position{Era: s.era, Revision: uint64(len(s.changes))}
}

// next returns the position of the next change.
func (s *modelStore) next() model.Position {
	return model.Position{Era: s.era, Revision: uint64(len(s.changes)) + 1}
}

// put writes an item whose data differs from that of all other writes, also from those at
// the same revision of another era.
func (s *modelStore) put(key string) {
	s.changes = append(s.changes, model.Item{Key: key, Position: s.next(), Data: []byte(s.next().String())})
}

func (s *modelStore) remove(key string) {
	if _, ok := s.held()[key]; ok {
		s.changes = append(s.changes, model.Item{Key: key, Position: s.next(), Removed: true})
	}
}

// restore starts a new era without the last writes.
func (s *modelStore) restore(lost int) {
	s.era++
	kept := slices.Clone(s.changes[:max(len(s.changes)-lost, 0)])
	for i := range kept {
		kept[i].Position.Era = s.era
	}
	s.changes = kept
}

// held returns the items that the store holds, by key.
func (s *modelStore) held() map[string]model.Item {
	held := map[string]model.Item{}
	for _, change := range s.changes {
		if held[change.Key] = change; change.Removed {
			delete(held, change.Key)
		}
	}
	return held
}

func (s *modelStore) list() []model.Item { return slices.Collect(maps.Values(s.held())) }

// watch lets a copy apply the changes after its position, as far as the store has it.
func (s *modelStore) watch(c *storeCopy) {
	if c.position.IsZero() || c.position.Era == s.era {
		c.apply(s.changes[c.position.Revision:], s.position())
	}
}

// follow lets a copy take the changes that a peer's copy has.
func follow(c, peer *storeCopy) {
	items, complete := peer.since(c.position)
	switch {
	case !complete:
		c.applyFromPeer(items, peer.position, peer.gap)
	case !peer.position.Before(c.position):
		c.replace(items, peer.position)
	}
}

// Property: after any sequence of watches, lists and responses of peers, late and repeated
// ones and those of an earlier era included, a copy equals the store as of the copy's position,
// which never goes back.
func TestCopyEqualsStoreAtItsPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{era: testEra}
		past := map[model.Position]map[string]model.Item{{}: {}}
		copies := []*storeCopy{newCopy(), newCopy(), newCopy()}
		key := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := copies[rapid.IntRange(0, 2).Draw(t, "copy")]
			before := c.position
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.put(key.Draw(t, "key"))
			case 2:
				store.remove(key.Draw(t, "key"))
			case 3:
				store.watch(c)
			case 4:
				c.replace(store.list(), store.position())
			case 5:
				follow(c, copies[rapid.IntRange(0, 2).Draw(t, "peer")])
			case 6:
				store.restore(rapid.IntRange(0, 5).Draw(t, "lost"))
			}
			past[store.position()] = store.held()
			if c.position.Era < before.Era || c.position.Era == before.Era && c.position.Revision < before.Revision {
				t.Fatalf("the copy goes back from %s to %s", before, c.position)
			}
			for _, c := range copies {
				checkCopy(t, c, past[c.position])
			}
		}
	})
}

// checkCopy checks that a copy holds the given items.
func checkCopy(t *rapid.T, c *storeCopy, want map[string]model.Item) {
	if len(c.items) != len(want) {
		t.Fatalf("position %s: the copy holds %v, the store held %v", c.position, c.items, want)
	}
	for key, item := range want {
		if held := c.items[key]; held.Position != item.Position || !bytes.Equal(held.Data, item.Data) {
			t.Fatalf("position %s: %s is %s of %s, not %s of %s", c.position, key, held.Data, held.Position, item.Data, item.Position)
		}
	}
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
