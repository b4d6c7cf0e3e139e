// Package auxserver serves the addresses of a process that few clients use, such as those of health
// checks and metrics. Their connections and the memory that these take are bounded, and so is the
// time of each request.
package auxserver

import (
	"net"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/internal/connbudget"
	"github.com/pkg/errors"
)

const (
	// maxConns bounds the open connections of an address, and memoryBytes the memory that they
	// take.
	maxConns    = 64
	memoryBytes = 4 << 20
	// maxHeaderBytes bounds the head of a request. net/http adds 4 KiB.
	maxHeaderBytes = 4 << 10
	// readTimeout bounds the time to read a request, and writeTimeout that to write the response.
	readTimeout  = 2 * time.Second
	writeTimeout = 10 * time.Second
	// idleTimeout is the time without requests after which a connection is closed.
	idleTimeout = time.Minute
)

// New returns a server for a handler that responds at once. It must serve a listener of Listen.
func New(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler:        refuseBodies(handler),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	connbudget.Track(s)
	return s
}

// refuseBodies rejects GET requests with a body at once, so that none holds its connection until the
// body has been sent.
func refuseBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // a lost connection fails anyway
		w.Header().Set("Connection", "close")
		http.Error(w, "the request must not have a body", http.StatusRequestEntityTooLarge)
	})
}

// Listen listens at a TCP address.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return connbudget.New(memoryBytes).Listen(listener, maxConns), nil
}
