package observe

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/examples"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
)

// callTimeout bounds the time that a caller waits for a response.
const callTimeout = 12 * time.Second

// settleMargin is the time before the deadline that a node reserves to determine the
// result of an attempt. A node stops waiting for a response that much before the
// deadline.
const settleMargin = 100 * time.Millisecond

// Flow describes calls of one kind, sent by one caller to one route.
type Flow struct {
	Caller, Service, Method, Path string
	Idempotent, Permitted         bool
	// Deadline is the deadline of the flow's route, measured from the start of the
	// call, at which a node may stop waiting for a response.
	Deadline time.Duration
	// Size is the length of the response body in bytes; 0 requests the shortest one.
	// Chunked omits the length from the response, so that only the end of the chunked
	// body shows that it is complete.
	Size    int
	Chunked bool
}

// query returns the query string, including the question mark, that requests the flow's
// response from the stand-in target. It is empty for the shortest response.
func (f *Flow) query() string {
	if f.Size == 0 {
		return ""
	}
	query := url.Values{target.ParamSize: {strconv.Itoa(f.Size)}}
	if f.Chunked {
		query.Set(target.ParamChunked, "1")
	}
	return "?" + query.Encode()
}

// ClearplateFlows are the calls of the example clearplate: idempotent calls, calls that
// must not be retried, and one that no grant permits.
var ClearplateFlows = []Flow{
	{Caller: "proprietors-portal", Service: "renewals", Method: http.MethodGet, Path: "/certificates", Deadline: 2 * time.Second, Idempotent: true, Permitted: true},
	{Caller: "proprietors-portal", Service: "renewals", Method: http.MethodPost, Path: "/renewals", Deadline: 8 * time.Second, Permitted: true},
	{Caller: "proprietors-portal", Service: "assessments", Method: http.MethodPost, Path: "/payments", Deadline: 9 * time.Second, Permitted: true, Size: largeResponse},
	{Caller: "council-inspectors", Service: "assessments", Method: http.MethodGet, Path: "/results", Deadline: 3 * time.Second, Idempotent: true, Permitted: true, Size: largeResponse, Chunked: true},
	{Caller: "council-export", Service: "renewals", Method: http.MethodPost, Path: "/renewals", Deadline: 8 * time.Second},
}

// largeResponse is the length in bytes of a response that nodes relay in several parts.
const largeResponse = 40_000

// CallersOptions configures callers.
type CallersOptions struct {
	Checker *invariant.Checker
	Client  *http.Client
	Hosts   []model.Host
	Flows   []Flow
	// Interval is the mean time between two calls of one flow.
	Interval time.Duration
	// Seed seeds the random intervals and entry nodes.
	Seed uint64
	// CutByShutdown reports whether a call whose response was cut off was in flight at a
	// node that was shutting down gracefully; nil means that no node shuts down.
	CutByShutdown func(entry model.HostID, call string) bool
}

// Callers sends calls of all flows to all nodes and reports them to a checker.
type Callers struct {
	options CallersOptions
	cancel  context.CancelFunc
	next    atomic.Uint64
	wg      sync.WaitGroup
}

// StartCallers starts callers that send until Stop.
func StartCallers(o CallersOptions) *Callers {
	ctx, cancel := context.WithCancel(context.Background())
	o.Client.Timeout = callTimeout
	c := &Callers{options: o, cancel: cancel}
	for i, f := range o.Flows {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(ctx, f, random)
		}()
	}
	return c
}

// Stop stops sending calls. Calls in flight go on.
func (c *Callers) Stop() {
	c.cancel()
}

// Wait waits until all calls have ended.
func (c *Callers) Wait() {
	c.wg.Wait()
	c.options.Client.CloseIdleConnections()
}

// send sends the calls of a flow without waiting for their responses.
func (c *Callers) send(ctx context.Context, f Flow, random *rand.Rand) {
	for {
		delay := time.Duration(random.Float64() * 2 * float64(c.options.Interval))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		entry := c.options.Hosts[random.IntN(len(c.options.Hosts))]
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.Call(entry, f)
		}()
	}
}

// Call sends one call, waits for its response and reports both to the checker.
func (c *Callers) Call(entry model.Host, f Flow) invariant.Response {
	return c.CallWithID(fmt.Sprintf("call-%d", c.next.Add(1)), entry, f)
}

// CallWithID is like Call, with an ID that no other call has.
func (c *Callers) CallWithID(id string, entry model.Host, f Flow) invariant.Response {
	c.options.Checker.Sent(invariant.Call{
		ID: id, Caller: f.Caller, Service: f.Service, Idempotent: f.Idempotent, Permitted: f.Permitted,
	})
	startTime := time.Now()
	received, err := c.exchange(id, entry, f)
	if err != nil && time.Since(startTime) < f.Deadline-settleMargin && c.options.CutByShutdown != nil {
		received.CutByShutdown = c.options.CutByShutdown(entry.ID, id)
	}
	c.options.Checker.Responded(received)
	return received
}

// exchange sends a request and reads its response.
func (c *Callers) exchange(id string, entry model.Host, f Flow) (invariant.Response, error) {
	request, err := http.NewRequest(f.Method, "http://"+entry.CallAddress+f.Path+f.query(), nil)
	if err != nil {
		panic(err) // the flows are valid
	}
	request.Host = f.Service
	request.Header.Set("Authorization", "Bearer "+examples.CredentialOf(f.Caller))
	request.Header.Set(model.HeaderRequestID, id)
	response, err := c.options.Client.Do(request)
	if err != nil {
		return invariant.Response{CallID: id, Outcome: model.OutcomeUnknown, Complete: true}, err
	}
	defer response.Body.Close()
	return ReadResponse(id, f.Size, response)
}
