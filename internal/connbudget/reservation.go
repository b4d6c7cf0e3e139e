package connbudget

import (
	"context"
	"sync"
)

// Reservation is the memory that a connection is charged for on behalf of one request. A nil
// *Reservation is charged for nothing. Its methods are safe for concurrent use.
type Reservation struct {
	conn *Conn

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewReservation returns an empty reservation. The caller must release it.
func (c *Conn) NewReservation() *Reservation { return &Reservation{conn: c} }

// Grow reserves more bytes. It returns false if there is no room for them.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released || !r.conn.reserve(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Charge reserves more bytes even if there is no room for them.
func (r *Reservation) Charge(bytes int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return
	}
	r.conn.charge(bytes)
	r.bytes += bytes
}

// Wait counts the connection as waiting for its other end, as Conn.Wait does, until Resume is called.
func (r *Reservation) Wait() {
	if r != nil {
		r.conn.Wait()
	}
}

// Resume ends what Wait began.
func (r *Reservation) Resume() {
	if r != nil {
		r.conn.Resume()
	}
}

// Bytes returns the number of bytes that are reserved.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Release returns all bytes.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	if r.conn == nil {
		return
	}
	b := r.conn.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(r.conn, -r.bytes)
}

type contextKey struct{}

// NewContext returns a context that carries a reservation.
func NewContext(ctx context.Context, r *Reservation) context.Context {
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns the reservation of a context, nil if there is none.
func FromContext(ctx context.Context) *Reservation {
	r, _ := ctx.Value(contextKey{}).(*Reservation)
	return r
}
