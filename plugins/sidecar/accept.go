package sidecar

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/internal/httpserver"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// noConfigurationRetryAfter is the retry delay sent to callers while the node has no
	// configuration yet.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is the retry delay sent to callers while the configuration is too
	// old: the time of two further attempts to refresh it.
	staleRetryAfter = 500 * time.Millisecond
	// noMemoryRetryAfter is the retry delay sent to callers for whose request there is no memory:
	// most requests are answered within it.
	noMemoryRetryAfter = time.Second
)

// accept reads a request and matches it to a route. It returns a local reply if there is
// no configuration, it is too old or has no route for the request, the node is draining, or
// the body cannot be read or exceeds its limit.
func (e *entry) accept(w http.ResponseWriter, r *http.Request) (*call, *model.LocalReply) {
	head := e.exchange.ParseRequest(r.Header)
	localReply := func(reason model.Reason) *model.LocalReply {
		return &model.LocalReply{ID: head.ID, Outcome: model.OutcomeNotRun, Reason: reason}
	}
	table := e.replica.Table()
	if table == nil {
		reply := localReply(model.ReasonNoConfiguration)
		reply.RetryAfter = noConfigurationRetryAfter
		return nil, reply
	}
	if !e.replica.Current() {
		reply := localReply(model.ReasonStaleConfiguration)
		reply.RetryAfter = staleRetryAfter
		return nil, reply
	}
	e.retainRoutes(table)
	target, path := requestTarget(r)
	route := table.Match(r.Host, path)
	if route == nil {
		return nil, localReply(model.ReasonNoRoute)
	}
	c := e.newCall(r, head, target, route)
	drainingReply := func() *model.LocalReply {
		reply := localReply(model.ReasonDraining)
		reply.RetryAfter = minRetryAfter
		return reply
	}
	if !e.admits(c) {
		return nil, drainingReply()
	}
	c.service = e.splitter.Choose(route)
	c.configuration = table.Number
	var err error
	c.body, err = readCallerBody(w, r, table.BodyLimit(route), c.deadline)
	if err != nil {
		return nil, bodyErrorReply(head.ID, err)
	}
	if !e.admits(c) { // reading the body took until now
		c.body.close()
		return nil, drainingReply()
	}
	e.drain.requestAccepted()
	return c, nil
}

// readCallerBody reads the body of a caller's request until the deadline at the latest. The rest of a
// body that is streamed has the same deadline.
func readCallerBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (*messageBody, error) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(deadline) // a lost connection fails anyway
	}
	return readBody(r.Body, requestLimits(r, maxBytes))
}

// bodyErrorReply returns the reply to a request whose body could not be read. The request has not been
// passed on.
func bodyErrorReply(id string, err error) *model.LocalReply {
	reply := &model.LocalReply{ID: id, Outcome: model.OutcomeNotRun, Reason: model.ReasonBadRequest}
	switch {
	case errors.Is(err, errBodyTooLarge):
		reply.Reason = model.ReasonTooLarge
	case errors.Is(err, errNoMemory):
		reply.Reason = model.ReasonNoMemory
		reply.RetryAfter = noMemoryRetryAfter
	case errors.Is(err, os.ErrDeadlineExceeded):
		reply.Reason = model.ReasonSlowCaller
	}
	return reply
}

// admits reports whether a call is accepted while the node may be draining.
func (e *entry) admits(c *call) bool {
	return e.drain.admits(e.stats.nested(c.route.Name), c.deadline)
}

// Concurrent reports whether a request may be handled while earlier ones of its connection are:
// whether its route is idempotent. It implements httpserver.Handler.
func (e *entry) Concurrent(r *http.Request) bool {
	table := e.replica.Table()
	if table == nil {
		return false
	}
	_, path := requestTarget(r)
	route := table.Match(r.Host, path)
	return route != nil && route.Idempotent
}

// Limits returns the limits of callers in the configuration. It implements httpserver.Handler.
func (e *entry) Limits() httpserver.Limits {
	table := e.replica.Table()
	if table == nil {
		return httpserver.Limits{}
	}
	return httpserver.Limits{
		HeaderTimeout:  table.Limits.HeaderTimeout,
		IdleTimeout:    table.Limits.IdleTimeout,
		MaxHeaderBytes: table.Limits.MaxHeaderBytes,
	}
}

// newCall returns the call for a request whose body has not been read yet and that has no service
// yet. Its deadline is the earlier of the caller's deadline and the route's timeout.
func (e *entry) newCall(r *http.Request, head model.RequestHead, target string, route *ingress.Route) *call {
	receivedAt := time.Now()
	elapsed := e.stats.elapsed(route.Name, head.Remaining)
	c := &call{
		id:                head.ID,
		method:            r.Method,
		target:            target,
		authority:         r.Host,
		header:            forwardedHeaders(r.Header),
		route:             route,
		receivedAt:        receivedAt,
		deadline:          receivedAt.Add(route.Timeout),
		callerTimeout:     route.Timeout,
		objectiveDeadline: receivedAt.Add(route.Objective - elapsed),
		cameBack:          elapsed > 0,
		fullTargets:       map[model.TargetID]bool{},
		excludedTargets:   map[model.TargetID]bool{},
	}
	if head.Remaining > 0 {
		c.callerTimeout = head.Remaining
		c.deadline = receivedAt.Add(min(head.Remaining, route.Timeout))
	}
	return c
}

// configuration returns the number of the active configuration, 0 if there is none.
func (e *entry) configuration() uint64 {
	if table := e.replica.Table(); table != nil {
		return table.Number
	}
	return 0
}

// retainRoutes drops the state of routes that are not in the table, if the table has
// changed since the previous request.
func (e *entry) retainRoutes(table *ingress.Table) {
	if e.table.Swap(table) == table {
		return
	}
	e.splitter.Retain(table)
	e.stats.retainRoutes(table)
}

// requestTarget returns the request target in origin form, as the caller sent it if
// possible, and its path.
func requestTarget(r *http.Request) (target, path string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}
