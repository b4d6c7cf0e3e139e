package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/bronzemast/bronzemast/model"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// pathHandover is where a node takes in requests for its target from others.
	pathHandover = "/v1/handover"
	// The headers that nodes add to a request and to its answer.
	headerHandover = "Bronzemast-Handover"
	headerResult   = "Bronzemast-Result"
	// handoverVersion is the version of both headers.
	handoverVersion = 1
	// maxHandoverBytes bounds the value of both headers.
	maxHandoverBytes = 32 << 10
)

// handover is what the node that a caller has reached tells the node beside the
// target about a request.
type handover struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	// ID is the caller's name for the request.
	ID string
	// Method, Target and Authority are those of the caller's request.
	Method    string
	Target    string
	Authority string
	// Route is the route's name; the target-side node keeps run times by it.
	Route   string
	Service string
	// Instance is the target that must run the request.
	Instance      model.TargetID
	CallerService string
	// Remaining is the time that is left, and OnTime the time that is left for
	// an answer to be on time.
	Remaining time.Duration
	OnTime    time.Duration
	Objective time.Duration
	Rank      int
	// Patience is how long the request may be expected to wait for a slot, beyond
	// which it is refused so that it can go elsewhere.
	Patience time.Duration
	// Revision is the store's revision that the sender has.
	Revision uint64
}

// result is what the node beside the target tells about a request.
type result struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Outcome model.Outcome
	Reason  model.Reason
	// Handed is set when the request reached the target, whether it ran or not.
	Handed bool
	// Failed is set when the target failed the request or gave no whole answer.
	Failed bool
	// Nested is set when requests of the route seem to be calls of targets.
	Nested bool
	// Worked is how long the target took, Held how long the request was at the
	// node beside it.
	Worked     time.Duration
	Held       time.Duration
	RetryAfter time.Duration
	// FullFor is how long a request like the refused one will be refused.
	FullFor  time.Duration
	Load     load
	Revision uint64
}

// load is the state of a target as the node beside it sees it.
type load struct {
	_       struct{} `cbor:",toarray"`
	Running int
	Waiting int
	Slots   int
	// Wait is how long a new request would wait for a slot.
	Wait time.Duration
	// Failing is the share of recent requests that the target failed.
	Failing float64
	// Slow is the present run time of requests relative to what the target usually
	// takes.
	Slow float64
	// Leaving is set when the node takes no more requests for its target.
	Leaving bool
}

var handoverDecoding = strictcbor.Decoding(cbor.DecOptions{MaxNestedLevels: 4})

func decodeHandover(text string) (*handover, error) {
	var h handover
	if err := cborheader.Decode(text, handoverDecoding, maxHandoverBytes, &h); err != nil {
		return nil, errors.Wrap(err, "handover header")
	}
	if h.Version != handoverVersion {
		return nil, errors.Errorf("handover header: version %d is unknown; this program knows version %d", h.Version, handoverVersion)
	}
	return &h, nil
}

func decodeResult(text string) (*result, error) {
	var r result
	if err := cborheader.Decode(text, handoverDecoding, maxHandoverBytes, &r); err != nil {
		return nil, errors.Wrap(err, "result header")
	}
	if r.Version != handoverVersion {
		return nil, errors.Errorf("result header: version %d is unknown; this program knows version %d", r.Version, handoverVersion)
	}
	return &r, nil
}
