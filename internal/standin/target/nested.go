package target

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// Nested configures the calls that a target makes to other services.
type Nested struct {
	// EntryAddress is the call address of the target's own node, host:port.
	EntryAddress string
	// Services are the services to call, indexed by the number of nested calls
	// that remain, modulo their count.
	Services   []string
	Credential string
	Path       string
	Transport  http.RoundTripper
}

// makeNestedCall makes the nested call that the request asks for, if any, and
// returns the status for the caller: 502 if the nested call fails.
func (t *Target) makeNestedCall(ctx context.Context, r *http.Request, id string) int {
	remaining, _ := strconv.Atoi(r.URL.Query().Get(ParamNestedCalls)) // a missing parameter means no nested call
	if remaining <= 0 || t.options.Nested == nil {
		return http.StatusOK
	}
	response, err := t.options.Nested.call(ctx, r, id, remaining)
	if err != nil {
		return http.StatusBadGateway
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return http.StatusBadGateway
	}
	return response.StatusCode
}

// call sends a nested call, of which the given number remain, including this one.
func (n *Nested) call(ctx context.Context, r *http.Request, id string, remaining int) (*http.Response, error) {
	query := url.Values{}
	query.Set(ParamNestedCalls, strconv.Itoa(remaining-1))
	address := url.URL{Scheme: "http", Host: n.EntryAddress, Path: n.Path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, r.Method, address.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Host = n.Services[remaining%len(n.Services)]
	request.Header.Set("Authorization", "Bearer "+n.Credential)
	request.Header.Set(model.HeaderRequestID, id+"."+strconv.Itoa(remaining))
	request.Header.Set(model.HeaderDepth, r.Header.Get(model.HeaderDepth))
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(model.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return n.Transport.RoundTrip(request)
}
