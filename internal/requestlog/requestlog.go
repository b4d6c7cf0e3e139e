// Package requestlog finds the log lines of one request in the logs of several nodes
// and explains the result of the request.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// The numbers of the events that concern requests; docs/EVENTS.md describes them.
const (
	eventAttempt    = 2200
	eventEnd        = 2201
	eventTargetSide = 2202
	eventRejected   = 2206
)

const (
	// maxLineBytes bounds the length of a line; a longer line is skipped with a finding.
	maxLineBytes = 1 << 20
	// defaultProgressInterval is the number of bytes between progress reports.
	defaultProgressInterval = 256 << 20
)

// Line is a log line about a request. Its JSON names are the field names of the log;
// fields that an event does not have are zero.
type Line struct {
	Event     int    `json:"event"`
	Time      string `json:"time"`
	Host      string `json:"host"`
	Request   string `json:"request"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	Authority string `json:"authority"`
	Path      string `json:"path"`
	Target    string `json:"target"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	// Fingerprint identifies equal requests. It is set only for those that targets have crashed
	// under.
	Fingerprint string  `json:"fingerprint,omitempty"`
	Status      int     `json:"status"`
	Hop         int     `json:"hop"`
	Hops        int     `json:"hops"`
	Dispatched  bool    `json:"handed"`
	Rank        int     `json:"rank"`
	Nested      bool    `json:"nested"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Slots       int     `json:"slots"`
	Occupied    float64 `json:"occupied"`
	LoadAgeMs   int64   `json:"load_age_ms"`
	ExpectedMs  int64   `json:"expected_ms"`
	// Limit is the rate that the target accepts, in requests per second.
	Limit         float64 `json:"limit"`
	StartWithinMs int64   `json:"start_within_ms"`
	QueuedMs      int64   `json:"waited_ms"`
	ServiceTimeMs int64   `json:"worked_ms"`
	DurationMs    int64   `json:"took_ms"`
	TimeLeftMs    int64   `json:"left_ms"`
	RetryAfterMs  int64   `json:"retry_after_ms"`
	Configuration uint64  `json:"configuration"`
	// Revision and SenderRevision are positions of the store.
	Revision       model.Position `json:"revision"`
	SenderRevision model.Position `json:"sender_revision"`
}

// History holds the log lines of one request.
type History struct {
	Request string
	// Lines are in causal order: each attempt, followed by the target side's result of
	// it, and the end of the request.
	Lines []Line
	// Findings name the lines that could not be read.
	Findings finding.List
}

// Reader collects the lines of one request from logs.
type Reader struct {
	history History
	// progress is called with the number of bytes of a log read so far; it may be nil.
	progress func(name string, bytes int64)
	// progressInterval is the number of bytes between calls of progress.
	progressInterval int64
}

// NewReader returns a reader for the request with the given ID. While a long log is read,
// progress, which may be nil, is called with the log's name and the number of bytes read.
func NewReader(request string, progress func(name string, bytes int64)) *Reader {
	return &Reader{history: History{Request: request}, progress: progress, progressInterval: defaultProgressInterval}
}

// Read reads a log to its end and keeps the lines of the request. Lines that cannot be
// read become findings. It returns an error if reading the log fails.
func (r *Reader) Read(name string, log io.Reader) error {
	lines := bufio.NewReaderSize(log, 64<<10)
	requestID := []byte(r.history.Request)
	var read, reported int64
	for number := 1; ; number++ {
		line, size, complete, err := readLine(lines)
		read += int64(size)
		if r.progress != nil && read-reported >= r.progressInterval {
			reported = read
			r.progress(name, read)
		}
		place := finding.Place{File: name, Line: number}
		switch {
		case !complete:
			r.history.Findings.Warnf(place, "the line is longer than %d bytes", maxLineBytes)
		case len(line) > 0:
			r.addLine(place, line, requestID)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
}

// readLine returns the next line and the number of bytes read. If the line is longer than
// maxLineBytes, complete is false and the line is truncated.
func readLine(lines *bufio.Reader) (line []byte, size int, complete bool, err error) {
	complete = true
	for {
		part, err := lines.ReadSlice('\n')
		size += len(part)
		if len(line)+len(part) > maxLineBytes {
			complete = false
		} else {
			line = append(line, part...)
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimSpace(line), size, complete, err
		}
	}
}

// addLine adds a line to the history if it is an event of the request. Lines that do not
// contain the request's ID are not decoded.
func (r *Reader) addLine(place finding.Place, text, requestID []byte) {
	if !bytes.Contains(text, requestID) {
		return
	}
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		r.history.Findings.Warnf(place, "the line contains the request ID but cannot be decoded: %v", err)
		return
	}
	if line.Request != r.history.Request {
		return
	}
	switch line.Event {
	case eventAttempt, eventEnd, eventTargetSide, eventRejected:
		r.history.Lines = append(r.history.Lines, line)
	default:
		r.history.Findings.Warnf(place, "event %d is unknown; the log may come from another version", line.Event)
	}
}

// History returns the lines read so far, in causal order.
func (r *Reader) History() *History {
	h := &r.history
	sort.SliceStable(h.Lines, func(i, j int) bool { return h.position(h.Lines[i]) < h.position(h.Lines[j]) })
	return h
}

// position returns the sort key of a line in causal order. It does not depend on the
// times of the lines, because the clocks of hosts may differ. A line of the target side
// follows the attempt at that target.
func (h *History) position(l Line) int {
	const perHop = 2
	switch l.Event {
	case eventEnd, eventRejected:
		return perHop * (len(h.Lines) + 1)
	case eventAttempt:
		return perHop * l.Hop
	}
	for _, a := range h.Lines {
		if a.Event == eventAttempt && a.Target == l.Target && a.Reason == l.Reason {
			return perHop*a.Hop + 1
		}
	}
	return 0
}

// Text returns the history, one line per event, and its conclusion.
func (h *History) Text() string {
	var b strings.Builder
	for _, l := range h.Lines {
		fmt.Fprintf(&b, "%s  %s  %s\n", l.Time, l.Host, l.text())
	}
	fmt.Fprintf(&b, "\n%s\n", h.Conclusion())
	return b.String()
}

// text describes the event of a line.
func (l Line) text() string {
	switch l.Event {
	case eventAttempt:
		return fmt.Sprintf("attempt %d at target %s: %s after %d ms; estimated %.0f of %d slots occupied, based on %s",
			l.Hop, l.Target, l.result(), l.DurationMs, l.Occupied, l.Slots, l.loadText())
	case eventTargetSide:
		return fmt.Sprintf("target side of %s: %s; found %d running and %d waiting for %d slots, expected a service time of %d ms, queued for %d ms, service time %d ms; revision %s, sender's revision %s",
			l.Target, l.result(), l.Running, l.Waiting, l.Slots, l.ExpectedMs, l.QueuedMs, l.ServiceTimeMs, l.Revision, l.SenderRevision)
	case eventRejected:
		return fmt.Sprintf("rejected by the entry node: %s, status %d; authority %q, path %q, configuration %d, revision %s",
			l.Reason, l.Status, l.Authority, l.Path, l.Configuration, l.Revision)
	default:
		return fmt.Sprintf("end: %s, status %d, after %d ms and %d hops; configuration %d, revision %s",
			l.result(), l.Status, l.DurationMs, l.Hops, l.Configuration, l.Revision)
	}
}

// noLoadAge is a load age in milliseconds; a line with a higher one means that the
// entry node had no load report from the target yet.
const noLoadAge = 24 * 60 * 60 * 1000

// loadText describes the load report that an attempt was based on.
func (l Line) loadText() string {
	if l.LoadAgeMs > noLoadAge {
		return "no load report yet"
	}
	return fmt.Sprintf("a load report %d ms old", l.LoadAgeMs)
}

// result returns the outcome with its reason, if there is one.
func (l Line) result() string {
	if l.Reason == "" {
		return l.Outcome
	}
	return l.Outcome + " (" + l.Reason + ")"
}

// lastLine returns the last line of an event, nil if there is none.
func (h *History) lastLine(event int) *Line {
	for i := len(h.Lines) - 1; i >= 0; i-- {
		if h.Lines[i].Event == event {
			return &h.Lines[i]
		}
	}
	return nil
}

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
