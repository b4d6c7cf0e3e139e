package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/internal/httpconn"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/nesting"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
	"github.com/pkg/errors"
)

// targetSide is the role of the node beside a target. It is the only way to the target,
// so it alone knows how many requests run there.
type targetSide struct {
	address  netip.AddrPort
	peerPort string
	settings *live
	exchange model.Exchange
	replica  model.Replica
	metrics  *metrics
	tracer   *tracer
	drain    *drain
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	instances map[model.TargetID]*instance
	origins   *nesting.Learner
}

// answer is how an attempt ended at a target.
type answer struct {
	result
	// status is 0 if there is no answer of the target.
	status int
	header http.Header
	body   *message
	// release ends the attempt after the body was passed on.
	release func()
}

// close ends an attempt whose answer is not, or no longer, needed.
func (a *answer) close() {
	a.body.close()
	if a.release != nil {
		a.release()
	}
}

func refused(reason model.Reason) *answer {
	return &answer{result: result{Outcome: model.OutcomeNotRun, Reason: reason}}
}

// run takes in a request for the target and waits for its whole answer, or for
// the head of a long one.
func (g *targetSide) run(ctx context.Context, h *handover, header http.Header, body *message) *answer {
	began := time.Now()
	s := &admission{nested: g.nested(h)}
	a := g.admit(ctx, h, s, header, body)
	a.Nested = s.nested
	a.Held = time.Since(began)
	g.tracer.taken(h, s, a, g.replica.Revision())
	return a
}

// admission is what happens to a request at the target side.
type admission struct {
	// nested is set if the request seems to be a call of a target.
	nested bool
	// late, expected and startWithin are how it asked for a slot.
	late        bool
	expected    time.Duration
	startWithin time.Duration
	// met is the load that it met, waited how long it waited for a slot.
	met    load
	waited time.Duration
}

// nested reports whether a request seems to be a call of a target.
func (g *targetSide) nested(h *handover) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Observe(h.Route, h.CallerService)
	return g.origins.Nested(h.Route)
}

func (g *targetSide) admit(ctx context.Context, h *handover, s *admission, header http.Header, body *message) *answer {
	l, reason := g.instanceOf(h)
	if l == nil {
		a := refused(reason)
		a.Load.Leaving = reason == model.ReasonDraining
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, h.Remaining)
	a := g.runIn(ctx, l, h, s, header, body)
	a.Load = l.load()
	a.Load.Leaving = g.drain.closed()
	if a.release == nil {
		cancel()
		return a
	}
	leave := a.release
	a.release = func() {
		leave()
		cancel()
	}
	return a
}

func (g *targetSide) runIn(ctx context.Context, l *instance, h *handover, s *admission, header http.Header, body *message) *answer {
	s.met = l.load()
	s.expected = l.expected(h.Route, h.Objective)
	arrived := time.Now()
	t := ticket(h, s, arrived)
	if t == nil && s.met.Running == 0 {
		// A target that has been too slow shows only by a run that it is well.
		t = &slotqueue.Ticket{Rank: h.Rank, Expected: s.expected, StartBy: arrived}
	}
	if t == nil {
		return refused(model.ReasonDeadline)
	}
	s.late, s.startWithin = t.Late, t.StartBy.Sub(arrived)
	started, retryAfter := l.enter(ctx, t, h.Patience)
	s.waited = time.Since(arrived)
	g.metrics.waits.Observe(s.waited)
	if !started {
		a := refused(model.ReasonOverloaded)
		a.RetryAfter = retryAfter
		a.FullFor = max(retryAfter-s.startWithin, 0)
		if ctx.Err() != nil {
			a.Reason = model.ReasonCanceled
		}
		return a
	}
	if ctx.Err() != nil || g.gone(h) {
		l.leave(t)
		return refused(model.ReasonDraining)
	}
	a := g.call(ctx, l, h, header, body)
	if a.release == nil {
		l.leave(t)
		return a
	}
	a.release = func() { l.leave(t) }
	return a
}

// ticket describes the request to the queue; nil if it cannot end in time.
func ticket(h *handover, s *admission, now time.Time) *slotqueue.Ticket {
	if h.Remaining <= s.expected/2 {
		return nil
	}
	t := &slotqueue.Ticket{Nested: s.nested, Rank: h.Rank, Expected: s.expected}
	switch onTime := h.OnTime - s.expected; {
	case s.nested:
		t.StartBy = now.Add(h.Remaining / 2)
	case onTime > 0:
		t.StartBy = now.Add(min(onTime, h.Remaining-s.expected/2))
	default:
		t.Late = true
		t.StartBy = now.Add(min(h.Objective/4, (h.Remaining-s.expected/2)/2))
	}
	return t
}

// instanceOf returns the instance that must run the request, nil and the
// reason if it takes no requests.
func (g *targetSide) instanceOf(h *handover) (*instance, model.Reason) {
	if g.gone(h) {
		return nil, model.ReasonDraining
	}
	slots := 0
	if t := g.replica.Targets().ByID[h.Instance]; t != nil {
		if t.Address != g.address || t.Service != h.Service {
			return nil, model.ReasonNoTarget
		}
		slots = t.Slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.instances[h.Instance]
	if l == nil {
		l = newInstance(h.Instance, max(slots, 1), g.pool())
		g.instances[h.Instance] = l
	}
	if slots > 0 {
		l.resize(slots)
	}
	return l, model.ReasonNone
}

func (g *targetSide) pool() *httpconn.Pool {
	address := g.address.String()
	dial := func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, g.settings.Load().ConnectTimeout.Std())
		defer cancel()
		return g.dial(ctx, address)
	}
	return httpconn.NewPool(dial, maxIdleToTarget, g.settings.Load().TargetIdle.Std())
}

// gone reports whether the instance leaves or has left, as the node's own list
// says unless the sender has a later one.
func (g *targetSide) gone(h *handover) bool {
	if g.drain.closed() {
		return true
	}
	list := g.replica.Targets()
	if t := list.ByID[h.Instance]; t != nil {
		return t.Leaving
	}
	return g.replica.Revision() >= h.Revision
}

// retain drops the instances that are gone.
func (g *targetSide) retain(list *model.TargetList) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, l := range g.instances {
		if list.ByID[id] == nil {
			l.close()
			delete(g.instances, id)
		}
	}
}

// call sends a request that has a slot to the target.
func (g *targetSide) call(ctx context.Context, l *instance, h *handover, header http.Header, body *message) *answer {
	began := time.Now()
	remaining := h.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	if remaining <= 0 {
		return refused(model.ReasonDeadline)
	}
	g.exchange.SetTarget(header, model.TargetHead{
		ID:            h.ID,
		Remaining:     remaining,
		Target:        h.Instance,
		CallerService: h.CallerService,
	})
	response, err := l.pool.RoundTrip(ctx, &httpconn.Request{
		Method: h.Method,
		Target: h.Target,
		Host:   h.Authority,
		Header: header,
		Body:   body.reader(),
		Length: body.length,
		Answers: func(header http.Header) bool {
			return h.ID == "" || g.exchange.Answer(0, header).ID == h.ID
		},
	})
	if err != nil {
		if ctx.Err() != nil {
			l.unfinished(h.Route, time.Since(began))
		}
		return g.unanswered(ctx, l, h, err)
	}
	return g.take(ctx, l, h, response, began)
}

// unanswered judges a request without an answer of the target.
func (g *targetSide) unanswered(ctx context.Context, l *instance, h *handover, err error) *answer {
	var failure *httpconn.Error
	if errors.As(err, &failure) && !failure.Sent {
		if ctx.Err() != nil {
			return refused(model.ReasonCanceled)
		}
		l.failed(true)
		a := refused(model.ReasonUnreachable)
		a.Failed = true
		return a
	}
	a := &answer{result: result{Outcome: model.OutcomeUnknown, Reason: model.ReasonTargetLost, Handed: true, Failed: true}}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Reason = model.ReasonDeadline
	case ctx.Err() != nil:
		a.Reason = model.ReasonCanceled
	default:
		l.failed(true)
	}
	return a
}

// take reads the answer of the target and judges it.
func (g *targetSide) take(ctx context.Context, l *instance, h *handover, response *http.Response, began time.Time) *answer {
	head := g.exchange.Answer(response.StatusCode, response.Header)
	g.learnIdle(l, response.Header)
	body, err := readMessage(response.Body, answerLength(response, h.Method), 0)
	if err != nil {
		_ = response.Body.Close() // the answer is lost
		return g.unanswered(ctx, l, h, &httpconn.Error{Sent: true, Err: err})
	}
	a := &answer{status: response.StatusCode, header: response.Header, body: body}
	a.Handed = true
	a.Worked = time.Since(began)
	if body.whole() {
		_ = response.Body.Close() // the answer was read whole
	}
	switch {
	case head.NotRun:
		a.close()
		a = &answer{result: result{Outcome: model.OutcomeNotRun, Reason: model.ReasonTargetRefused, Handed: true, Worked: a.Worked}}
		if head.WrongTarget {
			a.Reason = model.ReasonNoTarget
		}
		l.failed(!head.WrongTarget)
		return a
	case head.Encoded || !head.Signed && a.status < http.StatusMultipleChoices:
		body.close()
		return g.unanswered(ctx, l, h, &httpconn.Error{Sent: true, Err: errors.New("the answer is not the target's own")})
	}
	a.Outcome = model.OutcomeRan
	a.Failed = a.status >= http.StatusInternalServerError
	if !a.Failed {
		l.ended(h.Route, a.Worked)
	}
	l.failed(a.Failed && a.status != http.StatusGatewayTimeout)
	if !body.whole() {
		a.release = func() {}
	}
	return a
}

// answerLength returns the length of the body that follows an answer's head.
func answerLength(response *http.Response, method string) int64 {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return 0
	}
	return response.ContentLength
}

// learnIdle keeps unused connections for less than the target does.
func (g *targetSide) learnIdle(l *instance, h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			l.pool.SetIdleTimeout(time.Duration(float64(seconds) * idlePart * float64(time.Second)))
		}
	}
}

const (
	// idlePart is the part of the target's idle timeout for which a connection is
	// kept, so that a request does not meet its end.
	idlePart = 0.7
	// maxIdleToTarget bounds the unused connections to the target.
	maxIdleToTarget = 64
)

// ServeHTTP takes in a request from another node.
func (g *targetSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.drain.enter()
	defer g.drain.leave()
	h, err := decodeHandover(r.Header.Get(headerHandover))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		g.replica.Sighted(net.JoinHostPort(host, g.peerPort), h.Revision)
	}
	body, err := readMessage(r.Body, r.ContentLength, 0)
	if err != nil {
		return // the sender has gone, or the connection is broken
	}
	a := g.run(r.Context(), h, passedOn(r.Header), body)
	defer a.close()
	a.Version = handoverVersion
	a.Revision = g.replica.Revision()
	header := w.Header()
	for name, values := range passedOn(a.header) {
		header[name] = values
	}
	header[headerResult] = []string{cborheader.Encode(&a.result)}
	if a.status == 0 {
		a.status = http.StatusServiceUnavailable
	}
	writeMessage(w, a.status, a.body, h.Method)
}

// writeMessage writes an answer. A body that ends early aborts the connection, so
// that it never looks whole.
func writeMessage(w http.ResponseWriter, status int, body *message, method string) {
	if body == nil {
		body = &message{}
	}
	if body.length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified && method != http.MethodHead {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(body.length, 10)}
	}
	w.WriteHeader(status)
	reader := body.reader()
	if reader == nil {
		return
	}
	n, err := io.Copy(w, reader)
	if err != nil || body.length >= 0 && n != body.length {
		panic(http.ErrAbortHandler)
	}
}

// Interface guard.
var _ http.Handler = (*targetSide)(nil)
