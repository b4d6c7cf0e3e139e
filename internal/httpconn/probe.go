package httpconn

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Probe checks that the server responds on a pooled connection before a request is sent
// on it. Without a probe it is unknown whether a request that was sent on an
// unresponsive connection has reached the server.
type Probe struct {
	// Target and Host are the request target and host of the GET request that serves
	// as the probe. Any response with a body shorter than maxProbeBodyBytes passes.
	Target string
	Host   string
	// After is the time since the last response on a connection from which the
	// connection is probed, and Timeout is the time limit of the probe.
	After   time.Duration
	Timeout time.Duration
}

// maxProbeBodyBytes bounds the body of the response to a probe.
const maxProbeBodyBytes = 1 << 10

// passes reports whether a pooled connection was in use recently or responds to the
// probe. A nil probe passes every connection.
func (p *Probe) passes(ctx context.Context, c *conn) bool {
	if p == nil || time.Since(c.idleSince) < p.After {
		return true
	}
	deadline := time.Now().Add(p.Timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	if err := c.SetDeadline(deadline); err != nil {
		return false
	}
	if !p.send(c) {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// send sends the probe and reports whether a complete response arrived and the
// connection can be used again.
func (p *Probe) send(c *conn) bool {
	writeHead(c.writer, &Request{Method: http.MethodGet, Target: p.Target, Host: p.Host})
	if err := c.writer.Flush(); err != nil {
		return false
	}
	response, err := c.readFinal(http.MethodGet)
	if err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBodyBytes))
	return err == nil && n < maxProbeBodyBytes && !response.Close && c.reader.Buffered() == 0
}
