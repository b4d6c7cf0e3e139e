package forwarding

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/bronzemast/bronzemast/model"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The headers on calls between nodes.
const (
	headerHop       = "Bronzemast-Hop"
	headerHopAnswer = "Bronzemast-Hop-Answer"
	// headerHopLength carries the Content-Length of a response to HEAD.
	headerHopLength = "Bronzemast-Hop-Length"
)

// hopVersion is the format version of the hop and hop answer headers.
const hopVersion = 1

// AttemptID identifies one attempt to run a call. Each retry is a new attempt.
type AttemptID struct {
	Entry       model.HostID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
}

// Token is a fencing token of a target-side node. An attempt carries the latest one
// that the entry node received, so that a node accepts no attempt from before the
// retention of its ledger.
type Token struct {
	Incarnation model.Incarnation `cbor:"1,keyasint"`
	// Tick is when the token was issued, measured from the node's start.
	Tick time.Duration `cbor:"2,keyasint"`
}

// hop is the metadata of an attempt that an entry node sends to the target-side
// node.
type hop struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Attempt AttemptID
	Method  string
	Caller  string
	Service string
	Route   string
	// Remaining is the timeout for the target-side node, measured from sending the
	// attempt.
	Remaining time.Duration
	Release   uint64
	Depth     int
	Token     Token
	// TokenAge is the time from receiving the token to sending the attempt.
	TokenAge time.Duration
}

// hopAnswer is the metadata of an attempt that a target-side node returns.
type hopAnswer struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Incarnation model.Incarnation
	Sequence    uint64
	Outcome     model.Outcome
	Reason      model.Reason
	Token       Token
	Load        model.Load
	RetryAfter  time.Duration
	Release     uint64
}

// maxHopBytes is the maximum length of the value of either header.
const maxHopBytes = 2048

// hopDecoding rejects encodings that the encoder does not produce.
var hopDecoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	return strictcbor.NewDecMode(cbor.DecOptions{
		MaxNestedLevels: 4,
	})
}

// encode returns the header's value.
func (h *hop) encode() string {
	h.Version = hopVersion
	return cborheader.Encode(h)
}

// decodeHop parses the header's value.
func decodeHop(text string) (hop, error) {
	var h hop
	if err := cborheader.Decode(text, hopDecoding, maxHopBytes, &h); err != nil {
		return hop{}, errors.Wrap(err, "hop header")
	}
	if h.Version != hopVersion {
		return hop{}, errors.Errorf("hop header: version %d is unknown; this program knows version %d", h.Version, hopVersion)
	}
	if h.Remaining < 0 || h.TokenAge < 0 || h.Token.Tick < 0 || h.Depth < 0 {
		return hop{}, errors.New("hop header: a time or a count is below 0")
	}
	return h, nil
}

// encode returns the header's value.
func (a *hopAnswer) encode() string {
	a.Version = hopVersion
	return cborheader.Encode(a)
}

// decodeHopAnswer parses the header's value.
func decodeHopAnswer(text string) (hopAnswer, error) {
	var a hopAnswer
	if err := cborheader.Decode(text, hopDecoding, maxHopBytes, &a); err != nil {
		return hopAnswer{}, errors.Wrap(err, "hop answer header")
	}
	if a.Version != hopVersion {
		return hopAnswer{}, errors.Errorf("hop answer header: version %d is unknown; this program knows version %d", a.Version, hopVersion)
	}
	if a.RetryAfter < 0 || a.Token.Tick < 0 {
		return hopAnswer{}, errors.New("hop answer header: a time is below 0")
	}
	return a, nil
}
