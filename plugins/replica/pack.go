package replica

import (
	"sync"

	"github.com/bronzemast/bronzemast/internal/zdelta"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// maxItemBytes bounds an item that was sent compressed. The store's values are
// smaller.
const maxItemBytes = 8 << 20

// peerItem is an item as it goes to a peer.
type peerItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Revision uint64
	Removed  bool
	// Packed is set if the data is compressed, as a difference from the state of
	// the revision Base if that is not 0.
	Packed bool
	Base   uint64
	// Same is set if the peer has the item in this state; there is no data then.
	Same bool
	Data []byte
}

// packing is an item that may be sent as a difference.
type packing struct {
	item model.Item
	// base is the state that the peer has; its revision is 0 if it has none.
	base model.Item
	// same is set if that is the present one.
	same bool
}

// packer compresses items. Followers mostly lack the same, so it remembers its last
// result.
type packer struct {
	mu   sync.Mutex
	last peerItem
}

// pack returns an item as it goes to a peer.
func (p *packer) pack(x packing) peerItem {
	packed := peerItem{Key: x.item.Key, Revision: x.item.Revision, Removed: x.item.Removed, Data: x.item.Data}
	if x.same {
		packed.Same, packed.Data = true, nil
		return packed
	}
	if len(x.item.Data) < largeBytes {
		return packed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Key == packed.Key && p.last.Revision == packed.Revision && p.last.Base == x.base.Revision {
		return p.last
	}
	data, err := zdelta.Compress(x.item.Data, x.base.Data)
	if err != nil {
		return packed // it goes whole
	}
	packed.Packed, packed.Base, packed.Data = true, x.base.Revision, data
	p.last = packed
	return packed
}

// unpack undoes pack. held returns the state that the node has of an item.
func unpack(packed peerItem, held func(key string) model.Item) (model.Item, error) {
	item := model.Item{Key: packed.Key, Revision: packed.Revision, Removed: packed.Removed, Data: packed.Data}
	if !packed.Packed && !packed.Same {
		return item, nil
	}
	own := held(packed.Key)
	if own.Revision >= packed.Revision {
		return own, nil // another answer has brought it meanwhile
	}
	if packed.Same {
		return item, errors.Errorf("%s of revision %d was not sent, but revision %d is held", packed.Key, packed.Revision, own.Revision)
	}
	var base model.Item
	if packed.Base > 0 {
		base = own
		if base.Revision != packed.Base {
			return item, errors.Errorf("%s of revision %d is a difference from revision %d, not %d", packed.Key, packed.Revision, packed.Base, base.Revision)
		}
	}
	data, err := zdelta.Expand(packed.Data, base.Data, maxItemBytes)
	if err != nil {
		return item, errors.Wrapf(err, "%s of revision %d", packed.Key, packed.Revision)
	}
	item.Data = data
	return item, nil
}
