package httpserver

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
)

// Handler is an http.Handler that declares which requests may be handled concurrently with
// others of the same connection.
type Handler interface {
	http.Handler
	// Concurrent reports whether a request without a body may be handled while earlier
	// requests of its connection are. It must not keep the request.
	Concurrent(r *http.Request) bool
	// Limits returns the limits of callers that are in force now. Those that are 0 are taken
	// from the server's options.
	Limits() Limits
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeaderTimeout bounds the time to read the head of a request, and IdleTimeout the
	// time without requests after which a connection is closed.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
}

// Options configure a server. All numbers must be positive.
type Options struct {
	// Limits apply where the handler has none.
	Limits
	// MaxConcurrentPerConn bounds the requests of one connection that are handled at the
	// same time. With 1, pipelined requests are handled one after the other.
	MaxConcurrentPerConn int
	// MaxConcurrentAhead bounds the requests of all connections that are handled while an
	// earlier one of their connection is.
	MaxConcurrentAhead int
	// LogError is called with a message when a handler panics.
	LogError func(message string)
}

// or returns the limits with those that are 0 taken from defaults.
func (l Limits) or(defaults Limits) Limits {
	return Limits{
		HeaderTimeout:  cmp.Or(l.HeaderTimeout, defaults.HeaderTimeout),
		IdleTimeout:    cmp.Or(l.IdleTimeout, defaults.IdleTimeout),
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, defaults.MaxHeaderBytes),
	}
}

// Server serves the connections of its listeners until it is shut down. Its methods are safe
// for concurrent use.
type Server struct {
	handler Handler
	options Options

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	// ahead is the number of requests that are handled while an earlier one of their
	// connection is.
	ahead int
}

// New returns a server without listeners.
func New(handler Handler, options Options) *Server {
	return &Server{handler: handler, options: options, conns: map[*conn]struct{}{}}
}

const (
	// acceptRetryDelay is the pause after an Accept that failed for want of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// shutdownPoll is the interval at which Shutdown checks whether all connections have
	// ended.
	shutdownPoll = 5 * time.Millisecond
)

// Serve accepts connections until the server is shut down or the listener fails. It returns
// http.ErrServerClosed or the error of the listener.
func (s *Server) Serve(listener net.Listener) error {
	for {
		rwc, err := listener.Accept()
		switch {
		case err == nil:
		case s.isClosed():
			return http.ErrServerClosed
		case isTransient(err):
			clock.Sleep(context.Background(), acceptRetryDelay)
			continue
		default:
			return err
		}
		c := newConn(s, rwc)
		if !s.add(c) {
			_ = rwc.Close() // the server has been shut down
			return http.ErrServerClosed
		}
		go c.serve()
	}
}

// limits returns the limits of callers that are in force now.
func (s *Server) limits() Limits {
	return s.handler.Limits().or(s.options.Limits)
}

// isTransient reports whether Accept may succeed later.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// Shutdown lets each connection finish the requests that were begun, closes it, and waits
// until all are closed or ctx ends. The caller closes the listeners.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.close() {
		c.shutDown()
	}
	for s.open() > 0 {
		if !clock.Sleep(ctx, shutdownPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() error {
	for _, c := range s.close() {
		c.abort()
	}
	return nil
}

// close marks the server as closed and returns its open connections.
func (s *Server) close() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// open returns the number of open connections.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// add registers a connection. It returns false if the server has been shut down.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// acquireAhead reports whether one more request may be handled while an earlier one of its
// connection is, and counts it. Each true result requires one call of releaseAhead.
func (s *Server) acquireAhead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ahead >= s.options.MaxConcurrentAhead {
		return false
	}
	s.ahead++
	return true
}

func (s *Server) releaseAhead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead--
}
