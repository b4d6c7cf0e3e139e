package httpserver

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/connbudget"
)

// limitedHandler has limits of its own.
type limitedHandler struct {
	testHandler
	limits Limits
}

// Limits implements Handler.
func (h limitedHandler) Limits() Limits { return h.limits }

// startBudgeted serves a handler on a listener whose connections may take maxBytes of memory.
func startBudgeted(t *testing.T, maxBytes int64, handler Handler) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(handler, testOptions())
	listener := connbudget.New(maxBytes).Listen(inner, 100)
	go func() { _ = s.Serve(listener) }() // ends with the listener
	t.Cleanup(func() {
		_ = s.Close()
		_ = listener.Close() // nothing depends on the result
	})
	return inner.Addr().String()
}

func TestLimitsOfTheHandlerTakeThePlaceOfTheOptions(t *testing.T) {
	long := "GET / HTTP/1.1\r\nHost: a.example\r\nA: " + strings.Repeat("a", 2000) + "\r\n\r\n"
	for name, c := range map[string]struct {
		limits Limits
		text   string
		status int
	}{
		"none":              {Limits{}, long, 200},
		"of the head":       {Limits{MaxHeaderBytes: 1000}, long, 431},
		"a higher one":      {Limits{MaxHeaderBytes: 3000}, long, 200},
		"time for the head": {Limits{HeaderTimeout: time.Millisecond}, "GET / HTTP/1.1\r\n", 0},
		"idle time":         {Limits{IdleTimeout: time.Millisecond}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, address := start(t, testOptions(), limitedHandler{testHandler: echoPath, limits: c.limits})
			caller := dial(t, address)
			caller.send(t, c.text)
			response, _, err := caller.receive()
			if c.status == 0 {
				g.Expect(err).To(HaveOccurred(), "the connection is closed")
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(c.status))
		})
	}
}

func TestAHeadForWhichThereIsNoMemoryIsRefused(t *testing.T) {
	g := NewWithT(t)
	address := startBudgeted(t, 20<<10, testHandler(echoPath))
	caller := dial(t, address)
	caller.send(t, "GET / HTTP/1.1\r\nHost: a.example\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n")
	response, _, err := caller.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(response.Close).To(BeTrue())
}

// Each head is below what may be read ahead.
func TestRequestsAreNotReadFarAheadIfTheirHeadsAreLarge(t *testing.T) {
	g := NewWithT(t)
	const requests, fields = 20, 1200
	budget := connbudget.New(1 << 30)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	answer := make(chan struct{})
	s := New(testHandler(func(http.ResponseWriter, *http.Request) { <-answer }), testOptions())
	go func() { _ = s.Serve(budget.Listen(inner, 100)) }() // ends with the server
	t.Cleanup(func() { _ = s.Close() })                    // nothing depends on the result
	caller := dial(t, inner.Addr().String())
	request := "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
	go func() { _, _ = io.WriteString(caller, strings.Repeat(request, requests)) }() // blocks while none is read
	charged := func() int64 { return budget.Stats().Bytes }
	g.Eventually(charged, eventually).Should(BeNumerically(">", 2*maxAheadBytes))
	g.Consistently(charged, 200*time.Millisecond).Should(BeNumerically("<", 4*maxAheadBytes))
	close(answer)
	for range requests {
		_, _, err := caller.receive()
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func TestABodyHasADeadlineIfTheHandlerSetsOne(t *testing.T) {
	g := NewWithT(t)
	failed := make(chan error, 1)
	_, address := start(t, testOptions(), testHandler(func(w http.ResponseWriter, r *http.Request) {
		g.Expect(http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Millisecond))).To(Succeed())
		_, err := io.ReadAll(r.Body)
		failed <- err
		w.WriteHeader(http.StatusRequestTimeout)
	}))
	caller := dial(t, address)
	caller.send(t, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nbody")
	response, _, err := caller.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
	g.Expect(response.Close).To(BeTrue(), "the rest of the body would be taken for a request")
	g.Expect(<-failed).To(MatchError(os.ErrDeadlineExceeded))
}
