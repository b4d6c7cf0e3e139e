package responsehead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// heads holds heads of responses that net/http parses, and whether they are well-formed.
var heads = map[string]bool{
	"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n":               true,
	"HTTP/1.0 599 Any\r\nContent-Length: 0\r\n\r\n":                      true,
	"HTTP/1.1 204\r\nA:\r\n\r\n":                                         true,
	"HTTP/1.1 200 OK\r\nA: b\tc\xc3\xa4\r\nContent-Length: 0\r\n\r\n":    true,
	"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n":                       false,
	"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n":                       false,
	"HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n":                       false,
	"HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n":                       false,
	"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n":                       false,
	"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n":             false,
	"HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 0\r\n\r\n":              false,
	"HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 0\r\n\r\n": false,
}

func TestCheckAcceptsOnlyWellFormedHeads(t *testing.T) {
	for head, ok := range heads {
		t.Run(head, func(t *testing.T) {
			g := NewWithT(t)
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
			g.Expect(err).NotTo(HaveOccurred())
			if ok {
				g.Expect(Check(response)).To(Succeed())
			} else {
				g.Expect(Check(response)).To(MatchError(ErrMalformed))
			}
		})
	}
}

func TestTransportFailsForMalformedHeads(t *testing.T) {
	for head, ok := range heads {
		t.Run(head, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }() // nothing depends on the result
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }() // the client may have closed it
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head) // see above
				}
			}()
			client := http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true})}
			defer client.CloseIdleConnections()
			response, err := client.Get("http://" + listener.Addr().String())
			if !ok {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Body.Close()).To(Succeed())
		})
	}
}
