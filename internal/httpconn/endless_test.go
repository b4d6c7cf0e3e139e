package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const (
	// endlessTimeout is the deadline of requests to a server whose bytes never end.
	endlessTimeout = 3 * time.Second
	// maxGivenUpBytes bounds what is received of an answer whose head never ends, including
	// what the kernel has buffered when the connection is closed.
	maxGivenUpBytes = 16 << 20
)

// endlessServer answers each request with a beginning and then repeats a piece until the
// connection is closed. It counts the bytes that it has written.
func endlessServer(t *testing.T, beginning, piece string, written *atomic.Int64) *testServer {
	chunk := []byte(strings.Repeat(piece, max(1, (32<<10)/len(piece))))
	return newTestServer(t, func(conn net.Conn, _ *http.Request, _ int32) bool {
		_, err := io.WriteString(conn, beginning)
		for err == nil {
			var n int
			n, err = conn.Write(chunk)
			written.Add(int64(n))
		}
		return false
	})
}

// allocated returns the bytes that f allocates, in all goroutines.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestAnswerWhoseHeadNeverEndsIsGivenUpEarly(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, c := range map[string]struct{ beginning, piece string }{
		"status line":       {"", "x"},
		"one header":        {head + "X-Long: ", "x"},
		"many headers":      {head, "X-More: 1\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"other responses":   {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nabc"},
		"body of another":   {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var written atomic.Int64
			s := endlessServer(t, c.beginning, c.piece, &written)
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			start := time.Now()
			var err error
			bytes := allocated(func() { _, err = s.pool().RoundTrip(ctx, getRequest("a")) })
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(failure.Sent).To(BeTrue())
			g.Expect(time.Since(start)).To(BeNumerically("<", endlessTimeout/2))
			g.Expect(written.Load()).To(BeNumerically("<", int64(maxGivenUpBytes)))
			g.Expect(bytes).To(BeNumerically("<", uint64(8<<20)))
		})
	}
}

// The bytes of a body are passed on as they arrive, up to the deadline of the request.
func TestBodyThatNeverEndsTakesLittleMemoryAndEndsWithAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, c := range map[string]struct{ beginning, piece string }{
		"without length":   {head + "\r\n", "x"},
		"in chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
		"chunk size":       {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extensions": {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"many extensions":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1;ext=" + strings.Repeat("x", 500) + "\r\na\r\n"},
		"trailers":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var written atomic.Int64
			s := endlessServer(t, c.beginning, c.piece, &written)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			var err error
			bytes := allocated(func() {
				var response *http.Response
				if response, err = s.pool().RoundTrip(ctx, getRequest("a")); err != nil {
					return
				}
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close() // the connection is closed
			})
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
			g.Expect(bytes).To(BeNumerically("<", uint64(32<<20)))
		})
	}
}

func TestProbeOfAServerWhoseBytesNeverEndFails(t *testing.T) {
	g := NewWithT(t)
	var written atomic.Int64
	piece := []byte(strings.Repeat("x", 32<<10))
	s := newTestServer(t, func(conn net.Conn, r *http.Request, number int32) bool {
		if number != 2 {
			return respond(conn, r.Header.Get("Id"), "")
		}
		for {
			n, err := conn.Write(piece)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
	})
	pool := s.pool()
	g.Expect(send(pool, probedRequest("a"))).To(Succeed())
	time.Sleep(30 * time.Millisecond)
	g.Expect(send(pool, probedRequest("b"))).To(Succeed(), "on a new connection")
	g.Expect(written.Load()).To(BeNumerically("<", int64(maxGivenUpBytes)))
}

// BenchmarkEndlessHeads measures 200 answers at once whose heads never end.
func BenchmarkEndlessHeads(b *testing.B) {
	const answers = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing depends on the result
	piece := []byte(strings.Repeat("X-More: 1\r\n", 1000))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				for err == nil {
					_, err = conn.Write(piece)
				}
				_ = conn.Close() // the client has closed it
			}()
		}
	}()
	var dialer net.Dialer
	pool := NewPool(func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", listener.Addr().String())
	}, 4, time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		var all sync.WaitGroup
		for range answers {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
				defer cancel()
				if _, err := pool.RoundTrip(ctx, getRequest("a")); err == nil {
					b.Error("an answer without end was accepted")
				}
			})
		}
		all.Wait()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapSys)/(1<<20), "heap-MiB")
}
