package replica

import (
	"sync"

	"github.com/bronzemast/bronzemast/internal/zdelta"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// maxItemBytes bounds the decompressed data of an item. The store's values are smaller.
const maxItemBytes = 8 << 20

// peerItem is an item as it is sent to a peer.
type peerItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Revision uint64
	Removed  bool
	// Compressed is set if the data is compressed, as a delta from the version of
	// revision BaseRevision unless that is 0.
	Compressed   bool
	BaseRevision uint64
	// Unchanged is set if the peer holds this version of the item; Data is empty then.
	Unchanged bool
	Data      []byte
}

// outgoingItem is an item to be sent to a peer, possibly as a delta.
type outgoingItem struct {
	item model.Item
	// base is the version that the peer holds, in the same era; it is zero if there is none.
	base model.Item
	// unchanged is set if the peer holds this version of the item.
	unchanged bool
}

// packer compresses items. It caches its last result, since the followers of a reader
// mostly need the same delta.
type packer struct {
	mu      sync.Mutex
	last    peerItem
	lastEra uint64
}

// pack returns an item as it is sent to a peer.
func (p *packer) pack(x outgoingItem) peerItem {
	packed := peerItem{Key: x.item.Key, Revision: x.item.Position.Revision, Removed: x.item.Removed, Data: x.item.Data}
	if x.unchanged {
		packed.Unchanged, packed.Data = true, nil
		return packed
	}
	if len(x.item.Data) < deltaMinBytes {
		return packed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Key == packed.Key && p.lastEra == x.item.Position.Era && p.last.Revision == packed.Revision && p.last.BaseRevision == x.base.Position.Revision {
		return p.last
	}
	data, err := zdelta.Compress(x.item.Data, x.base.Data)
	if err != nil {
		return packed // sent uncompressed
	}
	packed.Compressed, packed.BaseRevision, packed.Data = true, x.base.Position.Revision, data
	p.last, p.lastEra = packed, x.item.Position.Era
	return packed
}

// unpack undoes pack for an item of a copy of an era. held returns the version that the node
// holds of an item.
func unpack(packed peerItem, era uint64, held func(key string) model.Item) (model.Item, error) {
	position := model.Position{Era: era, Revision: packed.Revision}
	item := model.Item{Key: packed.Key, Position: position, Removed: packed.Removed, Data: packed.Data}
	if !packed.Compressed && !packed.Unchanged {
		return item, nil
	}
	local := held(packed.Key)
	if !local.Position.Before(position) {
		return local, nil // another response brought it in the meantime
	}
	if packed.Unchanged {
		return item, errors.Errorf("item %q at revision %d was sent as unchanged, but position %s is held", packed.Key, packed.Revision, local.Position)
	}
	var base model.Item
	if packed.BaseRevision > 0 {
		base = local
		if base.Position != (model.Position{Era: era, Revision: packed.BaseRevision}) {
			return item, errors.Errorf("item %q at revision %d is a delta from revision %d, but position %s is held", packed.Key, packed.Revision, packed.BaseRevision, base.Position)
		}
	}
	data, err := zdelta.Decompress(packed.Data, base.Data, maxItemBytes)
	if err != nil {
		return item, errors.Wrapf(err, "decompress item %q at revision %d", packed.Key, packed.Revision)
	}
	item.Data = data
	return item, nil
}
