package httpconn

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/responsehead"
)

func TestScannerFindsNamesThatBeginWithABlank(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, malformed := range map[string]bool{
		ok + "A: b\r\n\r\n":                                                false,
		ok + "A: b\r\n \r\n\tc\r\n\r\n":                                    false,
		ok + "A: b\r\n\r\n body: with blanks":                              false,
		ok + "A: b\n\n body: with blanks":                                  false,
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + ok + "\r\n body: x":         false,
		ok + "A: b\r\n C: d\r\n\r\n":                                       true,
		ok + "A: b\n\tC: d\n\n":                                            true,
		"HTTP/1.1 103 Hints\r\nA: b\r\n C: d\r\n\r\n" + ok + "\r\n":        true,
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + ok + "A: b\r\n C: d\r\n":    true,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 102 P\r\n\r\n" + ok + "\r\n :": false,
	} {
		for _, size := range []int{1, 2, 7, len(text)} {
			g := NewWithT(t)
			var s headScanner
			var err error
			for rest := []byte(text); len(rest) > 0 && err == nil; {
				n := min(size, len(rest))
				err = s.scan(rest[:n])
				rest = rest[n:]
			}
			if malformed {
				g.Expect(err).To(MatchError(responsehead.ErrMalformed), "%q in pieces of %d", text, size)
			} else {
				g.Expect(err).NotTo(HaveOccurred(), "%q in pieces of %d", text, size)
			}
		}
	}
}

// The answers of targets, of other nodes and to health checks are all read like this.
func TestAnswersWithAMalformedHeadAreErrors(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nbody"
	for text, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\nId: a\r\n" + body:                                                  true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n" + body:             true,
		"HTTP/1.1 000 OK\r\nId: a\r\n" + body:                                                  false,
		"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n" + body:                           false,
		"HTTP/1.1 101 Switch\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n" + body:                       false,
		"HTTP/1.1 103 Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n" + body:              false,
		"HTTP/1.1 200 OK\r\nId: a\r\nA b: c\r\n" + body:                                        false,
		"HTTP/1.1 200 OK\r\nId: a\r\nA : b\r\n" + body:                                         false,
		"HTTP/1.1 200 OK\r\nId: a\r\n Content-Length: 2\r\n" + body:                            false,
		"HTTP/1.1 200 OK\r\nId: b\r\n" + body + "HTTP/1.1 200 OK\r\nId: a\r\n B: c\r\n" + body: false,
	} {
		g := NewWithT(t)
		s := newTestServer(t, func(conn net.Conn, _ *http.Request, _ int32) bool {
			_, _ = io.WriteString(conn, text) // the client may close it
			return false
		})
		response, err := s.pool().RoundTrip(t.Context(), getRequest("a"))
		if !ok {
			g.Expect(err).To(HaveOccurred(), "%q", text)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), "%q", text)
		g.Expect(response.Body.Close()).To(Succeed())
	}
}
