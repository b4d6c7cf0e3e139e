package forwarding

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// relayResponse forwards the target's response to the entry node.
func (t *targetSide) relayResponse(ctx context.Context, w http.ResponseWriter, in *inbound, response *http.Response) error {
	if err := t.hooks.At(ctx, kernel.HookResponseHead); err != nil {
		return err
	}
	header := w.Header()
	copyEndToEndHeaders(header, response.Header)
	t.setHopAnswer(header, in, &localReply{outcome: model.OutcomeRan})
	length := response.ContentLength
	if in.hop.Method == http.MethodHead {
		if length >= 0 {
			header[headerHopLength] = []string{strconv.FormatInt(length, 10)}
		}
		length = 0
	}
	if length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(response.StatusCode)
	if err := t.hooks.At(ctx, kernel.HookResponseBody); err != nil {
		return err
	}
	err := streamBody(w, response.Body, length, in.deadline)
	if hasNoBody(in.hop.Method, response.StatusCode) {
		return nil
	}
	return err
}

// setHopAnswer sets the response header that describes the attempt to the entry
// node.
func (t *targetSide) setHopAnswer(header http.Header, in *inbound, r *localReply) {
	answer := hopAnswer{
		Incarnation: in.hop.Attempt.Incarnation,
		Sequence:    in.hop.Attempt.Sequence,
		Outcome:     r.outcome,
		Reason:      r.reason,
		Load:        t.admitter.Load(),
		RetryAfter:  r.retryAfter,
	}
	t.addTokenAndRelease(&answer)
	header[headerHopAnswer] = []string{answer.encode()}
}

// addTokenAndRelease adds a new token and the number of the node's release.
func (t *targetSide) addTokenAndRelease(answer *hopAnswer) {
	t.mu.Lock()
	answer.Token = t.ledger.token(t.now())
	t.mu.Unlock()
	if snapshot := t.configuration.Current(); snapshot != nil {
		answer.Release = snapshot.Number
	}
}

// writeLocalReply responds to an attempt without a target response to forward, and
// settles it in the ledger.
func (t *targetSide) writeLocalReply(w http.ResponseWriter, in *inbound, r *localReply) {
	switch r.outcome {
	case model.OutcomeNotRun:
		t.settle(in, stateFenced)
	case model.OutcomeUnknown:
		t.settle(in, stateLost)
	}
	status := localReplyStatus(r.outcome, r.reason)
	t.setHopAnswer(w.Header(), in, r)
	t.setCrashReports(w.Header(), in, r.reason)
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
	t.record(in, r.outcome, r.reason, status)
}

func (t *targetSide) record(in *inbound, outcome model.Outcome, reason model.Reason, status int) {
	now := time.Now()
	t.metrics.targetOutcome(outcome)
	record := model.CallRecord{
		At:          now,
		Role:        model.RoleTarget,
		Outcome:     outcome,
		Reason:      reason,
		Status:      status,
		Latency:     now.Sub(in.startTime),
		ServiceTime: in.serviceTime,
		OverShare:   in.overShare,
		Service:     in.hop.Service,
		Route:       in.hop.Route,
		Caller:      in.hop.Caller,
	}
	in.fillNames(&record)
	t.recorder.Record(record)
}
