package metrics

import (
	"bytes"
	"expvar"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/latency"
)

func newMaps() *expvar.Map {
	plugin := new(expvar.Map).Init()
	calls := new(expvar.Int)
	calls.Set(7)
	plugin.Set("calls", calls)
	kinds := new(expvar.Map).Init()
	kinds.Add("not-run", 3)
	plugin.Set("outcomes", kinds)
	plugin.Set("stage", expvar.Func(func() any { return "serving" }))
	plugin.Set("limits", expvar.Func(func() any { return map[string]float64{"i-1": 4.6} }))
	plugin.Set("age", expvar.Func(func() any { return 12 }))
	h := latency.New()
	for range 100 {
		h.Observe(20 * time.Millisecond)
	}
	plugin.Set("request_latency", h)
	all := new(expvar.Map).Init()
	all.Set("sidecar", plugin)
	return all
}

func TestMetricsTextFormat(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(write(&out, newMaps())).To(Succeed())
	g.Expect(out.String()).To(And(
		ContainSubstring("bronzemast_sidecar_calls 7\n"),
		ContainSubstring("bronzemast_sidecar_outcomes{kind=\"not-run\"} 3\n"),
		ContainSubstring("bronzemast_sidecar_limits{kind=\"i-1\"} 4.6\n"),
		ContainSubstring("bronzemast_sidecar_age 12\n"),
		ContainSubstring("bronzemast_sidecar_request_latency_seconds{quantile=\"0.99\"} 0.02"),
		ContainSubstring("bronzemast_sidecar_request_latency_seconds_count 100\n"),
		Not(ContainSubstring("stage")),
	))
}

func TestMetricsAreServed(t *testing.T) {
	g := NewWithT(t)
	m := &Metrics{settings: Settings{Address: "127.0.0.1:28193"}, all: newMaps()}
	g.Expect(m.Start(t.Context())).To(Succeed())
	defer func() { g.Expect(m.Stop(t.Context())).To(Succeed()) }()
	response, err := http.Get("http://127.0.0.1:28193/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }() // the body was read
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get("Content-Type")).To(Equal(contentType))
	g.Expect(string(body)).To(ContainSubstring("bronzemast_sidecar_calls 7"))
}
