package invariant

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// call holds the observations of a call.
type call struct {
	sent       Call
	executions []Execution
	responded  bool
	response   Response
}

// Call is a call that a caller has sent.
type Call struct {
	ID         string
	Caller     string
	Service    string
	Idempotent bool
	// Permitted is set if a release in force during the call allows it.
	Permitted bool
}

// Execution is a call that a target has started to execute.
type Execution struct {
	CallID string
	Host   model.HostID
	At     time.Time
}

// Response is the response that a caller received for a call.
type Response struct {
	CallID  string
	Outcome model.Outcome
	// Complete is false if the response was truncated without an error.
	Complete bool
	// BelongsTo is the ID of the call that the content of the response names; empty if
	// the node itself wrote the response.
	BelongsTo string
	// CutByShutdown is set if the response was interrupted because a node or target
	// that was shutting down gracefully closed the connection.
	CutByShutdown bool
}

// Sent records a call that a caller has sent.
func (c *Checker) Sent(sent Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[sent.ID] = &call{sent: sent}
}

// Executed records that a target has started to execute a call.
func (c *Checker) Executed(e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.host(e.Host)
	if !h.leavingSince.IsZero() && e.At.Sub(h.leavingSince) > c.bounds.LeavingGrace {
		c.violate(NoWorkWhileLeaving, "host %s started call %s %s after it was marked as leaving", e.Host, e.CallID, e.At.Sub(h.leavingSince))
	}
	sent := c.calls[e.CallID]
	if sent == nil {
		c.violate(PermittedOnly, "host %s executed call %q, which no caller sent", e.Host, e.CallID)
		return
	}
	sent.executions = append(sent.executions, e)
	if !sent.sent.Permitted {
		c.violate(PermittedOnly, "host %s executed call %s of caller %s, which may not call %s", e.Host, e.CallID, sent.sent.Caller, sent.sent.Service)
	}
	if len(sent.executions) > 1 && !sent.sent.Idempotent {
		c.violate(AtMostOnce, "call %s was executed %d times, at %s and %s", e.CallID, len(sent.executions), sent.executions[0].Host, e.Host)
	}
	c.checkNotRun(sent)
}

// Responded records the response to a call.
func (c *Checker) Responded(r Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.calls[r.CallID]
	if sent == nil {
		c.violate(OwnWholeAnswer, "response to call %q, which no caller sent", r.CallID)
		return
	}
	if sent.responded {
		c.violate(OwnWholeAnswer, "call %s received two responses", r.CallID)
		return
	}
	sent.responded = true
	sent.response = r
	if !r.Complete {
		c.violate(OwnWholeAnswer, "call %s received a truncated response without an error", r.CallID)
	}
	if r.BelongsTo != "" && r.BelongsTo != r.CallID {
		c.violate(OwnWholeAnswer, "call %s received the response to call %s", r.CallID, r.BelongsTo)
	}
	if r.CutByShutdown {
		c.violate(GracefulShutdown, "call %s was interrupted by a graceful shutdown", r.CallID)
	}
	c.checkNotRun(sent)
}

// checkNotRun checks that a call reported as not run was not executed.
func (c *Checker) checkNotRun(sent *call) {
	if !sent.responded || sent.response.Outcome != model.OutcomeNotRun || len(sent.executions) == 0 {
		return
	}
	c.violate(TruthfulNotRun, "call %s was reported as not run but was executed at %s", sent.sent.ID, sent.executions[0].Host)
}

// CallCounts holds the number of calls by their outcome.
type CallCounts struct {
	Sent       int `json:"sent"`
	Ran        int `json:"ran"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	Unanswered int `json:"unanswered"`
	Executions int `json:"executions"`
}

func (c *Checker) callCounts() CallCounts {
	var counts CallCounts
	for _, k := range c.calls {
		counts.Sent++
		counts.Executions += len(k.executions)
		switch {
		case !k.responded:
			counts.Unanswered++
		case k.response.Outcome == model.OutcomeRan:
			counts.Ran++
		case k.response.Outcome == model.OutcomeNotRun:
			counts.NotRun++
		default:
			counts.Unknown++
		}
	}
	return counts
}
