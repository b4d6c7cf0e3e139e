package clients

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// crowdSize is the number of clients that fill memory.
	crowdSize = 1000
	// almostBuffered is the length of a body just below what a node keeps in memory of one.
	almostBuffered = 255 << 10
	// dialsAtOnce bounds the connections of a crowd that are opened at the same time, so that they
	// do not overflow the listen queue.
	dialsAtOnce = 64
	dialTimeout = 2 * time.Second
	// sendTimeout is how long a client tries to send what it has.
	sendTimeout = 4 * time.Second
	// settleTime is how long the nodes have to read what the crowd has sent.
	settleTime = 2 * time.Second
	// receiveBufferBytes keeps the kernel from taking answers off the node that nobody reads.
	receiveBufferBytes = 4 << 10
)

// crowd is a number of clients that send the same and then stay connected without reading.
type crowd struct {
	address string
	size    int
	// text is what each client sends first, and more what it sends again and again after that.
	text string
	more string
}

// runCrowds gathers each crowd, of crowdSize clients, at the address for callers of a fleet of its own.
func runCrowds(t *testing.T, crowds map[string]crowd) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 0)
			c.address, c.size = f.Hosts[0].Host.CallAddress, crowdSize
			c.gather(t)
			f.expectServing()
		})
	}
}

// gather connects all clients and returns once each has sent what it could. The connections stay
// open until the test ends.
func (c crowd) gather(t *testing.T) {
	var clients sync.WaitGroup
	dialing := make(chan struct{}, dialsAtOnce)
	for range c.size {
		clients.Go(func() {
			dialing <- struct{}{}
			conn, err := c.dial()
			<-dialing
			if err != nil {
				return // to refuse a client is allowed
			}
			t.Cleanup(func() { _ = conn.Close() }) // the node may have closed it
			c.send(conn)
		})
	}
	clients.Wait()
	time.Sleep(settleTime)
}

func (c crowd) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // only holds less without it
		})
	}}
	return dialer.Dial("tcp", c.address)
}

// send sends until the node closes the connection or sendTimeout is over.
func (c crowd) send(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // the write fails if the node has closed it
	text := c.text
	for text != "" {
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		text = c.more
	}
}

// requestHead returns the head of a request without the empty line that ends it.
func requestHead(method, path string, fields ...string) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 30000\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head
}

// shortFields returns different header fields of a few bytes each, of about n bytes together.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var text strings.Builder
	for i := 0; text.Len() < n; i++ {
		for rest := i; ; rest /= len(letters) {
			text.WriteByte(letters[rest%len(letters)])
			if rest < len(letters) {
				break
			}
		}
		text.WriteString(":\r\n")
	}
	return text.String()
}

// declared returns the head of a request that declares a length, and a body of fewer bytes.
func declared(length, bytes int) string {
	return requestHead("POST", "/file/x", fmt.Sprintf("Content-Length: %d", length), "") + strings.Repeat("b", bytes)
}
