package sidecar

import (
	"math"
	"net/http"
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// targetState is what a target has announced about itself. Nodes ignore fields that they do
// not know, so that later versions can add some.
type targetState struct {
	// Limited is set if the target accepts at most Rate requests per second.
	Limited bool    `cbor:"1,keyasint,omitempty"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	// Leaving is set once the target has announced its shutdown.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// StartedAt identifies the incarnation of the target: the time of its start, as Unix
	// time in milliseconds, 0 if it is not known.
	StartedAt int64 `cbor:"4,keyasint,omitempty"`
	// LimitedFor is how long a limit holds that is due to the target's warm-up, 0 for one
	// that the target ends itself.
	LimitedFor time.Duration `cbor:"5,keyasint,omitempty"`
	// LinkWait is the time until the large answers are through that the node beside the
	// target has to send.
	LinkWait time.Duration `cbor:"6,keyasint,omitempty"`
	// Pace is how long work takes on the target's machine at the moment, relative to usual, 0
	// if it does not report that. MeanRunTime is then the target's mean run time of requests
	// of this route at its usual pace.
	Pace        float64       `cbor:"7,keyasint,omitempty"`
	MeanRunTime time.Duration `cbor:"8,keyasint,omitempty"`
}

// set adds the state to the header of a request or response.
func (s targetState) set(header http.Header) {
	if s.Limited || s.Leaving || s.LinkWait > 0 || s.Pace > 0 {
		header[headerTargetState] = []string{cborheader.Encode(s)}
	}
}

var targetStateDecoding = newTargetStateDecoding()

func newTargetStateDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// decodeTargetState decodes the state in the header of a request or response.
func decodeTargetState(header http.Header) (targetState, error) {
	var s targetState
	text := header.Get(headerTargetState)
	if text == "" {
		return s, nil
	}
	if err := cborheader.Decode(text, targetStateDecoding, maxHandoverBytes, &s); err != nil {
		return s, errors.Wrap(err, "target state header")
	}
	if s.Rate < 0 || math.IsNaN(s.Rate) || math.IsInf(s.Rate, 0) {
		return s, errors.Errorf("target state header: %g is not a rate", s.Rate)
	}
	return s, nil
}
