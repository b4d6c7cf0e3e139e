// Package connbudget bounds the connections that others open to a process, and the memory that
// they make it hold.
//
// All listeners of a process share one Budget. Each connection is charged for what is held on
// its behalf: its buffers, the heads of its requests, bodies, and answers that it has not read.
// When a listener has too many connections or the memory is used up, the connection that has
// been waiting for its other end longest is closed: one that is idle, that does not finish its
// request, or that does not read its answer. Connections whose requests are being handled are
// not closed. If there is none to close, new connections wait and new requests are rejected.
package connbudget

import (
	"sync"
	"time"
)

// connBytes is what a connection without a request takes: its goroutine and its buffers.
const connBytes = 16 << 10

// Budget is the memory that the connections of all listeners may take together. Its methods are
// safe for concurrent use.
type Budget struct {
	maxBytes int64

	mu    sync.Mutex
	bytes int64
	conns map[*Conn]struct{}
	// room is signalled when a connection is closed or begins to wait for its other end, if
	// accepting is positive, the number of connections that wait for room.
	room      sync.Cond
	accepting int
	// closed counts the connections that were closed to make room, and refused the requests
	// that were rejected for want of it.
	closed, refused int64
}

// New returns a budget of maxBytes bytes of memory.
func New(maxBytes int64) *Budget {
	b := &Budget{maxBytes: maxBytes, conns: map[*Conn]struct{}{}}
	b.room.L = &b.mu
	return b
}

// Stats are the state of a budget and its totals since the start.
type Stats struct {
	// Conns is the number of open connections, Bytes the memory that they are charged for.
	Conns int
	Bytes int64
	// Closed counts the connections that were closed to make room, Refused the requests that
	// were rejected for want of it.
	Closed  int64
	Refused int64
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Conns: len(b.conns), Bytes: b.bytes, Closed: b.closed, Refused: b.refused}
}

// add registers a new connection once there is room for it. It returns false if the listener is
// closed before that.
func (b *Budget) add(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.admits(c) {
		b.accepting++
		b.room.Wait()
		b.accepting--
	}
	if c.listener.closed {
		return false
	}
	b.conns[c] = struct{}{}
	c.listener.conns++
	b.charge(c, connBytes)
	return true
}

// admits reports whether a new connection need not wait: there is room for it, possibly after
// another one was closed, or its listener is closed. The caller holds mu.
func (b *Budget) admits(c *Conn) bool {
	if c.listener.closed {
		return true
	}
	sameListener := func(other *Conn) bool { return other.listener == c.listener }
	if c.listener.conns >= c.listener.maxConns && !b.closeOne(sameListener) {
		return false
	}
	return b.makeRoom(c, connBytes)
}

// closeListener ends the wait of the connections of a listener.
func (b *Budget) closeListener(l *listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.closed = true
	b.room.Broadcast()
}

// signalRoom wakes the connections that wait for room. The caller holds mu.
func (b *Budget) signalRoom() {
	if b.accepting > 0 {
		b.room.Broadcast()
	}
}

// makeRoom closes waiting connections other than c until n more bytes fit. It returns false if
// they do not. The caller holds mu.
func (b *Budget) makeRoom(c *Conn, n int64) bool {
	holdsMore := func(other *Conn) bool { return other != c && other.bytes > connBytes }
	isOther := func(other *Conn) bool { return other != c }
	for b.bytes+n > b.maxBytes {
		if !b.closeOne(holdsMore) && !b.closeOne(isOther) {
			return false
		}
	}
	return true
}

// closeOne closes the connection that has been waiting longest, of those for which eligible
// returns true. It returns false if there is none. The caller holds mu.
func (b *Budget) closeOne(eligible func(*Conn) bool) bool {
	var longest *Conn
	for c := range b.conns {
		if c.waits > 0 && eligible(c) && (longest == nil || c.waitingSince.Before(longest.waitingSince)) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	b.remove(longest)
	b.closed++
	_ = longest.Conn.Close() // ends the goroutines that use it
	return true
}

// remove ends the charges of a connection. The caller holds mu.
func (b *Budget) remove(c *Conn) {
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	c.listener.conns--
	b.bytes -= c.bytes
	c.bytes = 0
	b.signalRoom()
}

// charge adds bytes, which may be negative, to a connection unless it has been removed. The
// caller holds mu.
func (b *Budget) charge(c *Conn, bytes int64) {
	if _, ok := b.conns[c]; !ok {
		return
	}
	c.bytes += bytes
	b.bytes += bytes
	if bytes < 0 {
		b.signalRoom()
	}
}

// wait counts a wait of a connection for its other end.
func (b *Budget) wait(c *Conn) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waits == 0 {
		c.waitingSince = now
		b.signalRoom()
	}
	c.waits++
}

// resume ends a wait.
func (b *Budget) resume(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waits--
}
