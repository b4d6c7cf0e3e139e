package httpserver

// enqueue adds an exchange and begins it if possible.
func (c *conn) enqueue(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.exchanges) == 0 {
		c.budget.Resume() // has waited for a request
	}
	c.exchanges = append(c.exchanges, e)
	c.schedule()
}

// awaitNext waits until the request after e can be read. It returns false if e is the last
// request of the connection.
func (c *conn) awaitNext(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.lost && !c.closing && (!e.bodyDone || c.isFarAhead()) {
		c.changed.Wait()
	}
	return !c.lost && !c.closing && !e.last
}

// isFarAhead reports whether as many requests have been read ahead as may be. The caller holds mu.
func (c *conn) isFarAhead() bool {
	var bytes int64
	for _, e := range c.exchanges {
		if !e.begun {
			bytes += e.memory.Bytes()
		}
	}
	return len(c.exchanges) >= maxReadAhead || bytes >= maxAheadBytes
}

// bodyInUse reports whether a handler may be reading a request's body. The caller holds mu.
func (c *conn) bodyInUse() bool {
	for _, e := range c.exchanges {
		if e.begun && !e.bodyDone {
			return true
		}
	}
	return false
}

// schedule begins the requests that may be: the first one, and those behind it as long as all
// up to them are concurrent. The caller holds mu.
func (c *conn) schedule() {
	if c.closing || c.lost {
		return
	}
	for i, e := range c.exchanges {
		if i > 0 && !(e.concurrent && c.exchanges[i-1].concurrent && i < c.server.options.MaxConcurrentPerConn) {
			return
		}
		if e.begun {
			continue
		}
		if i > 0 && !c.server.acquireAhead() {
			return
		}
		e.begun, e.ahead = true, i > 0
		go e.run()
	}
}

// awaitTurn waits until all earlier requests have been answered. It returns false if the
// connection is lost.
func (c *conn) awaitTurn(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.lost && c.exchanges[0] != e {
		c.changed.Wait()
	}
	return !c.lost
}

// endExchange removes an exchange whose response has been written, the first one, and begins
// the next.
func (c *conn) endExchange(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.bodyDone = true
	e.memory.Release()
	c.releaseAhead(e)
	if len(c.exchanges) > 0 && c.exchanges[0] == e {
		c.exchanges[0] = nil
		c.exchanges = c.exchanges[1:]
		if len(c.exchanges) == 0 {
			c.budget.Wait() // for the next request
		}
	}
	if len(c.exchanges) > 0 {
		c.releaseAhead(c.exchanges[0]) // none is before it any more
	}
	noneBegun := len(c.exchanges) == 0 || !c.exchanges[0].begun
	if e.closesConn || c.closing && noneBegun {
		c.finish()
	}
	c.schedule()
	c.armIdleTimeout()
	c.changed.Broadcast()
}

// releaseAhead ends the count of an exchange as one that is ahead of others. The caller holds
// mu.
func (c *conn) releaseAhead(e *exchange) {
	if e.ahead {
		e.ahead = false
		c.server.releaseAhead()
	}
}

// endBody records that the body of a request has been read.
func (c *conn) endBody(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.bodyDone = true
	c.changed.Broadcast()
}
