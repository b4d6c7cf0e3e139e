package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxParallel bounds the requests that run concurrently.
	maxParallel = 32
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// maxErrorBytes bounds the part of an error response that is not JSON which is
	// included in the error text.
	maxErrorBytes = 200
)

// Client sends requests to the operator addresses of nodes.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose requests time out after timeout.
func NewClient(timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: maxParallel}
	return &Client{http: &http.Client{Transport: transport, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Result is the decoded response of a node, or the error of the request.
type Result[T any] struct {
	Node  Node
	Value T
	Err   error
}

// GetAll sends a GET request for path to each node, with at most maxParallel requests at
// a time, and returns the results in the order of nodes.
func GetAll[T any](ctx context.Context, c *Client, nodes []Node, path string, query url.Values) []Result[T] {
	results := make([]Result[T], len(nodes))
	semaphore := make(chan struct{}, maxParallel)
	var requests sync.WaitGroup
	for i, n := range nodes {
		semaphore <- struct{}{}
		requests.Go(func() {
			defer func() { <-semaphore }()
			results[i].Node = n
			results[i].Err = c.get(ctx, n, path, query, &results[i].Value)
		})
	}
	requests.Wait()
	return results
}

func (c *Client) get(ctx context.Context, n Node, path string, query url.Values, dst any) error {
	address := url.URL{Scheme: "http", Host: n.Address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return errors.Wrap(err, "operator address")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unwrapURL(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, body)
	}
	return errors.Wrap(json.Unmarshal(body, dst), "decode response")
}

// unwrapURL removes the method and URL with which the HTTP client prefixes each error,
// because Result identifies the node already.
func unwrapURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// statusError returns the error for a response with a status other than 200. Its text is
// the error member of a JSON body, or else the status and the start of the body.
func statusError(status int, body []byte) error {
	var errorBody struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &errorBody) == nil && errorBody.Error != "" {
		return errors.New(errorBody.Error)
	}
	return errors.New(fmt.Sprintf("status %d: %.*s", status, maxErrorBytes, body))
}
