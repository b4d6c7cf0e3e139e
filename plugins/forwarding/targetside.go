package forwarding

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/internal/unknownheader"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// targetSide is the role of the node beside the target. Only this node calls the
// target, and its ledger is authoritative for which attempts ran.
type targetSide struct {
	settings      *Settings
	host          model.Host
	hooks         *kernel.Hooks
	metrics       *metrics
	configuration model.Configuration
	drainer       model.Drainer
	admitter      model.Admitter
	recorder      model.Recorder
	transport     model.Transport
	target        *target
	// unknownHeaders counts the headers of the target that this program does not know.
	unknownHeaders *unknownheader.Recorder
	processStart   time.Time
	quarantine     model.Quarantine
	crashes        *quarantine.Detector
	isolation      *quarantine.Isolation
	log            *event.Log

	mu     sync.Mutex
	ledger *ledger
}

// inbound is the state of an attempt at the target-side node.
type inbound struct {
	resolvedRequest
	hop       hop
	request   *http.Request
	startTime time.Time
	deadline  time.Time
	// inLedger is set once the ledger has an entry for the attempt.
	inLedger bool
	// fingerprint identifies equal calls, zero if the entry node did not send it. run is set
	// while the target runs the call.
	fingerprint quarantine.Fingerprint
	run         *quarantine.Run
	serviceTime time.Duration
	overShare   bool
}

// now returns the monotonic time since the node's start.
func (t *targetSide) now() time.Duration {
	return time.Since(t.processStart)
}

// ServeHTTP handles an attempt sent by an entry node.
func (t *targetSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, err := t.decode(r)
	if err != nil {
		t.metrics.badHops.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in := &inbound{hop: h, request: r, startTime: time.Now(), fingerprint: callFingerprint(r.Header)}
	reply := t.admitAndRun(w, in)
	if reply != nil {
		t.writeLocalReply(w, in, reply)
	}
}

// decode parses the hop header. With TLS it requires that the attempt's entry node
// is the peer named by the certificate.
func (t *targetSide) decode(r *http.Request) (hop, error) {
	h, err := decodeHop(r.Header.Get(headerHop))
	if err != nil {
		return hop{}, err
	}
	if id := t.transport.PeerIdentity(r); r.TLS != nil && id != h.Attempt.Entry {
		return hop{}, errors.Errorf("peer %q sent an attempt of %q", id, h.Attempt.Entry)
	}
	return h, nil
}

func (t *targetSide) admitAndRun(w http.ResponseWriter, in *inbound) *localReply {
	if !t.drainer.Enter(model.RoleTarget) {
		_ = t.hooks.At(in.request.Context(), kernel.HookReject) // the attempt is rejected either way
		return notRunReply(model.ReasonDraining)
	}
	defer t.drainer.Leave(model.RoleTarget)
	if reply := t.register(in); reply != nil {
		return reply
	}
	if in.request.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(in.deadline) // a lost connection fails anyway
	}
	return t.run(w, in)
}

// register adds the attempt to the ledger and computes its deadline.
func (t *targetSide) register(in *inbound) *localReply {
	t.mu.Lock()
	now := t.now()
	outcome, reason := t.ledger.register(in.hop.Attempt, in.hop.Token, now)
	t.mu.Unlock()
	if reason != model.ReasonNone {
		return &localReply{outcome: outcome, reason: reason}
	}
	in.inLedger = true
	in.deadline = t.processStart.Add(hopDeadline(&in.hop, now))
	return nil
}

// hopDeadline returns the deadline of an attempt, measured from the node's start
// like now. The token's tick and its age at the entry node give the local time at
// which the attempt was sent, so time spent in a buffer while the node was paused
// counts against the deadline.
func hopDeadline(h *hop, now time.Duration) time.Duration {
	sent := h.Token.Tick + h.TokenAge
	return min(sent, now) + min(h.Remaining, config.MaxDeadline)
}

// run authorizes the attempt by the node's own snapshot, waits for a slot and calls
// the target.
func (t *targetSide) run(w http.ResponseWriter, in *inbound) *localReply {
	snapshot := t.configuration.Current()
	if snapshot == nil {
		return notRunReply(model.ReasonNoConfiguration)
	}
	t.configuration.ObserveRelease(in.hop.Attempt.Entry, in.hop.Release)
	urlPath, rawPath := targetPath(in.request)
	var reason model.Reason
	in.resolvedRequest, reason = resolveHop(snapshot, &in.hop, urlPath, rawPath)
	if reason == model.ReasonNone && in.service.Name != t.host.Service {
		reason = model.ReasonNoTarget
	}
	if reason != model.ReasonNone {
		return notRunReply(reason)
	}
	if !time.Now().Before(in.deadline) {
		return notRunReply(model.ReasonDeadline)
	}
	ctx, cancel := context.WithDeadline(in.request.Context(), in.deadline)
	defer cancel()
	guard := t.newGuard(in)
	if retryAfter, ok := guard.Enter(ctx, 0, time.Until(in.deadline)/2); !ok {
		return quarantinedReply(retryAfter)
	}
	defer guard.Leave()
	permit, rejection := t.admitter.Admit(ctx, model.AdmissionRequest{
		Snapshot: snapshot,
		Service:  in.service,
		Route:    in.route,
		Caller:   in.caller,
		Grant:    in.grant,
		Deadline: in.deadline,
	})
	if rejection != nil {
		in.overShare = rejection.OverShare
		return &localReply{outcome: model.OutcomeNotRun, reason: rejection.Reason, retryAfter: rejection.RetryAfter}
	}
	in.overShare = permit.OverShare()
	result, localReply := t.runAdmitted(ctx, w, in, guard)
	permit.Done(result)
	if localReply == nil && result.Failed {
		panic(http.ErrAbortHandler) // the response was truncated after its head
	}
	return localReply
}

// start marks the attempt as started unless it was fenced or its deadline has
// passed.
func (t *targetSide) start(ctx context.Context, in *inbound) *localReply {
	if err := t.hooks.At(ctx, kernel.HookStartAttempt); err != nil {
		return notRunReply(model.ReasonFenced)
	}
	if !time.Now().Before(in.deadline) {
		return notRunReply(model.ReasonDeadline)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ledger.start(in.hop.Attempt, t.now()) {
		return notRunReply(model.ReasonFenced)
	}
	return nil
}

func (t *targetSide) settle(in *inbound, state ledgerState) {
	if !in.inLedger {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.settle(in.hop.Attempt, state, t.now())
}

func (t *targetSide) runAdmitted(ctx context.Context, w http.ResponseWriter, in *inbound, guard *quarantine.Guard) (model.AdmissionResult, *localReply) {
	if retryAfter, ok := guard.Check(); !ok {
		return model.AdmissionResult{}, quarantinedReply(retryAfter)
	}
	if reply := t.start(ctx, in); reply != nil {
		return model.AdmissionResult{}, reply
	}
	startTime := time.Now()
	in.run = t.crashes.Started(in.fingerprint)
	completed := false
	defer func() { t.runEnded(in, completed) }()
	if in.request.ContentLength != 0 {
		allowEarlyAnswer(w)
	}
	response, dispatched, err := t.target.call(ctx, in)
	if err != nil {
		if errors.Is(err, errCrossedAnswer) {
			t.metrics.crossedAnswers.Add(1)
		}
		in.serviceTime = time.Since(startTime)
		reply := t.errorReply(ctx, in, dispatched)
		if reply.reason == model.ReasonTargetLost && !errors.Is(err, errCrossedAnswer) && t.targetCrashed(ctx) {
			reply.reason = model.ReasonTargetCrashed
		}
		return model.AdmissionResult{ServiceTime: in.serviceTime, Failed: true}, reply
	}
	t.crashes.Reached()
	defer response.Body.Close()
	t.unknownHeaders.Record(unknownheader.Names(response.Header, []string{targetHeaderPrefix}, []string{headerTargetShed}))
	if declaresShed(response) {
		in.serviceTime = time.Since(startTime)
		return model.AdmissionResult{ServiceTime: in.serviceTime, Shed: true}, shedReply(response)
	}
	t.settle(in, stateAnswered)
	if in.hop.Method != http.MethodHead && closeDelimited(response) {
		in.serviceTime = time.Since(startTime)
		return model.AdmissionResult{ServiceTime: in.serviceTime, Failed: true}, &localReply{outcome: model.OutcomeRan, reason: model.ReasonTargetLost}
	}
	err = t.relayResponse(ctx, w, in, response)
	in.serviceTime = time.Since(startTime)
	completed = err == nil
	t.record(in, model.OutcomeRan, model.ReasonNone, response.StatusCode)
	return model.AdmissionResult{ServiceTime: in.serviceTime, Failed: err != nil}, nil
}
