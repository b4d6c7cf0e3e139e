package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

const (
	// callersPerHost is the number of callers on each host. Each sends requests over one
	// keep-alive connection until the node closes it.
	callersPerHost = 2
	// sendInterval is the pause between two requests of a caller.
	sendInterval = 25 * time.Millisecond
	// callerGrace is the time beyond its deadline after which a caller gives up a request.
	callerGrace = time.Second
	// probeInterval is the interval of readiness probes. After probeFailureThreshold
	// consecutive failures, callers on the host stop sending.
	probeInterval         = time.Second
	probeFailureThreshold = 2
)

// runCallers sends requests on every host until ctx ends, and waits for the last
// responses.
func (r *runner) runCallers(ctx context.Context) {
	var callers sync.WaitGroup
	for _, h := range r.hosts {
		callers.Go(func() { r.probeReadiness(ctx, h) })
		for i := range callersPerHost {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(h.Index*callersPerHost+i)))
			callers.Go(func() { r.runCaller(ctx, h, random) })
		}
	}
	callers.Wait()
}

// probeReadiness admits callers to a host according to readiness probes, as the platform
// does.
func (r *runner) probeReadiness(ctx context.Context, h *host) {
	failures := 0
	for clock.Sleep(ctx, probeInterval) {
		if h.Ready() {
			failures = 0
		} else {
			failures++
		}
		h.admitting.Store(failures < probeFailureThreshold)
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{}, Timeout: sidecarfleet.RequestTimeout + callerGrace}
}

func (r *runner) runCaller(ctx context.Context, h *host, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	for clock.Sleep(ctx, sendInterval) {
		if !h.admitting.Load() {
			continue
		}
		method, path := r.nextRequest(random)
		r.send(h, client, method, path)
	}
}

// nextRequest draws the next request of a caller.
func (r *runner) nextRequest(random *rand.Rand) (method, path string) {
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		return http.MethodGet, pathLook
	case 4, 5, 6, 7:
		return http.MethodPost, pathFile
	case 8:
		return http.MethodGet, pathFlip
	default:
		r.mu.Lock()
		defer r.mu.Unlock()
		return http.MethodGet, versionPath(1 + random.IntN(r.version))
	}
}

// send sends a request to the node of a host and records the request with its reply.
func (r *runner) send(h *host, client *http.Client, method, path string) sidecarfleet.Reply {
	return r.sendBody(h, client, method, path, "body")
}

// sendBody sends a request with a body like send.
func (r *runner) sendBody(h *host, client *http.Client, method, path, body string) sidecarfleet.Reply {
	q := request{path: path, host: h.Index, incarnation: int(h.starts.Load()), sent: time.Now()}
	q.reply = h.Send(client, method, path, body)
	q.ended = time.Now()
	r.recorder.addRequest(q)
	return q.reply
}
