package connbudget

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// headByteFactor is the memory for each byte of a head: as it was read, and as parsed.
	headByteFactor = 3
	// fieldBytes is the memory for each field of a head beyond its bytes: entries of maps and
	// slices, and their copies.
	fieldBytes = 200
	// maxTrackedBytes bounds what a connection is charged for between two requests: more than a head
	// within the usual limits takes. Some protocols send without end there, such as the pings of HTTP/2.
	maxTrackedBytes = 8 << 20
)

// HeadBytes returns the memory that a part of the head of a request takes.
func HeadBytes(part []byte) int64 {
	return int64(headByteFactor*len(part) + fieldBytes*bytes.Count(part, []byte("\n")))
}

// ErrNoMemory is returned for a read if there is no room for what was read.
var ErrNoMemory = errors.New("no memory is left for this connection")

// headTracker charges a connection that is served by net/http for the heads of its requests.
type headTracker struct {
	mu sync.Mutex
	// reading is set while the connection is idle or a head is read, and reservation holds
	// what the connection is charged for.
	reading     bool
	reservation *Reservation
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.head.charge(p[:n]) {
		return 0, ErrNoMemory
	}
	return n, err
}

// charge charges the connection for a part of a head. It returns false if there is no room.
func (h *headTracker) charge(part []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading || h.reservation.Bytes() >= maxTrackedBytes {
		return true
	}
	return h.reservation.Grow(HeadBytes(part))
}

// begin waits for the head of the next request.
func (h *headTracker) begin(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reservation.Release()
	h.reading, h.reservation = true, c.NewReservation()
}

// end ends the charges for further bytes.
func (h *headTracker) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
}

// Track makes a server of net/http report to the budget which of its connections wait for their
// other end, and adds the reservation of a request to its context. Its listener must be one of a
// budget.
func Track(s *http.Server) {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := Of(conn); c != nil {
			c.setState(state)
		}
	}
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, Of(conn))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		reservation := c.NewReservation()
		defer reservation.Release()
		handler.ServeHTTP(w, r.WithContext(NewContext(r.Context(), reservation)))
	})
}

type connKey struct{}

// setState follows the state of a connection of net/http.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.head.begin(c) // waits since Accept
	case http.StateIdle:
		c.head.begin(c)
		c.Wait()
	case http.StateActive:
		c.head.end()
		c.Resume()
	}
}
