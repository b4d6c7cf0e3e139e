package callbench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/clock"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// host is one host of the fleet: a node process and its target.
type host struct {
	proc *procfleet.Proc

	mu     sync.Mutex
	target *target.Target
	// stopping is set once the node was made to drain or shut down gracefully.
	stopping bool
	// ready is set while callers consider the node ready.
	ready bool
}

func (h *host) id() model.HostID { return h.proc.Host.ID }

func (h *host) setStopping(stopping bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = stopping
}

func (h *host) setReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

func (h *host) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

func (h *host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// awaitReady waits until the node has settled with a release in force. It returns
// an error after readyTimeout.
func (h *host) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		var status struct {
			Release uint64 `json:"release"`
			Settled bool   `json:"settled"`
		}
		if err := h.proc.Get("/v1/status", &status); err == nil && status.Release > 0 && status.Settled {
			h.setReady(true)
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Errorf("host %s is not ready: %s", h.id(), h.proc.Log())
		}
	}
}

const (
	// readinessInterval is the time between two readiness checks of a node.
	readinessInterval = time.Second
	// readinessTimeout is the time after which a readiness check fails.
	readinessTimeout = 500 * time.Millisecond
)

// pollReadiness checks the readiness of the node at each interval until ctx ends,
// as the health check of a load balancer does.
func (h *host) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for clock.Sleep(ctx, readinessInterval) {
		response, err := client.Get("http://" + h.proc.OperatorAddress + "/readyz")
		if err == nil {
			_ = response.Body.Close() // only the status is used
		}
		h.setReady(err == nil && response.StatusCode == http.StatusOK)
	}
}
