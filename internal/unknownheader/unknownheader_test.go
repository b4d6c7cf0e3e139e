package unknownheader

import (
	"expvar"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

func TestUnknownNamesWithAPrefixAreFound(t *testing.T) {
	h := http.Header{"Self-Load": {"1"}, "Self-Mood": {"low"}, "Other": {"1"}}
	NewWithT(t).Expect(Names(h, []string{"Self-"}, []string{"Self-Load"})).To(Equal([]string{"Self-Mood"}))
}

func TestEachNameIsReportedOnceAndCounted(t *testing.T) {
	g := NewWithT(t)
	var reported []string
	r := Recorder{Counts: new(expvar.Map).Init(), OnNew: func(name string) { reported = append(reported, name) }}
	r.Record([]string{"A", "B"})
	r.Record([]string{"A"})
	g.Expect(reported).To(Equal([]string{"A", "B"}))
	g.Expect(r.Counts.Get("A").String()).To(Equal("2"))
	for i := range 100 {
		r.Record([]string{fmt.Sprint(i)})
	}
	g.Expect(reported).To(HaveLen(maxNames))
}
