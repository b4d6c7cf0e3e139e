package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// eventually bounds the wait for what happens on another goroutine.
const eventually = 10 * time.Second

// testHandler handles requests with a function; those of method GET are concurrent.
type testHandler func(w http.ResponseWriter, r *http.Request)

// ServeHTTP implements http.Handler.
func (h testHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(w, r) }

// Concurrent implements Handler.
func (h testHandler) Concurrent(r *http.Request) bool { return r.Method == http.MethodGet }

// Limits implements Handler.
func (h testHandler) Limits() Limits { return Limits{} }

func testOptions() Options {
	return Options{
		Limits:               Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10},
		MaxConcurrentPerConn: 8,
		MaxConcurrentAhead:   64,
		LogError:             func(string) {},
	}
}

// start serves a handler on a loopback address and returns the server and its address.
func start(t *testing.T, options Options, handler Handler) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(handler, options)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(listener) // ends with the listener
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = s.Close() // always nil
		<-done
	})
	return s, listener.Addr().String()
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // a test may have closed it
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// send writes text as it is.
func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// get returns requests of method GET for the given paths, one after the other.
func get(paths ...string) string {
	var text strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
	}
	return text.String()
}

// receive reads a response to a GET request and its body.
func (c *caller) receive() (*http.Response, string, error) {
	_ = c.SetReadDeadline(time.Now().Add(eventually)) // fails only if the connection is closed
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// echoPath responds with the path of the request.
func echoPath(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, r.URL.Path) // the caller may have left
}

func TestRequestsInARowAreHandledConcurrently(t *testing.T) {
	g := NewWithT(t)
	const work = 100 * time.Millisecond
	_, address := start(t, testOptions(), testHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		echoPath(w, r)
	}))
	c := dial(t, address)
	paths := []string{"/1", "/2", "/3", "/4", "/5"}
	began := time.Now()
	c.send(t, get(paths...))
	for _, path := range paths {
		_, body, err := c.receive()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(path))
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 250*time.Millisecond))
}

// gate is a handler that holds each request until it is let through.
type gate struct {
	mu      sync.Mutex
	running map[string]chan struct{}
	begun   []string
}

func newGate() *gate { return &gate{running: map[string]chan struct{}{}} }

// handle waits until the request is let through or its caller has left.
func (h *gate) handle(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	pass := make(chan struct{})
	h.running[r.URL.Path] = pass
	h.begun = append(h.begun, r.URL.Path)
	h.mu.Unlock()
	select {
	case <-pass:
	case <-r.Context().Done():
	}
	if strings.HasPrefix(r.URL.Path, "/close") {
		w.Header().Set("Connection", "close")
	}
	echoPath(w, r)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running, r.URL.Path)
}

// let lets a request through.
func (h *gate) let(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.running[path])
}

// started returns the paths of the requests that were begun, in order.
func (h *gate) started() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.begun...)
}

func TestResponsesAreInTheOrderOfTheRequests(t *testing.T) {
	g := NewWithT(t)
	h := newGate()
	_, address := start(t, testOptions(), testHandler(h.handle))
	c := dial(t, address)
	c.send(t, get("/1", "/2", "/3"))
	g.Eventually(h.started, eventually).Should(ConsistOf("/1", "/2", "/3"))
	for _, path := range []string{"/3", "/2", "/1"} {
		h.let(path)
	}
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body, err := c.receive()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(path))
	}
}

func TestConcurrencyIsBoundedPerConnectionAndOverall(t *testing.T) {
	g := NewWithT(t)
	h := newGate()
	options := testOptions()
	options.MaxConcurrentPerConn, options.MaxConcurrentAhead = 3, 3
	_, address := start(t, options, testHandler(h.handle))
	first, second := dial(t, address), dial(t, address)
	first.send(t, get("/a1", "/a2", "/a3", "/a4"))
	g.Eventually(h.started, eventually).Should(ConsistOf("/a1", "/a2", "/a3"))
	second.send(t, get("/b1", "/b2", "/b3"))
	g.Eventually(h.started, eventually).Should(ContainElements("/b1", "/b2"))
	g.Consistently(h.started, 100*time.Millisecond).Should(ConsistOf("/a1", "/a2", "/a3", "/b1", "/b2"))
	h.let("/a1")
	g.Eventually(h.started, eventually).Should(ContainElement("/a4"))
}

func TestOtherRequestsWaitForTheResponsesBeforeThem(t *testing.T) {
	for name, request := range map[string]string{
		"not idempotent": "POST /2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n",
		"with a body":    "GET /2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab",
		"an upgrade":     "GET /2 HTTP/1.1\r\nHost: a.example\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newGate()
			_, address := start(t, testOptions(), testHandler(h.handle))
			c := dial(t, address)
			c.send(t, get("/1")+request+get("/3"))
			g.Eventually(h.started, eventually).Should(Equal([]string{"/1"}))
			g.Consistently(h.started, 50*time.Millisecond).Should(HaveLen(1))
			for _, path := range []string{"/1", "/2", "/3"} {
				g.Eventually(h.started, eventually).Should(ContainElement(path))
				h.let(path)
				_, body, err := c.receive()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(path))
			}
			g.Expect(h.started()).To(Equal([]string{"/1", "/2", "/3"}))
		})
	}
}

// Requests behind a response that closes the connection are not begun, and the caller gets
// that response and a regular end, though there are unread bytes.
func TestNothingIsBegunBehindAResponseThatCloses(t *testing.T) {
	for name, first := range map[string]string{
		"asked for by the handler": "POST /close HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n",
		"asked for by the caller":  "GET /close-asked HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n",
		"of version 1.0":           "GET /close-old HTTP/1.0\r\nHost: a.example\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newGate()
			_, address := start(t, testOptions(), testHandler(h.handle))
			c := dial(t, address)
			c.send(t, first+get("/2", "/3")+strings.Repeat("x", 2*readBufferBytes))
			g.Eventually(h.started, eventually).Should(HaveLen(1))
			h.let(h.started()[0])
			response, _, err := c.receive()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Close).To(BeTrue())
			_, _, err = c.receive()
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "the connection has ended, and was not reset")
			g.Expect(h.started()).To(HaveLen(1))
		})
	}
}

// The first of two requests asks to close the connection while both are being handled: the
// second one gets its response, with the close.
func TestConnectionIsClosedAfterTheLastRequestThatWasBegun(t *testing.T) {
	g := NewWithT(t)
	h := newGate()
	options := testOptions()
	options.MaxConcurrentPerConn = 2
	_, address := start(t, options, testHandler(h.handle))
	c := dial(t, address)
	c.send(t, get("/close", "/2", "/3"))
	g.Eventually(h.started, eventually).Should(ConsistOf("/close", "/2"))
	h.let("/close")
	response, _, err := c.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Close).To(BeFalse())
	h.let("/2")
	response, body, err := c.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("/2"))
	g.Expect(response.Close).To(BeTrue())
	_, _, err = c.receive()
	g.Expect(err).To(HaveOccurred())
	g.Expect(h.started()).To(HaveLen(2), "the third one was not begun")
}

func TestCallerThatLeavesCancelsAllOfItsRequests(t *testing.T) {
	g := NewWithT(t)
	var running, canceled atomic.Int32
	_, address := start(t, testOptions(), testHandler(func(_ http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-r.Context().Done()
		canceled.Add(1)
	}))
	c := dial(t, address)
	c.send(t, get("/1", "/2", "/3")+"POST /4 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
	g.Eventually(running.Load, eventually).Should(Equal(int32(3)))
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(canceled.Load, eventually).Should(Equal(int32(3)))
	g.Consistently(running.Load, 50*time.Millisecond).Should(Equal(int32(3)))
}
