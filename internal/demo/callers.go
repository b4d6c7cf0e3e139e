package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/model"
)

const (
	// rateFraction is the fraction of its granted rate that a caller uses, and
	// maxRate bounds its calls per second.
	rateFraction = 0.6
	maxRate      = 60
	// callTimeout bounds the time that a caller waits for a response.
	callTimeout = 12 * time.Second
)

// callers sends calls that the grants of the example permit.
type callers struct {
	demo   *demo
	client *http.Client
	next   atomic.Uint64
	wg     sync.WaitGroup
}

func newCallers(d *demo) *callers {
	return &callers{demo: d, client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 16},
	}}
}

// start starts a caller for each grant. They send calls until ctx ends.
func (c *callers) start(ctx context.Context, s *config.Snapshot) {
	for i, grant := range s.Grants() {
		random := rand.New(rand.NewPCG(c.demo.options.Seed, uint64(i)))
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(ctx, s.Service(grant.Service), grant, random)
		}()
	}
}

// wait waits until all callers have ended.
func (c *callers) wait() {
	c.wg.Wait()
	c.client.CloseIdleConnections()
}

// send sends calls at random intervals through random entry nodes until ctx ends.
func (c *callers) send(ctx context.Context, service *config.Service, grant *config.Grant, random *rand.Rand) {
	mean := time.Duration(float64(time.Second) / min(grant.Rate*rateFraction, maxRate))
	for ctx.Err() == nil {
		route := permittedRoute(service, grant, random)
		entry := c.demo.nodes[random.IntN(len(c.demo.nodes))]
		if entry.current() != nil {
			c.call(entry, service, route, grant.Caller)
		}
		pause := time.Duration(random.Float64() * 2 * float64(mean))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// permittedRoute returns a random route of the service that the grant permits.
func permittedRoute(service *config.Service, grant *config.Grant, random *rand.Rand) *config.Route {
	for {
		route := service.Routes[random.IntN(len(service.Routes))]
		if grant.Permits(route.Name) {
			return route
		}
	}
}

// call sends a call to an entry node and reports the response to the checker.
func (c *callers) call(entry *node, service *config.Service, route *config.Route, caller string) {
	id := fmt.Sprintf("call-%d", c.next.Add(1))
	c.demo.checker.Sent(invariant.Call{
		ID: id, Caller: caller, Service: service.Name, Idempotent: route.Idempotent, Permitted: true,
	})
	request, err := http.NewRequest(route.Method, "http://"+entry.proc.Host.CallAddress+route.PathPrefix, nil)
	if err != nil {
		panic(err) // routes of a snapshot have valid methods and paths
	}
	request.Host = service.Name
	request.Header.Set("Authorization", "Bearer "+credentialOf(caller))
	request.Header.Set(model.HeaderRequestID, id)
	response, err := c.client.Do(request)
	if err != nil {
		c.demo.checker.Responded(invariant.Response{CallID: id, Outcome: model.OutcomeUnknown, Complete: true})
		return
	}
	defer response.Body.Close()
	received, _ := observe.ReadResponse(id, 0, response) // an incomplete response counts as unknown
	c.demo.checker.Responded(received)
}
