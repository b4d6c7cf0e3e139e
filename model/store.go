package model

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/pkg/errors"
)

// Item is an item of the platform's store, or its removal.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Revision uint64
	Data     []byte
	Removed  bool
}

// ErrCompacted is returned by a Store that no longer has the history asked for;
// the caller must list the items anew.
var ErrCompacted = errors.New("the store has dropped this part of its history")

// ErrRateLimited is returned by a Store that refuses a call because of its rate.
var ErrRateLimited = errors.New("the store's rate is used up")

// Store reads the platform's store. Each call counts against the rate that the
// platform grants to the whole fleet.
type Store interface {
	// List returns all items and a revision of which they are at least true:
	// what changed later comes by Watch after that revision. A stale list may be
	// seconds old and does not count against the rate.
	List(ctx context.Context, stale bool) ([]Item, uint64, error)
	// Watch returns the changes after a revision as soon as there are any, none
	// after wait, and the revision up to which they are complete. It returns
	// ErrCompacted when the history is gone.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// ItemKind tells what an item of the store holds.
type ItemKind uint8

// The kinds of items. Items of other kinds are ignored.
const (
	ItemOther ItemKind = iota
	ItemConfiguration
	ItemTarget
)

// ItemDecoder decodes the items of the store. Its errors are findings about the
// item, never about the store.
type ItemDecoder interface {
	Kind(key string) ItemKind
	Configuration(item Item) (*ingress.Document, error)
	Target(item Item) (*Target, error)
}

// Replica is the node's copy of the store. The plug-in "replica" provides it.
type Replica interface {
	// Table returns the configuration in force, nil before the first one. A
	// request uses the one table that it started with.
	Table() *ingress.Table
	// Targets returns the list of targets; it is never nil.
	Targets() *TargetList
	// Revision returns the store's revision that the node has.
	Revision() uint64
	// Sighted tells that the node at a peer address has a revision.
	Sighted(peer string, revision uint64)
	// Subscribe calls f after each change of the targets, on one goroutine. It
	// must be called before the node starts.
	Subscribe(f func(*TargetList))
}
