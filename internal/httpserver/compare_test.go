package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m)
}

// mixedHandler responds in a way that the path names.
func mixedHandler(w http.ResponseWriter, r *http.Request) {
	body := []byte("none")
	if strings.Contains(r.URL.Path, "read") {
		body, _ = io.ReadAll(r.Body) // a caller that has left gets no response
	}
	w.Header().Set("Content-Type", "text/plain")
	switch {
	case strings.Contains(r.URL.Path, "empty"):
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.Contains(r.URL.Path, "nothing"):
		w.WriteHeader(http.StatusNoContent)
	case strings.Contains(r.URL.Path, "length"):
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	default:
		_, _ = w.Write(body)
		_, _ = w.Write(make([]byte, 3000))
	}
}

// exchanged is what a caller sees of a response.
type exchanged struct {
	status int
	body   string
	close  bool
}

// converse sends text on a new connection and returns the responses to requests with the given
// methods.
func converse(t *rapid.T, address, text string, methods []string) []exchanged {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // nothing depends on the result
	_ = conn.SetDeadline(time.Now().Add(eventually))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	var all []exchanged
	for _, method := range methods {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%v after %d responses to %q", err, len(all), text)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, exchanged{status: response.StatusCode, body: string(body), close: response.Close})
	}
	return all
}

// Property: whatever is sent in a row, a caller sees the same as from the server of net/http.
func TestResponsesEqualThoseOfNetHTTP(t *testing.T) {
	g := NewWithT(t)
	_, address := start(t, testOptions(), testHandler(mixedHandler))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	reference := &http.Server{Handler: http.HandlerFunc(mixedHandler)}
	go func() { _ = reference.Serve(listener) }() // ends with the server
	t.Cleanup(func() { _ = reference.Close() })   // closes the listener
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var methods []string
		n := rapid.IntRange(1, 12).Draw(t, "requests")
		for i := range n {
			method := rapid.SampledFrom([]string{"GET", "POST", "HEAD"}).Draw(t, "method")
			path := rapid.SampledFrom([]string{"/read", "/read/length", "/empty", "/nothing", "/length", "/"}).Draw(t, "path")
			body := rapid.StringMatching("[a-z]{0,30}").Draw(t, "body")
			methods = append(methods, method)
			text.WriteString(method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n")
			if i == n-1 && rapid.Bool().Draw(t, "close") {
				text.WriteString("Connection: close\r\n")
			}
			switch {
			case method != "POST":
				text.WriteString("\r\n")
			case body != "" && rapid.Bool().Draw(t, "chunked"):
				text.WriteString("Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n")
			default:
				text.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
			}
		}
		got, want := converse(t, address, text.String(), methods), converse(t, listener.Addr().String(), text.String(), methods)
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("response %d is %+v, that of net/http %+v", i, got[i], want[i])
			}
		}
	})
}

func TestBodyIsSentAfterTheInterimResponse(t *testing.T) {
	g := NewWithT(t)
	_, address := start(t, testOptions(), testHandler(mixedHandler))
	c := dial(t, address)
	c.send(t, "POST /read/length HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(eventually)) // the connection is open
	line, err := c.reader.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
	_, err = c.reader.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	c.send(t, "abc")
	_, body, err := c.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("abc"))
}
