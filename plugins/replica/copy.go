package replica

import (
	"sort"

	"github.com/bronzemast/bronzemast/model"
)

// maxRemovals bounds the removals that a copy remembers for its peers. A peer
// that is further behind gets the whole copy.
const maxRemovals = 4096

// copyOf holds the items of the store as of a revision. It is not safe for
// concurrent use.
type copyOf struct {
	revision uint64
	items    map[string]model.Item
	// removals holds removed items in the order of their revisions, and
	// forgotten the revision up to which removals are no longer remembered.
	removals  []model.Item
	forgotten uint64
}

func newCopy() *copyOf {
	return &copyOf{items: map[string]model.Item{}}
}

// change takes in the changes up to a revision. It returns the items that are
// news, those that the copy has in a later state left out.
func (c *copyOf) change(items []model.Item, revision uint64) []model.Item {
	var news []model.Item
	for _, item := range items {
		if c.put(item) {
			news = append(news, item)
		}
	}
	c.revision = max(c.revision, revision)
	return news
}

// put takes in one item unless the copy has a later state of it.
func (c *copyOf) put(item model.Item) bool {
	held, known := c.items[item.Key]
	if known && held.Revision >= item.Revision {
		return false
	}
	if !item.Removed {
		c.items[item.Key] = item
		return true
	}
	if c.removedSince(item) {
		return false
	}
	delete(c.items, item.Key)
	c.remember(item)
	return known
}

// removedSince reports whether the same removal or a later one is remembered.
func (c *copyOf) removedSince(item model.Item) bool {
	for i := len(c.removals) - 1; i >= 0 && c.removals[i].Revision >= item.Revision; i-- {
		if c.removals[i].Key == item.Key {
			return true
		}
	}
	return false
}

func (c *copyOf) remember(removal model.Item) {
	c.removals = append(c.removals, removal)
	sort.SliceStable(c.removals, func(i, j int) bool { return c.removals[i].Revision < c.removals[j].Revision })
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.forgotten = c.removals[excess-1].Revision
		c.removals = append([]model.Item(nil), c.removals[excess:]...)
	}
}

// replace takes in a whole list that was complete at a revision. Items that are
// missing from it and not younger than it have been removed.
func (c *copyOf) replace(items []model.Item, revision uint64) []model.Item {
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	changes := items
	for key, held := range c.items {
		if !listed[key] && held.Revision <= revision {
			changes = append(changes, model.Item{Key: key, Revision: revision, Removed: true})
		}
	}
	// The list tells nothing of removals before it that this copy never saw.
	c.forgotten = max(c.forgotten, c.revision)
	return c.change(changes, revision)
}

// since returns all that has changed after a revision. complete is set when the
// items are the whole copy instead, because the changes are not remembered.
func (c *copyOf) since(after uint64) (items []model.Item, complete bool) {
	complete = after < c.forgotten || after == 0
	for _, item := range c.items {
		if complete || item.Revision > after {
			items = append(items, item)
		}
	}
	if complete {
		return items, true
	}
	for _, removal := range c.removals {
		if removal.Revision > after {
			items = append(items, removal)
		}
	}
	return items, false
}
