package httpserver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAbortedResponseIsIncomplete(t *testing.T) {
	for name, length := range map[string]string{"with a length": "100", "in chunks": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, address := start(t, testOptions(), testHandler(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "part")
				panic(http.ErrAbortHandler)
			}))
			c := dial(t, address)
			c.send(t, get("/1", "/2"))
			_, _, err := c.receive()
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// A response without a length to a caller of HTTP/1.0 ends with the connection, so an aborted
// one must reset it.
func TestAbortedResponseWithoutLengthResetsTheConnection(t *testing.T) {
	g := NewWithT(t)
	_, address := start(t, testOptions(), testHandler(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2*writeBufferBytes)) // more than is buffered
		panic(http.ErrAbortHandler)
	}))
	c := dial(t, address)
	c.send(t, "GET / HTTP/1.0\r\nHost: a.example\r\n\r\n")
	_, err := io.ReadAll(c)
	g.Expect(err).To(HaveOccurred())
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"no request":          {"what is this\r\n\r\n", 400},
		"invalid URL":         {"GET /%zz HTTP/1.1\r\nHost: a.example\r\n\r\n", 400},
		"no host":             {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":           {"GET / HTTP/1.1\r\nHost: a.example\r\nhost: b.example\r\n\r\n", 400},
		"invalid host":        {"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
		"invalid header":      {"GET / HTTP/1.1\r\nHost: a.example\r\nA b: c\r\n\r\n", 400},
		"control character":   {"GET / HTTP/1.1\r\nHost: a.example\r\nA: b\x01c\r\n\r\n", 400},
		"two lengths":         {"POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"head too long":       {"GET / HTTP/1.1\r\nHost: a.example\r\nA: " + strings.Repeat("x", 16<<10), 431},
		"unknown expectation": {"POST / HTTP/1.1\r\nHost: a.example\r\nExpect: more\r\nContent-Length: 1\r\n\r\na", 417},
		"version":             {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			handled := atomic.Bool{}
			_, address := start(t, testOptions(), testHandler(func(http.ResponseWriter, *http.Request) { handled.Store(true) }))
			conn := dial(t, address)
			conn.send(t, c.request+get("/next"))
			response, _, err := conn.receive()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(c.status))
			g.Expect(response.Close).To(BeTrue())
			g.Expect(handled.Load()).To(BeFalse())
		})
	}
}

func TestIdleAndSlowConnectionsAreClosed(t *testing.T) {
	for name, text := range map[string]string{"new": "", "after a response": get("/"), "within a head": "GET / HTTP/1.1\r\nHost:"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			options := testOptions()
			options.HeaderTimeout, options.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond
			_, address := start(t, options, testHandler(echoPath))
			c := dial(t, address)
			c.send(t, text)
			_ = c.SetReadDeadline(time.Now().Add(eventually)) // the connection is open
			_, err := io.ReadAll(c)
			g.Expect(err).NotTo(HaveOccurred(), "the server closes the connection")
		})
	}
}

func TestRequestsThatAreHandledDoNotCountAsIdle(t *testing.T) {
	g := NewWithT(t)
	options := testOptions()
	options.IdleTimeout = 30 * time.Millisecond
	_, address := start(t, options, testHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(150 * time.Millisecond)
		echoPath(w, r)
	}))
	c := dial(t, address)
	c.send(t, get("/1"))
	_, body, err := c.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("/1"))
}

func TestShutdownFinishesWhatWasBegun(t *testing.T) {
	g := NewWithT(t)
	h := newGate()
	s, address := start(t, testOptions(), testHandler(h.handle))
	idle, busy := dial(t, address), dial(t, address)
	busy.send(t, get("/1"))
	g.Eventually(h.started, eventually).Should(HaveLen(1))
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	_, err := io.ReadAll(idle)
	g.Expect(err).NotTo(HaveOccurred(), "the idle connection is closed")
	g.Consistently(ended, 30*time.Millisecond).ShouldNot(Receive())
	h.let("/1")
	response, body, err := busy.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("/1"))
	g.Expect(response.Close).To(BeTrue())
	g.Expect(busy.Close()).To(Succeed())
	g.Eventually(ended, eventually).Should(Receive(BeNil()))
}

func TestWriteDeadlineEndsAResponseThatIsNotRead(t *testing.T) {
	g := NewWithT(t)
	failed := make(chan error, 1)
	_, address := start(t, testOptions(), testHandler(func(w http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // checked by its effect
		_, err := w.Write(make([]byte, 64<<20))
		failed <- err
	}))
	c := dial(t, address)
	c.send(t, get("/1"))
	g.Eventually(failed, eventually).Should(Receive(HaveOccurred()))
}
