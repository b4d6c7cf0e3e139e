package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, URI string
	Body                  []byte
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Unsafe is set if the request may run at most once.
	Unsafe bool
	// Chunked is set if the body is sent in chunks.
	Chunked bool

	// What the client has seen.
	Node string
	// EndedAt is when the answer was there or the connection ended.
	EndedAt    time.Time
	SentAt     time.Time
	AnsweredAt time.Time
	Status     int
	Signed     bool
	// Whole is set if the answer is the worker's whole body.
	Whole bool
	Err   error
	// Kept is set if the connection had served a request before.
	Kept bool
}

var lastID atomic.Int64

func newRequest(method, host, uri string, deadline time.Duration) *Request {
	return &Request{ID: fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE([]byte(uri)), lastID.Add(1)), Method: method, Host: host, URI: uri, Deadline: deadline}
}

// head returns the request line and the headers.
func (q *Request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.Method, q.URI, q.Host, q.ID, q.Deadline.Milliseconds())
	if q.Chunked {
		text += "Transfer-Encoding: chunked\r\n"
	} else if len(q.Body) > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return text + "\r\n"
}

// frame returns a piece of the body as it is sent.
func (q *Request) frame(piece []byte) []byte {
	if !q.Chunked {
		return piece
	}
	return append(fmt.Appendf(nil, "%x\r\n", len(piece)), append(bytes.Clone(piece), "\r\n"...)...)
}

// Conn is a client's connection to its node.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	node   string
	used   bool
}

func dial(node *Node) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", node.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn), node: node.name}, nil
}

// send writes requests in a row without waiting for answers.
func (c *Conn) send(requests ...*Request) error {
	var data bytes.Buffer
	for _, q := range requests {
		data.WriteString(q.head())
		data.Write(q.Body)
	}
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Write(data.Bytes())
	now := time.Now()
	for _, q := range requests {
		q.SentAt, q.Node, q.Kept, q.Err = now, c.node, c.used, err
	}
	return err
}

// receive reads the answer to a request. It returns false if the connection can't be used again.
func (c *Conn) receive(q *Request) bool {
	c.used = true
	defer func() { q.EndedAt = time.Now() }()
	_ = c.SetReadDeadline(q.SentAt.Add(q.Deadline))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		q.Err = err
		return false
	}
	body, err := io.ReadAll(response.Body)
	q.AnsweredAt, q.Status = time.Now(), response.StatusCode
	if err != nil {
		q.Err = err
		return false
	}
	sign := response.Header.Get("X-Response-Signature")
	q.Signed = sign != ""
	q.Whole = strings.HasSuffix(sign, fmt.Sprintf(".%s.%d.%08x", q.ID, len(body), crc32.ChecksumIEEE(body)))
	return !response.Close
}

// closedUnanswered reports whether the node has closed the connection without a complete answer
// while the client was waiting.
func (q *Request) closedUnanswered() bool {
	if q.Err == nil {
		return false
	}
	timeout, ok := q.Err.(net.Error)
	return !(ok && timeout.Timeout())
}

// outcome describes what the client has seen.
func (q *Request) outcome() string {
	switch {
	case q.Err != nil:
		return "no complete answer: " + q.Err.Error()
	case q.Signed && q.Whole:
		return fmt.Sprintf("%d, the worker's whole answer", q.Status)
	case q.Signed:
		return fmt.Sprintf("%d, signed, NOT the worker's whole answer", q.Status)
	default:
		return fmt.Sprintf("%d of the system", q.Status)
	}
}
