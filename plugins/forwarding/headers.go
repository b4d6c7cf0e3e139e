package forwarding

import (
	"net/http"
	"strings"

	"github.com/bronzemast/bronzemast/model"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// reservedHeaders are set by nodes only and not forwarded from callers or targets.
var reservedHeaders = map[string]bool{
	headerHop:             true,
	headerHopAnswer:       true,
	headerHopLength:       true,
	headerFingerprint:     true,
	headerCrashReports:    true,
	model.HeaderOutcome:   true,
	model.HeaderReason:    true,
	model.HeaderRequestID: true,
	model.HeaderDeadline:  true,
	model.HeaderRelease:   true,
	model.HeaderDepth:     true,
	headerCaller:          true,
	headerTargetShed:      true,
}

// The headers between a node and its target.
const (
	// headerCaller carries the caller's name to the target.
	headerCaller = "Bronzemast-Caller"
	// headerTargetShed is set to 1 by a target on a response with status 429 or
	// 503 to declare that it did not execute the call.
	headerTargetShed = "Bronzemast-Target-Shed"
	// targetHeaderPrefix is the prefix of the headers by which a target describes itself.
	targetHeaderPrefix = "Bronzemast-Target-"
)

// copyEndToEndHeaders adds the end-to-end headers of src to dst.
func copyEndToEndHeaders(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if hopByHopHeaders[name] || reservedHeaders[name] || (named != nil && namedByConnection(named, name)) {
			continue
		}
		dst[name] = values
	}
}

func namedByConnection(connection []string, name string) bool {
	for _, value := range connection {
		for field := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}

// hideIdempotencyKeys renames the headers that make http.Transport treat a request
// as replayable to lower case. Header names are case-insensitive on the wire.
func hideIdempotencyKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
