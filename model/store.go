package model

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/pkg/errors"
)

// Item is one version of an item in the platform's store. A version with Removed set
// marks the item's removal and has no data.
type Item struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// Position is that of the store when this version was written, in the era in which it
	// was read.
	Position Position
	Data     []byte
	Removed  bool
}

// ErrCompacted is returned by a Store whose history no longer reaches back to the
// requested position, or is too long for one response; the caller must list the items again.
var ErrCompacted = errors.New("the store cannot return the history after the requested position")

// ErrRateLimited is returned by a Store that rejects a call because the rate limit is
// exceeded.
var ErrRateLimited = errors.New("rate limit of the store exceeded")

// Store reads the platform's store. Each call counts against the rate limit that the
// platform applies to the whole fleet.
type Store interface {
	// List returns all items and a position up to which they are complete; Watch
	// after that position returns all later changes. A stale list may be seconds old
	// and does not count against the rate limit.
	List(ctx context.Context, stale bool) ([]Item, Position, error)
	// Watch returns the changes after a position as soon as there are any, or none
	// once wait has elapsed, and the position up to which they are complete. It
	// returns ErrCompacted when the history after the position is not available, as
	// after the store has been restored.
	Watch(ctx context.Context, after Position, wait time.Duration) ([]Item, Position, error)
}

// ItemKind is the type of an item's content.
type ItemKind uint8

// The kinds of items. Items of other kinds are ignored.
const (
	ItemOther ItemKind = iota
	ItemConfiguration
	ItemTarget
	// ItemEvacuation is an operator's request to keep all requests from the targets of a
	// failure domain, for as long as the item exists.
	ItemEvacuation
)

// ItemDecoder decodes the items of the store. Its errors always concern the item, never
// access to the store.
type ItemDecoder interface {
	Kind(key string) ItemKind
	Configuration(item Item) (*ingress.Document, error)
	Target(item Item) (*Target, error)
	// Evacuation returns the failure domain that is evacuated while the item exists. It may
	// return an error about the item's data together with the domain.
	Evacuation(item Item) (domain string, err error)
}

// Replica is the node's copy of the store. The plug-in "replica" provides it.
type Replica interface {
	// Table returns the configuration in force, nil before the first one. Each
	// request keeps the table that it started with.
	Table() *ingress.Table
	// Current reports whether the copy is recent enough to route requests by it.
	Current() bool
	// Targets returns the list of targets; it is never nil.
	Targets() *TargetList
	// Position returns the store's position that the copy has reached.
	Position() Position
	// ObservePosition records that the node at a peer address has reached a position.
	ObservePosition(peer string, position Position)
	// Subscribe calls f after each change of the targets, on one goroutine. It
	// must be called before the node starts.
	Subscribe(f func(*TargetList))
}
