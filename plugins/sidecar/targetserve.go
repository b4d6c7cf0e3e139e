package sidecar

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// ServeHTTP serves requests from other nodes.
func (s *targetSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	s.drain.requestStarted()
	rejected := false
	defer func() { s.drain.requestEnded(rejected) }()
	h, err := decodeHandover(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.sender = parseHost(host)
		s.replica.ObservePosition(net.JoinHostPort(host, s.peerPort), h.position())
	}
	body, err := s.readRequest(w, r, h)
	if errors.Is(err, errNoMemory) {
		s.writeAnswer(w, r, h, s.noMemoryAnswer(h), received)
		return
	}
	if err != nil {
		return // the sender has disconnected, or stopped before the end of the body
	}
	if !body.buffered() {
		// Otherwise net/http discards what is left of the body before it writes the response,
		// and takes pieces of it away while it is still sent on to the target.
		_ = http.NewResponseController(w).EnableFullDuplex() // only HTTP/1 needs it
	}
	a := s.handle(r.Context(), h, forwardedHeaders(r.Header), body)
	defer a.close()
	rejected = a.Reason == model.ReasonDraining
	s.writeAnswer(w, r, h, a, received)
}

// readRequest reads the body of a request from another node, until its deadline at the latest. The read
// deadline remains only while there is more to read: afterwards net/http takes an expired one for a
// sender that has disconnected.
func (s *targetSide) readRequest(w http.ResponseWriter, r *http.Request, h *handover) (*messageBody, error) {
	if r.ContentLength == 0 {
		return &messageBody{}, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.Remaining)) // a lost connection fails anyway
	body, err := readBody(r.Body, requestLimits(r, 0))
	if err == nil && body.buffered() {
		_ = control.SetReadDeadline(time.Time{}) // as above
	}
	return body, err
}

// noMemoryAnswer returns the answer of a request for whose body there is no memory.
func (s *targetSide) noMemoryAnswer(h *handover) *answer {
	a := notRunAnswer(model.ReasonNoMemory)
	a.RetryAfter = noMemoryRetryAfter
	if inst, _ := s.instanceOf(h); inst != nil {
		a.Load = inst.load()
		a.Load.Leaving = s.drain.closed()
		a.announced = inst.state()
	}
	return a
}

// writeAnswer writes the answer to a request from another node.
func (s *targetSide) writeAnswer(w http.ResponseWriter, r *http.Request, h *handover, a *answer, received time.Time) {
	a.Version = handoverVersion
	position := s.replica.Position()
	a.Revision = position.Revision
	header := w.Header()
	for name, values := range forwardedHeaders(a.header) {
		header[name] = values
	}
	header[headerResult] = []string{cborheader.Encode(&a.result)}
	a.announced.set(header)
	setCrashReports(header, a.crashReports)
	position.SetHeader(header)
	if a.status == 0 {
		a.status = http.StatusServiceUnavailable
	}
	writeResponse(r.Context(), w, a, h.Method, received.Add(h.Remaining))
}

// parseHost parses the address of a host, the zero address if it is not one.
func parseHost(text string) netip.Addr {
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}
	}
	return address.Unmap()
}
