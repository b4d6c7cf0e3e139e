package requestlog

import (
	"fmt"
)

// Conclusion explains the result of the request, and says if its entry node acted on an
// older revision of the store than the target's node.
func (h *History) Conclusion() string {
	conclusion := h.cause()
	targetSide := h.lastLine(eventTargetSide)
	if targetSide != nil && targetSide.SenderRevision.Before(targetSide.Revision) {
		conclusion += fmt.Sprintf(" Its entry node acted on revision %s of the store while the target's node had revision %s.", targetSide.SenderRevision, targetSide.Revision)
	}
	return conclusion
}

// cause explains the result of the request in one sentence.
func (h *History) cause() string {
	end, targetSide := h.lastLine(eventEnd), h.lastLine(eventTargetSide)
	if rejected := h.lastLine(eventRejected); rejected != nil && end == nil {
		return rejected.rejectionCause()
	}
	if end == nil {
		return "The logs do not contain the end of the request: its entry node ended before it logged that, or its log is missing."
	}
	switch {
	case end.Outcome == "ran" && end.Status < 500:
		return fmt.Sprintf("The request ran and was answered with %d after %d ms.", end.Status, end.DurationMs)
	case end.Outcome == "ran":
		return fmt.Sprintf("The target ran the request and returned the error status %d itself.", end.Status)
	case end.Reason == "overloaded" && targetSide != nil:
		return fmt.Sprintf("The request was refused by overload: %s had %d of %d slots occupied and %d requests waiting, and the request could wait at most %d ms; the caller was asked to retry after %d ms.",
			targetSide.Target, targetSide.Running, targetSide.Slots, targetSide.Waiting, targetSide.StartWithinMs, end.RetryAfterMs)
	case end.Reason == "overloaded":
		return fmt.Sprintf("The request was refused by overload: all targets had recently been full; the caller was asked to retry after %d ms.", end.RetryAfterMs)
	case end.Reason == "target-limited" && targetSide != nil:
		return fmt.Sprintf("The request was refused by a limit: %s accepts %g requests per second at present, and the request could wait at most %d ms; the caller was asked to retry after %d ms.",
			targetSide.Target, targetSide.Limit, targetSide.StartWithinMs, end.RetryAfterMs)
	case end.Reason == "target-limited":
		return fmt.Sprintf("The request was refused by a limit: the targets accept only a limited rate at present, which was used up; the caller was asked to retry after %d ms.", end.RetryAfterMs)
	case end.Reason == "link-full":
		return fmt.Sprintf("The request was refused since its answer could not have been sent in time: the links of the targets' hosts were full of large answers; the caller was asked to retry after %d ms.", end.RetryAfterMs)
	case end.Reason == "evacuated":
		return fmt.Sprintf("The request was refused since all targets of service %s are in failure domains that an operator evacuates (event 2110); the caller was asked to retry after %d ms.", end.Service, end.RetryAfterMs)
	case end.Reason == "target-lost":
		return "The target ended, or aborted its response, while it processed the request; whether the request ran is unknown."
	case end.Reason == "target-crashed":
		return fmt.Sprintf("The target ended while it processed the request, and accepted no connection afterwards; whether the request ran is unknown. The request has the fingerprint %s.", end.Fingerprint)
	case end.Reason == "quarantined":
		return fmt.Sprintf("The request was kept from targets, since some have crashed while they ran it; the caller was asked to retry after %d ms. The request has the fingerprint %s; events 2209 and 2300 with it name the crashes.", end.RetryAfterMs, end.Fingerprint)
	case end.Reason == "peer-lost":
		return "The target's node ended or stopped responding after it had received the request; whether the request ran is unknown."
	case end.Reason == "deadline":
		return fmt.Sprintf("The deadline of the request passed after %d ms, %s.", end.DurationMs, deadlineStage(targetSide))
	case end.Reason == "canceled":
		return fmt.Sprintf("The caller canceled the request after %d ms.", end.DurationMs)
	case end.Reason == "no-target" || end.Reason == "unreachable" || end.Reason == "draining":
		return fmt.Sprintf("No target of service %s accepted the request (%s); the target list was that of revision %s.", end.Service, end.Reason, end.Revision)
	case end.Reason == "target-refused":
		return "The target itself reported that it did not run the request, and no retry was left."
	default:
		return fmt.Sprintf("The request ended as %s under configuration %d.", end.result(), end.Configuration)
	}
}

// rejectionCause explains why the entry node rejected a request without selecting a
// target.
func (l *Line) rejectionCause() string {
	switch l.Reason {
	case "no-route":
		return fmt.Sprintf("No route of configuration %d, which the entry node had at revision %s of the store, matches authority %q and path %q.", l.Configuration, l.Revision, l.Authority, l.Path)
	case "no-configuration":
		return "The entry node had no configuration yet."
	case "stale-configuration":
		return fmt.Sprintf("The entry node could not learn whether its configuration %d, of revision %s of the store, was still the latest one.", l.Configuration, l.Revision)
	case "draining":
		return fmt.Sprintf("The entry node was shutting down; the caller was asked to retry after %d ms.", l.RetryAfterMs)
	default:
		return fmt.Sprintf("The entry node rejected the request (%s).", l.Reason)
	}
}

// deadlineStage says at which stage a request was when its deadline passed.
func deadlineStage(targetSide *Line) string {
	if targetSide == nil {
		return "before a target's node logged it"
	}
	return fmt.Sprintf("while target %s processed it or its response was in transit", targetSide.Target)
}
