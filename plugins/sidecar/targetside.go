package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/internal/unknownheader"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/nesting"
	"github.com/bronzemast/bronzemast/plugins/sidecar/slotqueue"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
)

// targetSide is the inbound role of the node beside a target. All requests to the target
// pass through it, so it knows the exact number that run there.
type targetSide struct {
	address  netip.AddrPort
	peerPort string
	settings *liveSettings
	exchange model.Exchange
	replica  model.Replica
	metrics  *metrics
	tracer   *tracer
	drain    *drain
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	instances map[model.TargetID]*instance
	origins   *nesting.Detector
	log       *event.Log
	// unknownHeaders counts the headers of the target that this program does not know.
	unknownHeaders *unknownheader.Recorder
	departures     *departures
	quarantine     model.Quarantine
	// uplink is the host's link, which large answers share.
	uplink *uplink.Scheduler
	// invalidLoad logs the first load report that cannot be read.
	invalidLoad sync.Once
	// onNested is called with whether the requests of a route appear to be calls made by
	// targets.
	onNested func(route, service string, nested bool)
}

// answer is the end of an attempt: its result and, if the target answered, the response.
type answer struct {
	result
	// status is 0 if there is no response from the target.
	status int
	header http.Header
	body   *messageBody
	// release frees the resources of an attempt whose body is streamed; nil otherwise.
	release func()
	// link is the answer's reservation on the host's link, nil if it is not large.
	link *uplink.Reservation
	// fingerprint identifies a request that reached the target; zero otherwise.
	fingerprint quarantine.Fingerprint
}

// close releases an answer that is not, or no longer, needed.
func (a *answer) close() {
	a.body.close()
	a.link.Release()
	if a.release != nil {
		a.release()
	}
}

// notRunAnswer returns the answer of a request that has not run.
func notRunAnswer(reason model.Reason) *answer {
	return &answer{result: result{Outcome: model.OutcomeNotRun, Reason: reason}}
}

// handle runs a request on the target and logs it. It returns once the answer is complete,
// or its header if the body is streamed.
func (s *targetSide) handle(ctx context.Context, h *handover, header http.Header, body *messageBody) *answer {
	s.drain.targetRequestStarted()
	defer s.drain.targetRequestEnded()
	start := time.Now()
	adm := &admission{nested: s.nested(h)}
	a := s.admit(ctx, h, adm, header, body)
	a.Nested = adm.nested
	a.TimeAtNode = time.Since(start)
	s.tracer.targetSide(h, adm, a, s.replica.Position())
	return a
}

// nested records the origin of a request and reports whether it appears to be a call made
// by a target.
func (s *targetSide) nested(h *handover) bool {
	s.mu.Lock()
	s.origins.Observe(h.Route, h.CallerService)
	nested := s.origins.Nested(h.Route)
	s.mu.Unlock()
	s.onNested(h.Route, h.Service, nested)
	return nested
}

func (s *targetSide) admit(ctx context.Context, h *handover, adm *admission, header http.Header, body *messageBody) *answer {
	inst, reason := s.instanceOf(h)
	if inst == nil {
		a := notRunAnswer(reason)
		a.Load.Leaving = reason == model.ReasonDraining
		a.announced = s.departures.stateOf(h.Instance)
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, h.Remaining)
	a := s.runOnInstance(ctx, inst, h, adm, header, body)
	a.Load = inst.load()
	a.Load.Leaving = s.drain.closed()
	a.announced = inst.state()
	a.announced.LinkWait = s.uplink.Backlog()
	inst.reportPace(&a.announced, h.Route)
	if a.release == nil {
		cancel()
		return a
	}
	releaseSlot := a.release
	a.release = func() {
		releaseSlot()
		cancel()
	}
	return a
}

func (s *targetSide) runOnInstance(ctx context.Context, inst *instance, h *handover, adm *admission, header http.Header, body *messageBody) *answer {
	adm.loadAtArrival = inst.load()
	if inst.isReplaced() {
		return notRunAnswer(model.ReasonNoTarget)
	}
	if wait := inst.unreachableFor(); wait > 0 {
		return unreachableAnswer(wait)
	}
	expected := inst.expectedRunTimes(h.Route, h.Objective)
	adm.expected = expected.now
	if s.diverts(h, adm, expected) {
		s.metrics.diverted.Add(1)
		return slowNowAnswer()
	}
	guard := s.newGuard(inst, h, body)
	if retryAfter, ok := guard.Enter(ctx, adm.expected, h.Remaining-adm.expected); !ok {
		return s.quarantined(h, body, retryAfter)
	}
	defer guard.Leave()
	arrived := time.Now()
	t := newTicket(h, adm, arrived)
	if t == nil {
		return notRunAnswer(model.ReasonOverloaded) // another target may be faster
	}
	adm.late, adm.startWithin = t.Late, t.StartBy.Sub(arrived)
	link, wait, ok := s.reserveLink(inst.expectedBytes(h.Route), adm.startWithin+adm.expected)
	if !ok {
		return linkFullAnswer(wait)
	}
	a := s.runWithSlot(ctx, inst, h, adm, t, guard, header, body)
	s.holdLink(a, link)
	return a
}

// runWithSlot waits for a slot and runs a request.
func (s *targetSide) runWithSlot(ctx context.Context, inst *instance, h *handover, adm *admission, t *slotqueue.Ticket, guard *quarantine.Guard, header http.Header, body *messageBody) *answer {
	arrived := time.Now()
	started, retryAfter := inst.acquire(ctx, t, h.MaxQueueWait)
	adm.waited = time.Since(arrived)
	s.metrics.slotWait.Observe(adm.waited)
	if !started {
		return s.fullAnswer(ctx, inst, h, adm, retryAfter)
	}
	if ctx.Err() != nil || s.hasLeft(h) {
		inst.release(t)
		return notRunAnswer(model.ReasonDraining)
	}
	if s.evacuated(h.Instance) {
		inst.release(t)
		return notRunAnswer(model.ReasonEvacuated)
	}
	if retryAfter, ok := guard.Check(); !ok {
		inst.release(t)
		return s.quarantined(h, body, retryAfter)
	}
	a := s.callTarget(ctx, inst, h, header, body)
	if a.release == nil {
		inst.release(t)
		return a
	}
	a.release = func() { inst.release(t) }
	return a
}

// Interface guard.
var _ http.Handler = (*targetSide)(nil)
