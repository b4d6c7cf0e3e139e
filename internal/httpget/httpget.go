// Package httpget sends GET requests with time and size limits for the response.
package httpget

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/bronzemast/bronzemast/internal/responsehead"
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialContext returns f as a function for the DialContext field of an http.Transport.
func (f DialFunc) DialContext() func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return f(ctx, address)
	}
}

// maxHeaderBytes bounds the header of a response, interim responses included.
const maxHeaderBytes = 64 << 10

// NewTransport returns a transport for Get, whose connections are opened by dial.
func NewTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial.DialContext(),
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Limits bounds a response.
type Limits struct {
	// HeaderTimeout is measured from the start of Get, and BodyTimeout from the end of
	// the response header.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// MaxBodyBytes is the size to which a longer body is truncated without an error.
	MaxBodyBytes int64
}

// Response is a response that was received completely.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Truncated is set if the body was longer than the limit.
	Truncated bool
}

// Get sends a request and returns its response.
func Get(ctx context.Context, client *http.Client, target *url.URL, l Limits) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(l.HeaderTimeout, cancel)
	defer timer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	timer.Reset(l.BodyTimeout)
	defer func() { _ = response.Body.Close() }() // the body was read or has failed
	if err := responsehead.Check(response); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, l.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	truncated := int64(len(body)) > l.MaxBodyBytes
	if truncated {
		body = body[:l.MaxBodyBytes]
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Truncated: truncated}, nil
}
