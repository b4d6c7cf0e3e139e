package transport

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/connbudget"
	"github.com/bronzemast/bronzemast/internal/httpserver"
	"github.com/pkg/errors"
)

// newBudget returns the budget of the connections of a node that may use memoryMB of memory.
func newBudget(memoryMB float64) *connbudget.Budget {
	return connbudget.New(int64(memoryMB * clientMemoryShare * bytesPerMB))
}

// server serves the requests of a listener.
type server interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// serve opens a listener and serves its requests until Stop. limit is the maximum
// number of open connections; config is nil for a listener without TLS.
func (t *Transport) serve(address string, limit int, config *tls.Config, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	listener = t.budget.Listen(listener, limit)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	s := t.newServer(handler, config != nil)
	t.servers = append(t.servers, s)
	t.listeners = append(t.listeners, listener)
	go func() { _ = s.Serve(listener) }() // ends with ErrServerClosed at Stop
	return nil
}

// newServer returns a server that handles pipelined requests concurrently if the handler
// allows for it. With TLS, callers may use HTTP/2 instead, which only net/http serves.
func (t *Transport) newServer(handler http.Handler, encrypted bool) server {
	if concurrent, ok := handler.(httpserver.Handler); ok && !encrypted {
		return httpserver.New(concurrent, httpserver.Options{
			Limits: httpserver.Limits{
				HeaderTimeout:  t.settings.HeaderTimeout.Std(),
				IdleTimeout:    t.settings.IdleTimeout.Std(),
				MaxHeaderBytes: t.settings.MaxHeaderBytes,
			},
			MaxConcurrentPerConn: t.settings.MaxConcurrentPerConnection,
			MaxConcurrentAhead:   t.settings.MaxConcurrentAhead,
			LogError:             func(message string) { _, _ = connectionLog{t.log}.Write([]byte(message)) }, // never fails
		})
	}
	s := &http.Server{
		Handler:           limitBodyTime(handler, bodyTimeout),
		ReadHeaderTimeout: t.settings.HeaderTimeout.Std(),
		IdleTimeout:       t.settings.IdleTimeout.Std(),
		MaxHeaderBytes:    t.settings.MaxHeaderBytes,
		ErrorLog:          log.New(connectionLog{t.log}, "", 0),
	}
	connbudget.Track(s)
	return s
}

// limitBodyTime bounds the time to read the body of a request. net/http does not: a body that stops
// holds its connection while the rest of it is discarded. A handler may set another read deadline.
func limitBodyTime(handler http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // a lost connection fails anyway
		}
		handler.ServeHTTP(w, r)
	})
}

// connectionLog writes the error log of net/http as events.
type connectionLog struct {
	log *event.Log
}

// Write implements io.Writer.
func (c connectionLog) Write(message []byte) (int, error) {
	c.log.Emit(eventConnectionFailed, event.Fields{"error": strings.TrimSpace(string(message))})
	return len(message), nil
}
