package replica

import (
	"bytes"
	"slices"
	"sort"

	"github.com/bronzemast/bronzemast/model"
)

// maxRemovals is the number of removals that a copy keeps for its peers. A peer
// that is further behind gets the whole copy.
const maxRemovals = 4096

// storeCopy holds the items of the store as of a position. All of them are of its era. It is
// not safe for concurrent use.
type storeCopy struct {
	position model.Position
	items    map[string]model.Item
	// removals holds the removed items that are kept, in the order of their positions.
	// Removals up to the position compacted are no longer complete.
	removals  []model.Item
	compacted model.Position
	// gap is the latest range of positions that the copy has not seen.
	gap gap
	// previous holds the last versions of each large item that is not removed, oldest first.
	// They are the bases of the deltas sent to peers.
	previous map[string][]model.Item
}

// gap is a range of positions of one era, both ends excluded, that a list skipped. A peer
// whose position lies within it may hold items whose removal the copy has not seen.
type gap struct {
	after, before model.Position
}

// contains reports whether a position lies within the gap.
func (g gap) contains(p model.Position) bool {
	return p.After(g.after) && p.Before(g.before)
}

const (
	// deltaMinBytes is the size of an item's data from which it is sent as a delta.
	deltaMinBytes = 2 << 10
	// maxPreviousVersions is the number of previous versions kept of one item. A peer
	// that holds an older one gets the whole item.
	maxPreviousVersions = 4
)

func newCopy() *storeCopy {
	return &storeCopy{items: map[string]model.Item{}, previous: map[string][]model.Item{}}
}

// apply applies the changes up to a position. It returns those that changed the copy;
// changes that it already has, or has a later version of, are left out, and so are those of
// another era, which do not follow the copy.
func (c *storeCopy) apply(items []model.Item, position model.Position) []model.Item {
	if !c.precedes(position) {
		return nil
	}
	var changes []model.Item
	for _, item := range items {
		// An item that is not later than the copy and is not in it was removed.
		if _, known := c.items[item.Key]; !known && !item.Position.After(c.position) {
			continue
		}
		if c.put(item) {
			changes = append(changes, item)
		}
	}
	c.position = model.LatestPosition(c.position, position)
	return changes
}

// precedes reports whether changes up to a position can be applied to the copy.
func (c *storeCopy) precedes(position model.Position) bool {
	return c.position.IsZero() || c.position.Era == position.Era
}

// applyFromPeer applies the changes up to a position that a peer's copy holds. This copy
// takes over the gap of the peer's copy, since changes within it were not sent either.
func (c *storeCopy) applyFromPeer(items []model.Item, position model.Position, peerGap gap) []model.Item {
	if !c.precedes(position) {
		return nil
	}
	unseen := peerGap.before.After(c.position)
	changes := c.apply(items, position)
	if unseen {
		c.addGap(peerGap)
	}
	return changes
}

// addGap records a gap that is later than the present one. Only one gap is kept; removals
// up to the end of the present one count as compacted from then on.
func (c *storeCopy) addGap(unseen gap) {
	c.compacted = model.LatestPosition(c.compacted, c.gap.before)
	c.gap = unseen
}

// put stores one item, or removes it, unless the copy has the same or a later version. It
// reports whether the copy changed. A removal is recorded even if the item is not in the
// copy.
func (c *storeCopy) put(item model.Item) bool {
	held, known := c.items[item.Key]
	if known && !held.Position.Before(item.Position) {
		return false
	}
	if !item.Removed {
		c.keepPrevious(held)
		c.items[item.Key] = item
		return true
	}
	delete(c.items, item.Key)
	delete(c.previous, item.Key)
	c.recordRemoval(item)
	return known
}

// keepPrevious keeps the version of an item that is about to be replaced.
func (c *storeCopy) keepPrevious(held model.Item) {
	if len(held.Data) < deltaMinBytes {
		return
	}
	versions := append(c.previous[held.Key], held)
	c.previous[held.Key] = versions[max(len(versions)-maxPreviousVersions, 0):]
}

// base returns the version of an item that a peer holds, if the copy still has it.
func (c *storeCopy) base(key string, position model.Position) (model.Item, bool) {
	for _, version := range c.previous[key] {
		if version.Position == position {
			return version, true
		}
	}
	return model.Item{}, false
}

// deltaBases returns the positions of the items that are large enough to be received as
// deltas, by key.
func (c *storeCopy) deltaBases() map[string]model.Position {
	held := map[string]model.Position{}
	for key, item := range c.items {
		if len(item.Data) >= deltaMinBytes {
			held[key] = item.Position
		}
	}
	return held
}

// recordRemoval keeps a removal for the peers, in the order of positions.
func (c *storeCopy) recordRemoval(removal model.Item) {
	at := sort.Search(len(c.removals), func(i int) bool { return c.removals[i].Position.After(removal.Position) })
	c.removals = slices.Insert(c.removals, at, removal)
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.compacted = model.LatestPosition(c.compacted, c.removals[excess-1].Position)
		c.removals = append([]model.Item(nil), c.removals[excess:]...)
	}
}

// replace applies a list that was complete at a position, which must not be before that of
// the copy. Items that are not listed and not later than the list have been removed. It
// returns the items that changed.
func (c *storeCopy) replace(items []model.Item, position model.Position) []model.Item {
	if !c.precedes(position) {
		return c.restart(items, position)
	}
	var changes []model.Item
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		if c.put(item) {
			changes = append(changes, item)
		}
	}
	for key, held := range c.items {
		removal := model.Item{Key: key, Position: position, Removed: true}
		if !listed[key] && !held.Position.After(position) && c.put(removal) {
			changes = append(changes, removal)
		}
	}
	c.advanceTo(position)
	return changes
}

// restart replaces the copy by a list of a later era. It returns the items that were written
// at another revision or with other data before, and removals of those that are not listed.
// Nothing that the copy knew of the earlier era applies to peers any more.
func (c *storeCopy) restart(items []model.Item, position model.Position) []model.Item {
	earlier := c.items
	*c = *newCopy()
	c.position, c.compacted = position, position
	var changes []model.Item
	for _, item := range items {
		c.items[item.Key] = item
		if held, known := earlier[item.Key]; !known || !sameWrite(held, item) {
			changes = append(changes, item)
		}
	}
	for key := range earlier {
		if _, listed := c.items[key]; !listed {
			changes = append(changes, model.Item{Key: key, Position: position, Removed: true})
		}
	}
	return changes
}

// sameWrite reports whether two items, possibly read in different eras, are the same write.
func sameWrite(a, b model.Item) bool {
	return a.Position.Revision == b.Position.Revision && bytes.Equal(a.Data, b.Data)
}

// advanceTo sets the copy's position to that of a list of the same era. The positions between
// become a gap, because a list does not contain items that were added and removed within it.
func (c *storeCopy) advanceTo(position model.Position) {
	if c.position.IsZero() {
		c.compacted = position
	} else if position.After(c.position) {
		c.addGap(gap{after: c.position, before: position})
	}
	c.position = model.LatestPosition(c.position, position)
}

// since returns the changes after a position. complete is set when the items are the whole
// copy instead, because after is the zero position or of another era, or not all removals
// after it are known.
func (c *storeCopy) since(after model.Position) (items []model.Item, complete bool) {
	complete = after.IsZero() || after.Era != c.position.Era || after.Before(c.compacted) || c.gap.contains(after)
	for _, item := range c.items {
		if complete || item.Position.After(after) {
			items = append(items, item)
		}
	}
	if complete {
		return items, true
	}
	for _, removal := range c.removals {
		if removal.Position.After(after) {
			items = append(items, removal)
		}
	}
	return items, false
}
