// Package target implements a stand-in for a target: an HTTP server with slots,
// simulated service times and injected faults that logs every execution.
package target

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/pkg/errors"
)

// Paths that serve tests and tools; all other paths are calls.
const (
	PathHealth     = "/standin/health"
	PathLoad       = "/standin/load"
	PathExecutions = "/standin/book"
	PathBehaviour  = "/standin/behaviour"
)

// Behaviour configures service times, capacity and faults. It can be changed at
// any time. Fractions of calls are from 0 to 1.
type Behaviour struct {
	// Slots is the number of calls executed concurrently; further ones wait.
	Slots int `json:"slots"`
	// Connections bounds the open connections; further ones are closed.
	Connections int `json:"connections"`
	// ServiceTime is the mean service time. It varies uniformly by the fraction
	// Spread, 0 to 1, in both directions. Tail is the fraction of calls that take
	// TailFactor times as long.
	ServiceTime jsonc.Duration `json:"service"`
	Spread      float64        `json:"spread"`
	Tail        float64        `json:"tail"`
	TailFactor  float64        `json:"tail_factor"`
	// ColdDuration is the time from the target's start during which calls take
	// ColdFactor times as long.
	ColdDuration jsonc.Duration `json:"cold_for"`
	ColdFactor   float64        `json:"cold_factor"`
	// ShedAt is the number of waiting calls from which on the target sheds new
	// ones; a negative value disables shedding. OmitShedHeader omits the header
	// that declares a call as shed.
	ShedAt         int  `json:"shed_at"`
	OmitShedHeader bool `json:"undeclared"`
	// Hang is the fraction of calls that are executed and get no response.
	Hang float64 `json:"hang"`
	// Truncate is the fraction of calls whose connection is aborted within the
	// response, and Crash the fraction whose connection is aborted before it.
	Truncate float64 `json:"cut"`
	Crash    float64 `json:"crash"`
	// Fail is the fraction of calls that get status 500.
	Fail float64 `json:"fail"`
	// Draining makes the target shed all new calls.
	Draining bool `json:"draining"`
	// ReportUnhealthy makes the health endpoint return status 503, and ReportIdle
	// makes the load endpoint report no load, both regardless of the actual state.
	ReportUnhealthy bool `json:"sick_health"`
	ReportIdle      bool `json:"idle_load"`
}

// DefaultBehaviour returns the behaviour of a healthy target with ten slots and a
// mean service time of 5 ms.
func DefaultBehaviour() Behaviour {
	const (
		slots       = 10
		connections = 100
		service     = 5 * time.Millisecond
	)
	return Behaviour{Slots: slots, Connections: connections, ServiceTime: jsonc.Duration(service), Spread: 0.5, ShedAt: -1, ColdFactor: 1, TailFactor: 1}
}

// Options configure a target. Behaviour is the initial one.
type Options struct {
	// Address is the listen address, IP:port.
	Address   string
	Behaviour Behaviour
	// Seed makes service times and faults repeatable.
	Seed uint64
	// OnStart, if set, is called at the start of each execution with the request ID.
	OnStart func(id string, at time.Time)
	// Nested configures nested calls; nil disables them.
	Nested *Nested
}

// Target is a stand-in for a target.
type Target struct {
	options    Options
	startTime  time.Time
	listener   net.Listener
	server     *http.Server
	served     chan struct{}
	random     *lockedRand
	executions *ExecutionLog
	slots      *slots

	behaviour       atomic.Pointer[Behaviour]
	openConnections atomic.Int64
}

// Start returns a target that serves on o.Address. The caller ends it by Stop or
// Shutdown.
func Start(o Options) (*Target, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in target")
	}
	t := New(o)
	t.listener = listener
	t.served = make(chan struct{})
	t.server = &http.Server{Handler: t.Handler(), ConnState: t.countConnection}
	go func() {
		defer close(t.served)
		_ = t.server.Serve(listener) // ends with ErrServerClosed at Stop
	}()
	return t, nil
}

// New returns a target without a listener. The caller serves its Handler; the
// limit on connections is not enforced.
func New(o Options) *Target {
	t := &Target{
		options:    o,
		startTime:  time.Now(),
		random:     newLockedRand(o.Seed),
		executions: NewExecutionLog(),
		slots:      newSlots(o.Behaviour.Slots),
	}
	t.behaviour.Store(&o.Behaviour)
	return t
}

// Address returns the listen address of a started target.
func (t *Target) Address() string {
	return t.listener.Addr().String()
}

// ExecutionLog returns the log of executions.
func (t *Target) ExecutionLog() *ExecutionLog {
	return t.executions
}

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour {
	return *t.behaviour.Load()
}

// SetBehaviour replaces the behaviour. Calls already executing keep the previous
// one.
func (t *Target) SetBehaviour(b Behaviour) {
	t.behaviour.Store(&b)
	t.slots.resize(b.Slots)
}

// Connections returns the number of open connections.
func (t *Target) Connections() int {
	return int(t.openConnections.Load())
}

// Stop closes a started target and all of its connections abruptly.
func (t *Target) Stop() {
	_ = t.server.Close() // the listener is closed even if an error is returned
	<-t.served
}

// Shutdown closes a started target after the calls in flight have ended or ctx
// has, whose error it returns.
func (t *Target) Shutdown(ctx context.Context) error {
	err := t.server.Shutdown(ctx)
	<-t.served
	return err
}

func (t *Target) countConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if t.openConnections.Add(1) > int64(t.Behaviour().Connections) {
			_ = c.Close() // the limit on connections is exceeded
		}
	case http.StateClosed, http.StateHijacked:
		t.openConnections.Add(-1)
	}
}
