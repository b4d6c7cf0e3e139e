package quarantine

// maxCompleted is the number of requests in each half of a Completed.
const maxCompleted = 1024

// Completed remembers the requests that one incarnation of a target has completed recently. Such
// a request has not caused a crash of that incarnation, which matters for requests that are
// always under way: some run is under each crash. It is not safe for concurrent use.
type Completed struct {
	// recent and older are filled in turn; when recent is full, older is dropped.
	recent, older map[Fingerprint]struct{}
}

// Add adds a request.
func (c *Completed) Add(f Fingerprint) {
	if len(c.recent) >= maxCompleted {
		c.older, c.recent = c.recent, nil
	}
	if c.recent == nil {
		c.recent = map[Fingerprint]struct{}{}
	}
	c.recent[f] = struct{}{}
}

// Includes reports whether a request was added and is still remembered.
func (c *Completed) Includes(f Fingerprint) bool {
	_, recent := c.recent[f]
	_, older := c.older[f]
	return recent || older
}
