package forwarding

import (
	"bufio"
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

// serveRaw serves the connections to the target of a node, in its place.
func serveRaw(t *testing.T, n *node, serve func(conn *net.TCPConn, request *http.Request)) {
	t.Helper()
	n.target.Stop()
	listener, err := net.Listen("tcp", n.target.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // nothing depends on the result
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the node may have closed it
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn), request)
				}
			}()
		}
	}()
}

// Guards against parts of an answer that callers get as the whole one: its target answers a long body at
// once, without a length, and resets the connection while the body is still being sent.
func TestAnAnswerThatIsResetDuringALongUploadIsNotComplete(t *testing.T) {
	const uploads, uploadBytes, answerBytes = 20, 12 << 20, 20 << 10
	g := NewWithT(t)
	m := newMesh(t)
	entry, targetNode := m.add("a", ""), m.add("b", testService)
	serveRaw(t, targetNode, func(conn *net.TCPConn, request *http.Request) {
		head := "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n"
		_, _ = fmt.Fprintf(conn, head+strings.Repeat("a", answerBytes), model.HeaderRequestID, request.Header.Get(model.HeaderRequestID)) // the node may close it
		time.Sleep(30 * time.Millisecond)                                                                                                 // the body is being sent
		_ = conn.SetLinger(0)                                                                                                             // the connection is closed next
	})
	body := strings.Repeat("b", uploadBytes)
	for i := range uploads {
		answer := m.do(m.request(entry, http.MethodPost, "/fees/1", fmt.Sprintf("reset-%d", i), strings.NewReader(body)))
		t.Logf("%d: %d, %v", i, answer.status, answer.err)
		g.Expect(answer.err == nil && answer.status < http.StatusBadRequest).To(BeFalse(), "%d bytes of an answer that was reset: %d", len(answer.body), answer.status)
	}
}

// Guards against answers with a malformed head that callers get as answers.
func TestAnswersWithAMalformedHeadAreNotPassedOn(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nbody"
	for name, text := range map[string]string{
		"status 000":        "HTTP/1.1 000 OK\r\n" + body,
		"status +20":        "HTTP/1.1 +20 OK\r\n" + body,
		"status 600":        "HTTP/1.1 600 OK\r\n" + body,
		"blank in a name":   "HTTP/1.1 200 OK\r\nA b: c\r\n" + body,
		"blank after one":   "HTTP/1.1 200 OK\r\nA : b\r\n" + body,
		"control character": "HTTP/1.1 200 OK\r\nA\x01b: c\r\n" + body,
		"blank in a length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			entry, targetNode := m.add("a", ""), m.add("b", testService)
			serveRaw(t, targetNode, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, text) // the node may close it
			})
			answer := m.do(m.request(entry, http.MethodPost, "/fees/1", "malformed", nil))
			g.Expect(answer.err).NotTo(HaveOccurred())
			g.Expect(answer.status).To(Equal(http.StatusBadGateway))
		})
	}
}
