package forwarding

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// statusByReason maps the reason of a local reply, which is sent in place of a
// target's response, to its HTTP status.
var statusByReason = map[model.Reason]int{
	model.ReasonNoConfiguration: http.StatusServiceUnavailable,
	model.ReasonUnauthenticated: http.StatusUnauthorized,
	model.ReasonNotPermitted:    http.StatusForbidden,
	model.ReasonNoService:       http.StatusNotFound,
	model.ReasonNoRoute:         http.StatusNotFound,
	model.ReasonNoTarget:        http.StatusServiceUnavailable,
	model.ReasonRateLimited:     http.StatusTooManyRequests,
	model.ReasonOverShare:       http.StatusTooManyRequests,
	model.ReasonOverloaded:      http.StatusServiceUnavailable,
	model.ReasonDeadline:        http.StatusGatewayTimeout,
	model.ReasonDraining:        http.StatusServiceUnavailable,
	model.ReasonUnreachable:     http.StatusServiceUnavailable,
	model.ReasonStaleToken:      http.StatusServiceUnavailable,
	model.ReasonFenced:          http.StatusServiceUnavailable,
	model.ReasonDuplicate:       http.StatusBadGateway,
	model.ReasonCanceled:        statusClientClosed,
	model.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	model.ReasonBadRequest:      http.StatusBadRequest,
	model.ReasonTargetRefused:   http.StatusServiceUnavailable,
	model.ReasonTargetLost:      http.StatusBadGateway,
	model.ReasonTargetCrashed:   http.StatusBadGateway,
	model.ReasonQuarantined:     http.StatusServiceUnavailable,
	model.ReasonPeerLost:        http.StatusBadGateway,
	model.ReasonRetryBudget:     http.StatusServiceUnavailable,
	model.ReasonNoMemory:        http.StatusServiceUnavailable,
}

// statusClientClosed is recorded for a call whose caller has disconnected; it is
// never received.
const statusClientClosed = 499

// statusOf returns the HTTP status for a reason, 502 if the reason has none.
func statusOf(reason model.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusBadGateway
}

// localReplyStatus returns the HTTP status of a local reply. Statuses that make
// callers retry are used only for calls that have not run.
func localReplyStatus(outcome model.Outcome, reason model.Reason) int {
	status := statusOf(reason)
	if outcome != model.OutcomeNotRun && isRetryableStatus(status) {
		return http.StatusBadGateway
	}
	return status
}

func isRetryableStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// minRetryAfter is the resolution of the header Retry-After.
const minRetryAfter = time.Second

// retryAfterSeconds returns the value of the header Retry-After, rounded up to whole
// seconds. It is empty if a response with this status has no such header.
func retryAfterSeconds(status int, after time.Duration) string {
	if !isRetryableStatus(status) {
		return ""
	}
	after = max(after, minRetryAfter)
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}
