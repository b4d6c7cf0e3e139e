package source

import (
	"context"
	"expvar"
	"net"
)

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	sent, received *expvar.Int
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// countBytes wraps dial so that the bytes of its connections are counted in m.
func countBytes(dial dialFunc, m *metrics) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, sent: &m.bytesSent, received: &m.bytesReceived}, nil
	}
}
