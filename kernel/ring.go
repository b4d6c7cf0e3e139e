package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// FullPolicy defines what a full Ring does with a new element.
type FullPolicy uint8

// The policies of a full ring.
const (
	// DropOldest discards the oldest element to make space for the new one.
	DropOldest FullPolicy = iota
	// RejectNew returns ErrRingFull to the producer.
	RejectNew
	// Block makes the producer wait until there is space or its context is done.
	Block
)

// The errors of a Ring.
var (
	ErrRingFull   = errors.New("ring is full")
	ErrRingClosed = errors.New("ring is closed")
)

// Ring is a bounded FIFO queue between goroutines. It is safe for concurrent use.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	dropped uint64
	closed  bool
	policy  FullPolicy
	// ready and space wake one consumer or one blocked producer.
	ready chan struct{}
	space chan struct{}
}

// NewRing returns a ring that holds up to capacity elements. A capacity below 1
// counts as 1.
func NewRing[T any](capacity int, policy FullPolicy) *Ring[T] {
	return &Ring[T]{
		items:  make([]T, max(capacity, 1)),
		policy: policy,
		ready:  make(chan struct{}, 1),
		space:  make(chan struct{}, 1),
	}
}

// Put adds an element, or applies the policy if the ring is full. Only a ring
// with the policy Block waits; Put then returns the error of ctx if ctx ends
// first. After Close it returns ErrRingClosed.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	for {
		err := r.tryPut(item)
		if !errors.Is(err, ErrRingFull) || r.policy != Block {
			return err
		}
		select {
		case <-r.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Ring[T]) tryPut(item T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrRingClosed
	}
	if r.count == len(r.items) {
		if r.policy != DropOldest {
			return ErrRingFull
		}
		r.head = (r.head + 1) % len(r.items)
		r.count--
		r.dropped++
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	signal(r.ready)
	if r.count < len(r.items) {
		signal(r.space)
	}
	return nil
}

// Get removes and returns the oldest element, and waits while there is none. It
// returns the error of ctx if ctx ends first, and ErrRingClosed if the ring is
// closed and empty.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		item, ok, closed := r.tryGet()
		if ok {
			return item, nil
		}
		if closed {
			return item, ErrRingClosed
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return item, ctx.Err()
		}
	}
}

func (r *Ring[T]) tryGet() (item T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		if r.closed {
			signal(r.ready)
		}
		return item, false, r.closed
	}
	var zero T
	item = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	signal(r.space)
	if r.count > 0 {
		signal(r.ready)
	}
	return item, true, false
}

// Close makes the ring reject further elements. Get still returns those already
// queued.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	signal(r.ready)
	signal(r.space)
}

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns how many elements the DropOldest policy has discarded.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// signal wakes one waiter and does not block. A signal without a waiter is kept
// for the next one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
