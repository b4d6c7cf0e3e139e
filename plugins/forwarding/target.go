package forwarding

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/responsehead"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	targetDialTimeout    = time.Second
	targetIdleTimeout    = 60 * time.Second
	targetBufferBytes    = 16 << 10
	maxTargetHeaderBytes = 64 << 10
	// maxIdleTargetConns is the maximum number of idle connections to the target.
	maxIdleTargetConns = 32
)

// target is the HTTP client for the target beside this node.
type target struct {
	address string
	dial    dialFunc

	mu          sync.Mutex
	connections int
	transport   atomic.Pointer[http.Transport]
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

func newTarget(address string, dial dialFunc) *target {
	return &target{address: address, dial: dial}
}

// transportFor returns the transport with the service's connection limit. It
// creates a new one when the limit has changed.
func (t *target) transportFor(s *config.Service) *http.Transport {
	if current := t.transport.Load(); current != nil && t.limitMatches(s.Connections) {
		return current
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.transport.Load(); current != nil {
		if t.connections == s.Connections {
			return current
		}
		current.CloseIdleConnections()
	}
	t.connections = s.Connections
	next := newTargetTransport(t.dial, s.Connections)
	t.transport.Store(next)
	return next
}

func (t *target) limitMatches(connections int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections == connections
}

func newTargetTransport(dial dialFunc, connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, targetDialTimeout)
			defer cancel()
			return dial(ctx, address)
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           maxIdleTargetConns,
		MaxIdleConnsPerHost:    maxIdleTargetConns,
		IdleConnTimeout:        targetIdleTimeout,
		MaxResponseHeaderBytes: maxTargetHeaderBytes,
		WriteBufferSize:        targetBufferBytes,
		ReadBufferSize:         targetBufferBytes,
	}
}

// close closes the idle connections.
func (t *target) close() {
	if current := t.transport.Load(); current != nil {
		current.CloseIdleConnections()
	}
}

// errCrossedAnswer is returned for an answer that names another request.
var errCrossedAnswer = errors.New("the target answered another request")

// call sends an attempt to the target. dispatched reports whether any part of the
// request may have reached the target.
func (t *target) call(ctx context.Context, in *inbound) (response *http.Response, dispatched bool, err error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err = responsehead.NewTransport(t.transportFor(in.service)).RoundTrip(t.request(in).WithContext(traced))
	if err == nil && !answers(response, in) {
		_ = response.Body.Close() // the unread body closes the connection
		return nil, true, errCrossedAnswer
	}
	return response, connected.Load(), err
}

// answers reports whether a response belongs to an attempt, as far as the target says: a
// target may return the ID of the request that it answers.
func answers(response *http.Response, in *inbound) bool {
	id := response.Header.Get(model.HeaderRequestID)
	return id == "" || id == in.request.Header.Get(model.HeaderRequestID)
}

// request builds the request to the target.
func (t *target) request(in *inbound) *http.Request {
	urlPath, rawPath := targetPath(in.request)
	header := make(http.Header, len(in.request.Header)+4)
	copyEndToEndHeaders(header, in.request.Header)
	hideIdempotencyKeys(header)
	header[model.HeaderRequestID] = in.request.Header[model.HeaderRequestID]
	header[model.HeaderDeadline] = []string{strconv.FormatInt(time.Until(in.deadline).Milliseconds(), 10)}
	header[model.HeaderDepth] = []string{strconv.Itoa(in.hop.Depth)}
	header[headerCaller] = []string{in.hop.Caller}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return &http.Request{
		Method:        in.hop.Method,
		URL:           &url.URL{Scheme: "http", Host: t.address, Path: urlPath, RawPath: rawPath, RawQuery: in.request.URL.RawQuery},
		Host:          in.hop.Service,
		Header:        header,
		Body:          targetBody(in),
		ContentLength: in.request.ContentLength,
	}
}

// targetBody returns the body for the target. Unless the route is idempotent, a
// request without a body gets an empty one of a type unknown to http.Transport, so
// that the transport never resends the request.
func targetBody(in *inbound) io.ReadCloser {
	if in.request.ContentLength != 0 {
		return in.request.Body
	}
	if in.route.Idempotent {
		return http.NoBody
	}
	return io.NopCloser(strings.NewReader(""))
}

// targetPath returns the path of the caller's request.
func targetPath(r *http.Request) (urlPath, rawPath string) {
	urlPath = strings.TrimPrefix(r.URL.Path, pathCall)
	if r.URL.RawPath != "" {
		rawPath = strings.TrimPrefix(r.URL.RawPath, pathCall)
	}
	return urlPath, rawPath
}
