package sidecar

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/internal/quarantine"
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/bronzemast/bronzemast/model"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// pathHandover is the path on which a node accepts requests for its target from
	// other nodes.
	pathHandover = "/v1/handover"
	// headerHandover carries the handover on a request between nodes, and headerResult
	// the result on its response.
	headerHandover = "Bronzemast-Handover"
	headerResult   = "Bronzemast-Result"
	// headerTargetState carries what is known of the target's announcements, on a request
	// and on its response. It is absent if there are none.
	headerTargetState = "Bronzemast-Target-State"
	// headerCrashReports carries the evidence on a request that has crashed its target, or is
	// kept from it for that reason, on a response.
	headerCrashReports = "Bronzemast-Crash-Reports"
	// handoverVersion is the version of both headers.
	handoverVersion = 1
	// maxHandoverBytes bounds the length of both header values, in bytes.
	maxHandoverBytes = 32 << 10
)

// handover is the metadata that the entry node sends with a request to the node beside the
// target. It is encoded as a CBOR array, so the order of the fields is part of the
// protocol.
type handover struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	// ID is the caller's request ID.
	ID string
	// Method, Target and Authority are copied from the caller's request.
	Method    string
	Target    string
	Authority string
	// Route is the route's name; the target-side node keeps run times per route.
	Route   string
	Service string
	// Instance is the ID of the target that must run the request.
	Instance      model.TargetID
	CallerService string
	// Remaining is the time left until the request's deadline, and ObjectiveRemaining the
	// time left until the route's objective is missed, both as of sending.
	Remaining          time.Duration
	ObjectiveRemaining time.Duration
	Objective          time.Duration
	Rank               int
	// MaxQueueWait is the longest expected wait for a slot. A request that is expected to
	// wait longer is rejected, so that it can go to another target.
	MaxQueueWait time.Duration
	// Revision is the revision of the store that the sender has. Its era is sent in a header.
	Revision uint64

	// era is the era of Revision, and eraKnown set if the sender knows eras.
	era      uint64
	eraKnown bool
	// known is what the sender knows of the target's announcements. It is sent in
	// headerTargetState.
	known targetState
	// sender is the host that sent the request.
	sender netip.Addr
}

// result is the metadata that the node beside the target returns with a response. It is
// encoded as a CBOR array, so the order of the fields is part of the protocol.
type result struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Outcome model.Outcome
	Reason  model.Reason
	// ReachedTarget is set when the request reached the target, or may have, whether it
	// ran or not.
	ReachedTarget bool
	// Failed is set when the target failed the request or sent no complete answer.
	Failed bool
	// Nested is set when the requests of the route appear to be calls made by targets.
	Nested bool
	// RunTime is how long the target took to answer, TimeAtNode how long the request was
	// at the node beside it, run time included.
	RunTime    time.Duration
	TimeAtNode time.Duration
	RetryAfter time.Duration
	// FullFor is how long requests like this one are expected to be rejected.
	FullFor  time.Duration
	Load     load
	Revision uint64

	// era is the era of Revision.
	era uint64
	// announced is what the target has announced. It is sent in headerTargetState.
	announced targetState
	// crashReports is the evidence on the request. It is sent in headerCrashReports.
	crashReports []quarantine.Report
}

// fingerprint returns the fingerprint of the request, whose body was sent with the handover.
func (h *handover) fingerprint(body *messageBody) quarantine.Fingerprint {
	return body.fingerprint(h.Method, h.Authority, h.Target)
}

// position returns the position of the store that the sender has, 0 for the era if the sender
// does not know eras.
func (h *handover) position() model.Position {
	return model.Position{Era: h.era, Revision: h.Revision}
}

// setPosition sets the position of the store that the node has.
func (h *handover) setPosition(p model.Position) {
	h.Revision, h.era, h.eraKnown = p.Revision, p.Era, true
}

// includedIn reports whether a node at a position knows all that the sender does. A sender
// that does not know eras is taken to be in the same one.
func (h *handover) includedIn(p model.Position) bool {
	known := h.position()
	if !h.eraKnown {
		known.Era = p.Era
	}
	return !p.Before(known)
}

// position returns the position of the store that the node beside the target has.
func (r *result) position() model.Position {
	return model.Position{Era: r.era, Revision: r.Revision}
}

// load is the state of a target as measured by the node beside it. It is encoded as a CBOR
// array, so the order of the fields is part of the protocol.
type load struct {
	_       struct{} `cbor:",toarray"`
	Running int
	Waiting int
	Slots   int
	// Wait is the expected wait of a new request for a slot.
	Wait time.Duration
	// FailureRate is the share of recent requests that the target failed, from 0 to 1.
	FailureRate float64
	// Slowdown is the current run time of requests relative to the target's long-term
	// mean; 1 is normal, 0 means not reported.
	Slowdown float64
	// Leaving is set when the node accepts no more requests for its target.
	Leaving bool
}

// hasRoom reports whether the target had a free slot.
func (l load) hasRoom() bool { return l.Running < l.Slots && l.Waiting == 0 }

var handoverDecoding = strictcbor.NewDecMode(cbor.DecOptions{MaxNestedLevels: 4})

func decodeHandover(header http.Header) (*handover, error) {
	var h handover
	if err := cborheader.Decode(header.Get(headerHandover), handoverDecoding, maxHandoverBytes, &h); err != nil {
		return nil, errors.Wrap(err, "handover header")
	}
	if h.Version != handoverVersion {
		return nil, errors.Errorf("handover header: version %d is unknown; this program knows version %d", h.Version, handoverVersion)
	}
	var err error
	if h.known, err = decodeTargetState(header); err != nil {
		return nil, err
	}
	_, h.eraKnown = header[model.HeaderEra]
	if h.era, err = model.ParseEra(header); err != nil {
		return nil, err
	}
	return &h, nil
}

func decodeResult(header http.Header) (*result, error) {
	var r result
	if err := cborheader.Decode(header.Get(headerResult), handoverDecoding, maxHandoverBytes, &r); err != nil {
		return nil, errors.Wrap(err, "result header")
	}
	if r.Version != handoverVersion {
		return nil, errors.Errorf("result header: version %d is unknown; this program knows version %d", r.Version, handoverVersion)
	}
	var err error
	if r.announced, err = decodeTargetState(header); err != nil {
		return nil, err
	}
	if r.crashReports, err = quarantine.DecodeHeader(header.Get(headerCrashReports)); err != nil {
		return nil, errors.Wrap(err, "crash report header")
	}
	if r.era, err = model.ParseEra(header); err != nil {
		return nil, err
	}
	return &r, nil
}
