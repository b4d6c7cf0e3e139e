package model

import (
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

func TestRevisionsOfEarlierErasAreBeforeThoseOfLaterOnes(t *testing.T) {
	g := NewWithT(t)
	ordered := []Position{{}, {Revision: 3}, {Era: 1, Revision: 2}, {Era: 1, Revision: 900}, {Era: 2, Revision: 1}}
	for i, p := range ordered {
		for j, q := range ordered {
			g.Expect(p.Before(q)).To(Equal(i < j), "%s, %s", p, q)
			g.Expect(p.After(q)).To(Equal(i > j), "%s, %s", p, q)
			g.Expect(LatestPosition(p, q)).To(Equal(ordered[max(i, j)]))
		}
	}
}

func TestPositionIsEncodedInLogs(t *testing.T) {
	g := NewWithT(t)
	for text, p := range map[string]Position{"40": {Revision: 40}, `"2/40"`: {Era: 2, Revision: 40}} {
		g.Expect(json.Marshal(p)).To(MatchJSON(text))
		var decoded Position
		g.Expect(json.Unmarshal([]byte(text), &decoded)).To(Succeed())
		g.Expect(decoded).To(Equal(p))
	}
	var decoded Position
	for _, text := range []string{`"x"`, `"2/"`, `"-1/4"`, `{}`} {
		g.Expect(json.Unmarshal([]byte(text), &decoded)).NotTo(Succeed(), text)
	}
}

func TestEraIsSentInAHeader(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{}
	Position{Revision: 4}.SetHeader(header)
	g.Expect(header).To(BeEmpty())
	g.Expect(ParseEra(header)).To(BeZero())
	Position{Era: 3, Revision: 4}.SetHeader(header)
	g.Expect(ParseEra(header)).To(Equal(uint64(3)))
	header.Set(HeaderEra, "three")
	_, err := ParseEra(header)
	g.Expect(err).To(HaveOccurred())
}
