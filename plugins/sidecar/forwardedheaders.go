package sidecar

import (
	"net/http"
	"strings"

	"github.com/bronzemast/bronzemast/model"
)

// hopByHopHeaders apply to one connection and are not forwarded. Content-Length is among
// them because it is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardedHeaders returns the headers that are forwarded: all but the hop-by-hop ones,
// those named by Connection and the nodes' own.
func forwardedHeaders(h http.Header) http.Header {
	kept := make(http.Header, len(h)+4)
	for name, values := range h {
		kept[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(kept, name)
	}
	delete(kept, headerHandover)
	delete(kept, headerResult)
	delete(kept, headerTargetState)
	delete(kept, headerCrashReports)
	delete(kept, model.HeaderEra)
	return kept
}
