package sidecar

import (
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
)

// fingerprint returns the fingerprint of the caller's request.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.identity == nil {
		f := c.body.fingerprint(c.method, c.authority, c.target)
		c.identity = &f
	}
	return *c.identity
}

// verdict returns whether the call may be sent to a target.
func (e *entry) verdict(c *call) quarantine.Verdict {
	return quarantine.VerdictOn(e.quarantine, c.fingerprint)
}

// quarantinedAnswer returns the answer of a call that must not be sent to a target: that of
// its last attempt, which may have run, or a rejection if there was none.
func quarantinedAnswer(last *answer, verdict quarantine.Verdict) *answer {
	if last != nil {
		return last
	}
	a := notRunAnswer(model.ReasonQuarantined)
	a.RetryAfter = verdict.RetryAfter
	return a
}

// newGuard returns the guard of a request at the target side.
func (s *targetSide) newGuard(inst *instance, h *handover, body *messageBody) *quarantine.Guard {
	return quarantine.NewGuard(s.quarantine, inst.isolation, func() quarantine.Fingerprint { return h.fingerprint(body) })
}

// quarantined returns the answer of a request that is kept from the target, with the evidence,
// which its entry node may not have.
func (s *targetSide) quarantined(h *handover, body *messageBody, retryAfter time.Duration) *answer {
	a := notRunAnswer(model.ReasonQuarantined)
	a.RetryAfter = retryAfter
	a.crashReports = s.quarantine.Reports(h.fingerprint(body))
	return a
}

// setCrashReports adds the evidence on a request to the header of its response.
func setCrashReports(header http.Header, reports []quarantine.Report) {
	if len(reports) > 0 {
		header[headerCrashReports] = []string{quarantine.EncodeHeader(reports)}
	}
}
