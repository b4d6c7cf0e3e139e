package model

import (
	"context"
	"time"

	"github.com/bronzemast/bronzemast/config"
)

// Value is a value read from the platform.
type Value struct {
	// Revision increases with each change of the value.
	Revision uint64
	Data     []byte
}

// Platform reads the platform's configuration service. Each call counts against the
// rate limit that the platform applies to the whole fleet.
type Platform interface {
	// Read returns the value of key, or ErrNotFound if there is none.
	Read(ctx context.Context, key string) (Value, error)
	// Watch blocks until the revision of key differs from after or wait has elapsed,
	// and returns the value. unchanged reports that wait elapsed without a change.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value Value, unchanged bool, err error)
}

// Reader reads the platform on behalf of the node, within the node's quota of the
// platform's rate limit. The plug-in "source" provides it and decides whether the node
// holds a watch.
type Reader interface {
	// Part returns the part with the given digest. It does not verify the digest;
	// the caller must.
	Part(ctx context.Context, digest config.Digest) ([]byte, error)
	// Pack returns the pack with the given index, undecoded.
	Pack(ctx context.Context, index int) ([]byte, error)
	// Record returns the release record with the given number, undecoded.
	Record(ctx context.Context, number uint64) ([]byte, error)
	// SubscribeHead calls f with each newly read head record, undecoded, on one
	// goroutine. It must be called before the node starts.
	SubscribeHead(f func(record []byte))
	// SubscribeHosts calls f with each newly read host list. It must be called
	// before the node starts.
	SubscribeHosts(f func(list *HostList))
	// SetStarved sets a function that reports whether the node's peers no longer
	// supply it with current releases, so that it must read the platform itself. It
	// must be called before the node starts.
	SetStarved(f func() bool)
	// Reading reports whether the node holds a watch on the platform.
	Reading() bool
}
