package sidecar

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/internal/cborheader"
	"github.com/bronzemast/bronzemast/model"
)

// Property: no header makes the decoders panic, and what they accept can be used.
func TestMalformedHeadersAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := http.Header{}
		for _, name := range []string{headerHandover, headerResult, headerTargetState, model.HeaderEra} {
			if rapid.Bool().Draw(t, "set "+name) {
				header[name] = []string{rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), encodeBytes)).Draw(t, name)}
			}
		}
		if h, err := decodeHandover(header); err == nil {
			h.includedIn(h.position())
		}
		if r, err := decodeResult(header); err == nil {
			r.position().Before(model.Position{})
		}
		_, _ = decodeTargetState(header) // an error is as good as a state
	})
}

// encodeBytes returns bytes, mostly not CBOR, as the value of a header.
func encodeBytes(data []byte) string { return cborheader.Encode(data) }

func TestHandoverOfANodeThatDoesNotKnowErasIsOfTheSameEra(t *testing.T) {
	g := NewWithT(t)
	own := model.Position{Era: 2, Revision: 10}
	header := func(h handover, era model.Position) http.Header {
		h.Version = handoverVersion
		out := http.Header{headerHandover: {cborheader.Encode(h)}}
		era.SetHeader(out)
		return out
	}
	for _, c := range []struct {
		header http.Header
		want   bool
	}{
		{header(handover{Revision: 9}, model.Position{}), true},
		{header(handover{Revision: 11}, model.Position{}), false},
		{header(handover{Revision: 99}, model.Position{Era: 1}), true},
		{header(handover{Revision: 1}, model.Position{Era: 3}), false},
	} {
		h, err := decodeHandover(c.header)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.includedIn(own)).To(Equal(c.want), "%s", h.position())
	}
}
