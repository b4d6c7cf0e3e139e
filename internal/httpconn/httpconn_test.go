package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// testServer counts connections and requests and handles each request with a function of
// the test.
type testServer struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

// newTestServer starts a server that calls handle for each request. number counts the
// requests of all connections, from 1 on. If handle returns false, the server closes the
// connection.
func newTestServer(t *testing.T, handle func(conn net.Conn, request *http.Request, number int32) bool) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, handle)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	return s
}

func (s *testServer) serve(conn net.Conn, handle func(conn net.Conn, request *http.Request, number int32) bool) {
	defer func() { _ = conn.Close() }() // the client may have closed it
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !handle(conn, request, s.requests.Add(1)) {
			return
		}
	}
}

func (s *testServer) pool() *Pool {
	var dialer net.Dialer
	return NewPool(func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", s.listener.Addr().String())
	}, 4, time.Minute)
}

// respond writes a complete response with an id.
func respond(conn net.Conn, id, body string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// itoa formats a one-digit number.
func itoa(n int) string { return strings.TrimSpace(string(rune('0' + n))) }

func getRequest(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/" + id, Host: "peer", ID: id, Header: http.Header{"Id": {id}}, Matches: func(h http.Header) bool {
		return h.Get("Id") == id
	}}
}

// fetch sends a request and returns the body of its response.
func fetch(p *Pool, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := p.RoundTrip(ctx, getRequest(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // a read error is returned already
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool { return respond(conn, r.Header.Get("Id"), "abc") })
	pool := s.pool()
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(fetch(pool, id)).To(Equal("abc"))
	}
	g.Expect(s.connections.Load()).To(Equal(int32(1)))
}

func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		respond(conn, r.Header.Get("Id"), "abc")
		return false
	})
	pool := s.pool()
	for range 5 {
		g.Expect(fetch(pool, "a")).To(Equal("abc"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(s.requests.Load()).To(Equal(int32(5)), "no request was sent twice")
}

func TestIdleConnectionExpiresWhilePoolIsUnused(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		respond(conn, r.Header.Get("Id"), "abc")
		var buffer [1]byte
		_, _ = conn.Read(buffer[:]) // returns when the client closes the connection
		close(closed)
		return false
	})
	pool := s.pool()
	pool.SetIdleTimeout(30 * time.Millisecond)
	g.Expect(fetch(pool, "a")).To(Equal("abc"))
	g.Eventually(closed, 5*time.Second).Should(BeClosed())
}

func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, number int32) bool {
		if number == 1 {
			respond(conn, "other", "xyz")
		}
		return respond(conn, r.Header.Get("Id"), "abc")
	})
	pool := s.pool()
	g.Expect(fetch(pool, "a")).To(Equal("abc"))
	g.Expect(fetch(pool, "b")).To(Equal("abc"))
	g.Expect(s.connections.Load()).To(Equal(int32(2)), "the connection is not reused")
}

func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		id := r.Header.Get("Id")
		return respond(conn, id, "abc") && respond(conn, id, "xyz")
	})
	pool := s.pool()
	for range 4 {
		g.Expect(fetch(pool, "a")).To(Equal("abc"))
		time.Sleep(10 * time.Millisecond)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "Content-Length: 10\r\n\r\nabc",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"in its head":   "Conte",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTestServer(t, func(conn net.Conn, _ *http.Request, _ int32) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n"+head) // truncated on purpose
				return false
			})
			_, err := fetch(s.pool(), "a")
			g.Expect(err).To(HaveOccurred())
			g.Expect(s.requests.Load()).To(Equal(int32(1)))
		})
	}
}

func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(net.Conn, *http.Request, int32) bool { return false })
	_, err := fetch(s.pool(), "a")
	var failure *Error
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Sent).To(BeTrue())
	pool := s.pool()
	g.Expect(s.listener.Close()).To(Succeed())
	_, err = fetch(pool, "a")
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Sent).To(BeFalse(), "the listener is closed")
}

func TestCanceledContextClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := newTestServer(t, func(conn net.Conn, _ *http.Request, _ int32) bool {
		var buffer [1]byte
		_, _ = conn.Read(buffer[:]) // returns when the client closes the connection
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := s.pool().RoundTrip(ctx, getRequest("a"))
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(closed, 5*time.Second).Should(BeClosed())
}

func TestResponseBeforeRequestIsFullyWrittenPreventsReuse(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		respond(conn, r.Header.Get("Id"), "abc")
		time.Sleep(100 * time.Millisecond)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	})
	pool := s.pool()
	request := getRequest("a")
	request.Method = http.MethodPost
	request.Length = 8 << 20
	request.Body = io.LimitReader(zeros{}, request.Length)
	response, err := pool.RoundTrip(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("abc"))
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(fetch(pool, "b")).To(Equal("abc"))
	g.Expect(s.connections.Load()).To(Equal(int32(2)), "the rest of the first request was not written yet")
}

// probedRequest returns a request whose connection is probed after 20 ms without a
// response.
func probedRequest(id string) *Request {
	r := getRequest(id)
	r.Probe = &Probe{Target: "/alive", Host: "peer", After: 20 * time.Millisecond, Timeout: 100 * time.Millisecond}
	return r
}

// send sends a request, and reads and closes the body of its response.
func send(p *Pool, r *Request) error {
	response, err := p.RoundTrip(context.Background(), r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body) // Close does not pool a connection whose body was truncated
	return response.Body.Close()
}

func TestIdleConnectionIsProbedBeforeReuse(t *testing.T) {
	g := NewWithT(t)
	var targets []string
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		targets = append(targets, r.URL.Path)
		return respond(conn, r.Header.Get("Id"), "")
	})
	pool := s.pool()
	g.Expect(send(pool, probedRequest("a"))).To(Succeed())
	g.Expect(send(pool, probedRequest("b"))).To(Succeed())
	time.Sleep(30 * time.Millisecond)
	g.Expect(send(pool, probedRequest("c"))).To(Succeed())
	g.Expect(targets).To(Equal([]string{"/a", "/b", "/alive", "/c"}))
	g.Expect(s.connections.Load()).To(Equal(int32(1)))
}

// The second request, which is the probe, gets no response, as when a stateful firewall
// or NAT device has lost the state of the connection.
func TestRequestIsNotSentOnUnresponsiveConnection(t *testing.T) {
	g := NewWithT(t)
	var received []string
	s := newTestServer(t, func(conn net.Conn, r *http.Request, number int32) bool {
		if number == 2 {
			return true
		}
		received = append(received, r.URL.Path)
		return respond(conn, r.Header.Get("Id"), "")
	})
	pool := s.pool()
	g.Expect(send(pool, probedRequest("a"))).To(Succeed())
	time.Sleep(30 * time.Millisecond)
	g.Expect(send(pool, probedRequest("b"))).To(Succeed())
	g.Expect(received).To(Equal([]string{"/a", "/b"}))
	g.Expect(s.connections.Load()).To(Equal(int32(2)))
}

func TestRequestCountsAsNotSentAfterFailedProbe(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, number int32) bool {
		return number > 1 || respond(conn, r.Header.Get("Id"), "")
	})
	pool := s.pool()
	g.Expect(send(pool, probedRequest("a"))).To(Succeed())
	g.Expect(s.listener.Close()).To(Succeed())
	time.Sleep(30 * time.Millisecond)
	err := send(pool, probedRequest("b"))
	var failure *Error
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Sent).To(BeFalse())
}

// zeros is a reader that returns zero bytes without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against an extra response to an earlier request with the same ID.
func TestRequestIsNotSentOnAConnectionThatHasCarriedItsID(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(conn net.Conn, r *http.Request, _ int32) bool { return respond(conn, r.Header.Get("Id"), "abc") })
	pool := s.pool()
	for connections, id := range []string{"a", "a", "", ""} {
		g.Expect(fetch(pool, id)).To(Equal("abc"))
		g.Expect(s.connections.Load()).To(Equal(int32(connections + 1)))
	}
	for _, id := range []string{"b", "c", "d"} {
		g.Expect(fetch(pool, id)).To(Equal("abc"))
	}
	g.Expect(s.connections.Load()).To(Equal(int32(4)))
}

func TestAConnectionRemembersItsLatestRequests(t *testing.T) {
	g := NewWithT(t)
	var carried carriedIDs
	id := func(n int) string { return strings.Repeat("x", n) }
	for n := range 3 * maxCarriedIDs {
		g.Expect(carried.includes(id(n))).To(BeFalse())
		carried.add(id(n))
		g.Expect(carried.includes(id(n))).To(BeTrue())
		g.Expect(carried.includes(id(max(n-maxCarriedIDs+1, 0)))).To(BeTrue())
	}
	g.Expect(carried.hashes).To(HaveLen(maxCarriedIDs))
}
