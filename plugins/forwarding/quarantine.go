package forwarding

import (
	"context"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// headerFingerprint carries the fingerprint of a call to the target-side node, which reads
	// the body only while it forwards it.
	headerFingerprint = "Bronzemast-Fingerprint"
	// headerCrashReports carries the evidence on a call that has crashed its target, or is kept
	// from it for that reason, on a response.
	headerCrashReports = "Bronzemast-Crash-Reports"
)

// identify returns the fingerprint of the caller's request.
func (c *call) identify() quarantine.Fingerprint {
	r := quarantine.Request{
		Caller:    c.caller.Name,
		Method:    c.request.Method,
		Authority: c.service.Name,
		Target:    c.request.URL.RequestURI(),
		Body:      c.body.prefix,
		Streamed:  c.body.rest != nil,
	}
	return r.Fingerprint()
}

// verdict returns whether the call may be sent to a target.
func (e *entry) verdict(c *call) quarantine.Verdict {
	return quarantine.VerdictOn(e.quarantine, func() quarantine.Fingerprint { return c.fingerprint })
}

// quarantinedResult returns the result of a call that must not be sent to a target: that of its
// last attempt, or a rejection if there was none.
func quarantinedResult(c *call, last attemptResult, verdict quarantine.Verdict) attemptResult {
	if c.attempts > 0 {
		last.response = nil
		return last
	}
	result := notRun(model.ReasonQuarantined)
	result.retryAfter = verdict.RetryAfter
	return result
}

// allButIsolationTarget returns the hosts to exclude so that only the isolation target of a call
// is left, besides those that the call has tried.
func allButIsolationTarget(f quarantine.Fingerprint, members []*model.Member, tried []model.HostID) []model.HostID {
	var ids []string
	for _, m := range members {
		if m.State == model.MemberLive && !m.Leaving && !slices.Contains(tried, m.ID) {
			ids = append(ids, string(m.ID))
		}
	}
	chosen := quarantine.IsolationTarget(f, ids)
	excluded := slices.Clone(tried)
	for _, m := range members {
		if chosen < 0 || string(m.ID) != ids[chosen] {
			excluded = append(excluded, m.ID)
		}
	}
	return excluded
}

// learnCrashReports adds the evidence in the header of a response. One that cannot be read is
// ignored: the nodes also tell one another.
func (e *entry) learnCrashReports(header http.Header) {
	reports, err := quarantine.DecodeHeader(header.Get(headerCrashReports))
	if err != nil {
		e.metrics.badCrashReports.Add(1)
		return
	}
	e.quarantine.Learn(reports)
}

// callFingerprint returns the fingerprint that the entry node has sent, zero if it sent none, as
// nodes of earlier versions do.
func callFingerprint(header http.Header) quarantine.Fingerprint {
	f, err := quarantine.ParseFingerprint(header.Get(headerFingerprint))
	if err != nil {
		return quarantine.Fingerprint{}
	}
	return f
}

// newGuard returns the guard of a call at the target side.
func (t *targetSide) newGuard(in *inbound) *quarantine.Guard {
	return quarantine.NewGuard(t.quarantine, t.isolation, func() quarantine.Fingerprint { return in.fingerprint })
}

func quarantinedReply(retryAfter time.Duration) *localReply {
	reply := notRunReply(model.ReasonQuarantined)
	reply.retryAfter = retryAfter
	return reply
}

// runEnded records the end of a call at the target.
func (t *targetSide) runEnded(in *inbound, completed bool) {
	t.crashes.Ended(in.run, completed)
	if completed {
		t.quarantine.RecordRun(in.fingerprint)
	}
}

// targetCrashed reports whether the target of a call without an answer has crashed. It does not
// count if the node is shutting down: then the target may end with calls in flight.
func (t *targetSide) targetCrashed(ctx context.Context) bool {
	if t.drainer.Stage() != model.StageServing {
		return false
	}
	return t.crashes.Crashed(ctx, t.target.refusesConnections, func(suspects []quarantine.Fingerprint) {
		suspects = slices.DeleteFunc(suspects, func(f quarantine.Fingerprint) bool { return f == quarantine.Fingerprint{} })
		t.quarantine.RecordCrash(suspects)
		t.log.Emit(eventTargetCrashed, event.Fields{"target": t.target.address, "fingerprints": quarantine.Texts(suspects)})
	})
}

// reportReached returns dial with a report to the detector of each connection that the target
// has accepted.
func reportReached(crashes *quarantine.Detector, dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := dial(ctx, address)
		if err == nil {
			crashes.Reached()
		}
		return connection, err
	}
}

// refusesConnections reports whether nothing listens at the address of the target.
func (t *target) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), targetDialTimeout)
	defer cancel()
	connection, err := t.dial(ctx, t.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // only the connection attempt matters
	return false
}

// setCrashReports adds the evidence on a call to the header of a local reply, if it concerns the
// call.
func (t *targetSide) setCrashReports(header http.Header, in *inbound, reason model.Reason) {
	if reason != model.ReasonTargetCrashed && reason != model.ReasonQuarantined {
		return
	}
	header[headerCrashReports] = []string{quarantine.EncodeHeader(t.quarantine.Reports(in.fingerprint))}
}

// peerAddresses returns the peer addresses of the members that are not dead, nil if there are
// none.
func peerAddresses(view *model.View) []string {
	var peers []string
	for i := range view.Members {
		if m := &view.Members[i]; m.State != model.MemberDead {
			peers = append(peers, m.PeerAddress)
		}
	}
	return peers
}
