package requestlog

import (
	"fmt"
	"strings"

	"github.com/bronzemast/bronzemast/finding"
)

// History holds the log lines of one request.
type History struct {
	Request string
	// Lines are in causal order: each attempt, followed by the target side's result of
	// it, and the end of the request.
	Lines []Line
	// Findings name the lines that could not be read.
	Findings finding.List
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
