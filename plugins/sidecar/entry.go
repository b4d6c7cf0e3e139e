package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/internal/httpserver"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
)

// entry is the node's outbound role: it accepts requests from callers on its own host and
// forwards them to targets.
type entry struct {
	host     model.Host
	settings *liveSettings
	exchange model.Exchange
	replica  model.Replica
	metrics  *metrics
	tracer   *tracer
	stats    *targetStats
	splitter *ingress.Splitter
	budgets  *retryBudgets
	sender   *sender
	drain    *drain
	// quarantine keeps requests from targets that crash while they run them.
	quarantine model.Quarantine
	// uplink is the host's link, which large answers share.
	uplink *uplink.Scheduler
	// table is the routing table used for the latest request.
	table atomic.Pointer[ingress.Table]
}

// call is a caller's request and the state of its attempts.
type call struct {
	id        string
	method    string
	target    string
	authority string
	header    http.Header
	body      *messageBody
	route     *ingress.Route
	service   string
	// configuration is the number of the configuration that the request was routed by.
	configuration uint64
	receivedAt    time.Time
	deadline      time.Time
	// callerTimeout is how long the caller waits: the time remaining until its deadline
	// at receivedAt, or the route's timeout if it gave no deadline.
	callerTimeout time.Duration
	// objectiveDeadline is the time by which an answer meets the route's objective.
	objectiveDeadline time.Time
	// cameBack is set if the caller has sent the request before.
	cameBack bool
	// targetsReached counts the targets that the request has reached, and hops all
	// attempts.
	targetsReached int
	hops           int
	// fullTargets holds the targets that rejected the request as full, and
	// excludedTargets those that are not to be tried again.
	fullTargets     map[model.TargetID]bool
	excludedTargets map[model.TargetID]bool
	// fullRetryAfter is the time after which the latest full target expects capacity, and
	// overhead the time spent on attempts that did not reach a target, without the time
	// that the peers held the request.
	fullRetryAfter time.Duration
	overhead       time.Duration
	// charged is set while a retry has been taken from the budget for an attempt that has
	// not started yet.
	charged atomic.Bool
	// identity is the fingerprint of the request, nil until it is needed, and isolated is set
	// while the request may only go to its isolation target.
	identity *quarantine.Fingerprint
	isolated bool
	// trace holds the log lines of the attempts so far, to be logged with the request.
	trace []logLine
}

// ServeHTTP forwards a caller's request to a target and writes the answer.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.drain.requestStarted()
	rejected := false
	defer func() { e.drain.requestEnded(rejected) }()
	if e.drain.draining() {
		w.Header()["Connection"] = []string{"close"}
	}
	c, reply := e.accept(w, r)
	if reply != nil {
		rejected = true
		status := e.writeLocalReply(w, reply)
		e.tracer.rejected(r, reply, status, e.configuration(), e.replica.Position())
		return
	}
	defer c.body.close()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a := e.runAttempts(ctx, c)
	defer a.close()
	if r.Context().Err() != nil {
		e.metrics.canceled.Add(1)
		a.Outcome, a.Reason = model.OutcomeUnknown, model.ReasonCanceled
		e.tracer.request(c, a, 0, 0, e.replica.Position())
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	e.writeAnswer(r.Context(), w, c, a)
}

// Interface guard.
var _ httpserver.Handler = (*entry)(nil)
