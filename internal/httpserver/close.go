package httpserver

// decideClose decides whether the connection is closed after the response to e, which is about
// to be written. If the response asks for it, no further request is begun, and the connection
// is closed after the last one that was.
func (c *conn) decideClose(e *exchange, requested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || requested || e.last
	isLastBegun := len(c.exchanges) == 1 || !c.exchanges[1].begun
	e.closesConn = c.closing && isLastBegun
	if c.closing {
		c.changed.Broadcast()
	}
	return e.closesConn
}

// discardRest reads until the connection ends, so that the handlers learn when the caller
// leaves, and closes it once the last response has been written.
func (c *conn) discardRest() {
	c.mu.Lock()
	for c.bodyInUse() && !c.lost {
		c.changed.Wait()
	}
	if c.finished {
		c.setReadDeadline(lingerTimeout)
	} else {
		c.setReadDeadline(0)
	}
	c.mu.Unlock()
	buffer := make([]byte, 1<<10)
	for {
		// A handler that has ended may have left a goroutine that reads the body.
		if _, err := c.rwc.Read(buffer); err != nil {
			return
		}
	}
}

// finish closes the writing side after the last response. The reader closes the connection
// once the caller has done so too, or after lingerTimeout. The caller holds mu.
func (c *conn) finish() {
	c.closing, c.finished = true, true
	closer, ok := c.rwc.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		_ = c.rwc.Close() // ends the reader
		return
	}
	c.setReadDeadline(lingerTimeout)
}

// shutDown closes the connection after the requests that were begun, at once if there is none.
func (c *conn) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if len(c.exchanges) == 0 || !c.exchanges[0].begun {
		c.closeLocked()
	}
	c.changed.Broadcast()
}

// abort closes the connection, whatever the state of its requests.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection and cancels its requests. The caller holds mu.
func (c *conn) closeLocked() {
	if c.lost {
		return
	}
	c.lost, c.closing = true, true
	c.cancel()
	_ = c.rwc.Close() // it may have been closed already
	c.changed.Broadcast()
}
