package replica

import (
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxSuperseded is the number of superseded writes that are kept of one item.
	maxSuperseded = 4
	// supersededTTL is how long the writes of an item are kept after the last one was
	// superseded: longer than the time by which a restored store is behind.
	supersededTTL = 2 * time.Minute
)

// superseded holds writes that were replaced or removed, by key, so that they are recognized
// when a store that was restored from an older copy shows them again.
type superseded map[string]supersededWrites

type supersededWrites struct {
	writes []write
	// at is when the last one was superseded.
	at time.Time
}

// write identifies a write of an item in all eras.
type write struct {
	revision uint64
	digest   uint64
}

func writeOf(item model.Item) write {
	return write{revision: item.Position.Revision, digest: xxhash.Sum64(item.Data)}
}

// add records that a write was superseded.
func (s superseded) add(item model.Item, now time.Time) {
	held := s[item.Key]
	held.writes = append(held.writes, writeOf(item))
	held.writes = held.writes[max(len(held.writes)-maxSuperseded, 0):]
	held.at = now
	s[item.Key] = held
	for key, other := range s {
		if now.Sub(other.at) > supersededTTL {
			delete(s, key)
		}
	}
}

// includes reports whether a write was superseded.
func (s superseded) includes(item model.Item) bool {
	return slices.Contains(s[item.Key].writes, writeOf(item))
}
