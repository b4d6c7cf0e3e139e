package source

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/internal/responsehead"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// headerRevision is the response header that carries the revision of a value.
	headerRevision = "Revision"
	// idleConnectionsPerReplica is the number of idle connections kept open to a
	// replica: enough for two watches and one read.
	idleConnectionsPerReplica = 3
)

// replicaSet is a platform with several replicas. Each call goes to the current
// replica.
type replicaSet interface {
	model.Platform
	// rotate makes the next replica the current one.
	rotate()
	// fork returns a replicaSet that shares the connections and rotates
	// independently.
	fork() replicaSet
	// replicaCount returns the number of replicas.
	replicaCount() int
}

// client reads the platform over HTTP.
type client struct {
	urls   []string
	http   *http.Client
	cursor atomic.Uint32
}

// dialFunc connects to a replica.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// newClient returns a client whose first calls go to the replica at index first,
// modulo the number of URLs.
func newClient(urls []string, first uint32, dial dialFunc) *client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return dial(ctx, address)
	}
	transport.MaxIdleConnsPerHost = idleConnectionsPerReplica
	c := &client{urls: urls, http: &http.Client{Transport: responsehead.NewTransport(transport)}}
	c.cursor.Store(first)
	return c
}

// close closes idle connections.
func (c *client) close() {
	c.http.CloseIdleConnections()
}

func (c *client) rotate() {
	c.cursor.Add(1)
}

func (c *client) fork() replicaSet {
	forked := &client{urls: c.urls, http: c.http}
	forked.cursor.Store(c.cursor.Load())
	return forked
}

func (c *client) replicaCount() int {
	return len(c.urls)
}

func (c *client) url(key, query string) string {
	base := c.urls[int(c.cursor.Load())%len(c.urls)]
	return strings.TrimSuffix(base, "/") + "/v1/values/" + key + query
}

// Read implements model.Platform.
func (c *client) Read(ctx context.Context, key string) (model.Value, error) {
	value, _, err := c.get(ctx, c.url(key, ""))
	return value, errors.WithMessagef(err, "read %s", key)
}

// Watch implements model.Platform.
func (c *client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (model.Value, bool, error) {
	query := fmt.Sprintf("?after=%d&wait_ms=%d", after, wait.Milliseconds())
	value, unchanged, err := c.get(ctx, c.url(key, query))
	return value, unchanged, errors.WithMessagef(err, "watch %s", key)
}

func (c *client) get(ctx context.Context, url string) (value model.Value, unchanged bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return model.Value{}, false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return model.Value{}, false, err
	}
	defer func() { _ = response.Body.Close() }() // nothing was written
	switch response.StatusCode {
	case http.StatusOK:
		value, err = readValue(response)
		return value, false, err
	case http.StatusNotModified:
		return model.Value{}, true, nil
	case http.StatusNotFound:
		return model.Value{}, false, model.ErrNotFound
	default:
		return model.Value{}, false, errors.Errorf("status %d", response.StatusCode)
	}
}

// readValue reads a value from a response. It fails if the body is larger than
// model.MaxValueBytes.
func readValue(response *http.Response) (model.Value, error) {
	text := response.Header.Get(headerRevision)
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return model.Value{}, errors.Errorf("header %s: %q is not a number", headerRevision, text)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, model.MaxValueBytes+1))
	if err != nil {
		return model.Value{}, errors.Wrap(err, "body")
	}
	if len(data) > model.MaxValueBytes {
		return model.Value{}, errors.Errorf("value is larger than the limit of %d bytes", model.MaxValueBytes)
	}
	return model.Value{Revision: revision, Data: data}, nil
}

// Interface guards.
var _ replicaSet = (*client)(nil)
