// Package requestlog finds the log lines of one request in the logs of several nodes
// and explains the result of the request.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"

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

// noLoadAge is a load age in milliseconds; a line with a higher one means that the
// entry node had no load report from the target yet.
const noLoadAge = 24 * 60 * 60 * 1000
