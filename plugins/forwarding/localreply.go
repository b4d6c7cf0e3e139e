package forwarding

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// localReply is the result of an attempt without a target response to forward, so
// that the target-side node responds itself.
type localReply struct {
	outcome    model.Outcome
	reason     model.Reason
	retryAfter time.Duration
}

func notRunReply(reason model.Reason) *localReply {
	return &localReply{outcome: model.OutcomeNotRun, reason: reason}
}

// deadlinePrecision bounds the rounding error of the deadline that is sent to the
// target in whole milliseconds. A target that honors the deadline may abort up to
// this much early.
const deadlinePrecision = 2 * time.Millisecond

// errorReply returns the reply to an attempt whose request to the target failed.
func (t *targetSide) errorReply(ctx context.Context, in *inbound, dispatched bool) *localReply {
	reply := &localReply{outcome: model.OutcomeUnknown, reason: model.ReasonTargetLost}
	if !dispatched {
		reply = notRunReply(model.ReasonUnreachable)
	}
	switch {
	case ctx.Err() != nil:
		reply.reason = contextReason(ctx)
	case time.Until(in.deadline) <= deadlinePrecision:
		reply.reason = model.ReasonDeadline
	}
	return reply
}

func contextReason(ctx context.Context) model.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return model.ReasonDeadline
	}
	return model.ReasonCanceled
}

// declaresShed reports whether the target declares that it did not execute the
// call.
func declaresShed(r *http.Response) bool {
	if r.StatusCode != http.StatusServiceUnavailable && r.StatusCode != http.StatusTooManyRequests {
		return false
	}
	return r.Header.Get(headerTargetShed) == "1"
}

func shedReply(r *http.Response) *localReply {
	reply := notRunReply(model.ReasonTargetRefused)
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		reply.retryAfter = time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
	}
	return reply
}

// maxRetryAfterSeconds is the maximum Retry-After accepted from a target.
const maxRetryAfterSeconds = 3600

// closeDelimited reports whether a response ends only with its connection, so that
// a truncated response cannot be detected.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
