package forwarding

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/model"
)

const (
	// earlyBytes is how much of a body a target reads before it answers.
	earlyBytes = 64 << 10
	// earlyAnswerBytes is the length of that answer.
	earlyAnswerBytes = 512 << 10
)

// answerEarly answers the request of a connection before it has read the body, and passes on what
// arrives of that.
func answerEarly(conn net.Conn, bodies chan<- string) {
	defer func() { _ = conn.Close() }() // the node may have closed it
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, request.Body, earlyBytes); err != nil {
		return
	}
	go func() {
		head := "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n"
		_, _ = fmt.Fprintf(conn, head, model.HeaderRequestID, request.Header.Get(model.HeaderRequestID), earlyAnswerBytes) // see below
		_, _ = io.WriteString(conn, strings.Repeat("a", earlyAnswerBytes))                                                 // the node may close it
	}()
	_, _ = io.Copy(&body, request.Body) // what arrived counts
	bodies <- body.String()
}

// slowReader reads a text in pieces, with a pause before each.
type slowReader struct{ rest string }

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	const pieceBytes = 8 << 10
	if r.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(5 * time.Millisecond)
	n := copy(p[:min(len(p), pieceBytes)], r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Guards against long bodies that reach a target with pieces missing, after it has answered early.
func TestALongBodyArrivesUnchangedThoughItsTargetAnswersEarly(t *testing.T) {
	const bodyBytes, calls = 300 << 10, 8
	g := NewWithT(t)
	m := newMesh(t)
	entry, targetNode := m.add("a", ""), m.add("b", testService)
	targetNode.target.Stop()
	listener, err := net.Listen("tcp", targetNode.target.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }() // nothing depends on the result
	bodies := make(chan string, calls)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn, bodies)
		}
	}()
	for i := range calls {
		var sent strings.Builder
		for sent.Len() < bodyBytes {
			fmt.Fprintf(&sent, "%d %d\n", i, sent.Len())
		}
		request := m.request(entry, http.MethodPost, "/fees/1", fmt.Sprintf("early-%d", i), &slowReader{rest: sent.String()})
		if i%2 == 0 {
			request.ContentLength = int64(sent.Len())
		}
		answer := m.do(request)
		received := <-bodies
		t.Logf("%d: %d, %v; %d of %d bytes", i, answer.status, answer.err, len(received), sent.Len())
		g.Expect(strings.HasPrefix(sent.String(), received)).To(BeTrue(), "other bytes than the caller sent")
	}
}
