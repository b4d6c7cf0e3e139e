// Package responsehead checks the heads of HTTP responses more strictly than net/http does.
//
// net/http accepts any number as a status, and names of fields with blanks. The receiver of such a
// response can't know what its sender meant: "Content-Length : 5" may or may not be the length of
// the body.
package responsehead

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a response whose head breaks the protocol.
var ErrMalformed = errors.New("the head of the response is malformed")

// The range of statuses.
const (
	minStatus = 100
	maxStatus = 599
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// Check returns an error that wraps ErrMalformed if a response, as parsed by net/http, has a version, a
// status, or a name or value of a field that the protocol does not allow.
func Check(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformed, "version %q", r.Proto)
	case !validStatus(r):
		return errors.Wrapf(ErrMalformed, "status %q", r.Status)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrMalformed, "value of field %q", name)
			}
		}
	}
	return nil
}

// validStatus reports whether the status has three digits and is in range. net/http also accepts a sign.
func validStatus(r *http.Response) bool {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || len(r.Status) < statusDigits {
		return false
	}
	for _, digit := range r.Status[:statusDigits] {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// Transport is a transport that fails with ErrMalformed for a response that Check rejects.
type Transport struct{ inner http.RoundTripper }

// NewTransport returns a transport that sends requests by another one.
func NewTransport(inner http.RoundTripper) *Transport { return &Transport{inner: inner} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close() // the unread body closes the connection
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections, also for http.Client.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.inner.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Interface guard.
var _ http.RoundTripper = (*Transport)(nil)
