package callbench

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bronzemast/bronzemast/internal/invariant"
)

// Latency holds percentiles of a latency distribution in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: milliseconds(h.ValueAtQuantile(50)), P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max())}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// Phase summarizes the calls of one caller in a part of the run. Latency covers
// calls that succeeded.
type Phase struct {
	Caller    string  `json:"caller"`
	Phase     string  `json:"phase"`
	Sent      int     `json:"sent"`
	Succeeded int     `json:"good"`
	Latency   Latency `json:"latency"`
}

// AddedLatency compares the latency of calls through the nodes with that of the same
// calls sent directly to a target.
type AddedLatency struct {
	ViaNodes Latency `json:"through"`
	Direct   Latency `json:"direct"`
	// P99Difference, in milliseconds, and P99Ratio compare the 99th percentiles of
	// ViaNodes and Direct.
	P99Difference float64 `json:"p99_difference_ms"`
	P99Ratio      float64 `json:"p99_ratio"`
}

// Result is the result of a run. Outcomes and Reasons count calls, and Metrics holds
// the counters of the run and of its scenario.
type Result struct {
	Scenario     string           `json:"scenario"`
	Baseline     string           `json:"baseline,omitempty"`
	Seed         uint64           `json:"seed"`
	Phases       []Phase          `json:"phases"`
	Outcomes     map[string]int   `json:"outcomes"`
	Reasons      map[string]int   `json:"reasons"`
	AddedLatency *AddedLatency    `json:"added,omitempty"`
	Metrics      map[string]any   `json:"measures"`
	Promises     invariant.Report `json:"promises"`
}

var phaseNames = [...]string{"before", "during", "after"}

func newResult(o Options, records map[string]*record) *Result {
	r := &Result{
		Scenario: o.Scenario,
		Baseline: o.Baseline,
		Seed:     o.Seed,
		Outcomes: map[string]int{},
		Reasons:  map[string]int{},
		Metrics:  map[string]any{},
	}
	callers := make([]string, 0, len(records))
	for caller := range records {
		callers = append(callers, caller)
	}
	sort.Strings(callers)
	for _, caller := range callers {
		for i, p := range records[caller].phases {
			r.addPhase(caller, phaseNames[i], p)
		}
	}
	return r
}

func (r *Result) addPhase(caller, name string, p *phase) {
	r.Phases = append(r.Phases, Phase{Caller: caller, Phase: name, Sent: p.sent, Succeeded: p.succeeded, Latency: latencyOf(p.latency)})
	for outcome, n := range p.outcomes {
		r.Outcomes[outcome] += n
	}
	for reason, n := range p.reasons {
		r.Reasons[reason] += n
	}
}

// addDirectComparison adds the comparison of the calls through the nodes with the
// direct ones, if there are any.
func (r *Result) addDirectComparison(records map[string]*record) {
	through := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	direct := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	for _, record := range records {
		for _, p := range record.phases {
			through.Merge(p.latency)
		}
		direct.Merge(record.direct)
	}
	if direct.TotalCount() == 0 {
		return
	}
	a := &AddedLatency{ViaNodes: latencyOf(through), Direct: latencyOf(direct)}
	a.P99Difference = a.ViaNodes.P99 - a.Direct.P99
	a.P99Ratio = a.ViaNodes.P99 / a.Direct.P99
	r.AddedLatency = a
}

// Write writes the result to w as a table.
func (r *Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\t%s\tbaseline\t%s\tseed\t%d\n", r.Scenario, orNone(r.Baseline), r.Seed)
	fmt.Fprintln(t, "caller\tphase\tsent\tgood\tp50 ms\tp99 ms\tmax ms")
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\n", p.Caller, p.Phase, p.Sent, p.Succeeded, p.Latency.P50, p.Latency.P99, p.Latency.Max)
	}
	if a := r.AddedLatency; a != nil {
		fmt.Fprintf(t, "added\tp50 %.3f ms\tp99 %.3f ms\tratio %.2f\n", a.ViaNodes.P50-a.Direct.P50, a.P99Difference, a.P99Ratio)
	}
	writeSorted(t, "outcome", r.Outcomes)
	writeSorted(t, "reason", r.Reasons)
	writeSorted(t, "measure", r.Metrics)
	for _, p := range invariant.Promises() {
		if n := r.Promises.Broken[p.String()]; n > 0 {
			fmt.Fprintf(t, "promise\t%s\tbroken %d times\n", p, n)
		}
	}
	if r.Promises.Held() {
		fmt.Fprintln(t, "promises\tall held")
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeViolations(w, r.Promises.Violations)
}

// maxShownViolations bounds the violations written.
const maxShownViolations = 10

func writeViolations(w io.Writer, violations []invariant.Violation) error {
	lines := make([]string, 0, maxShownViolations)
	for _, v := range violations[:min(len(violations), maxShownViolations)] {
		lines = append(lines, v.String()+"\n")
	}
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func writeSorted[T any](w io.Writer, label string, values map[string]T) {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%s\t%v\n", label, name, values[name])
	}
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

// Held reports whether every promise held.
func (r *Result) Held() bool {
	return r.Promises.Held()
}
