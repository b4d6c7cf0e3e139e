package convergebench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bronzemast/bronzemast/internal/invariant"
)

// Range of the convergence histograms, in microseconds, and their significant digits.
const (
	minConvergence    = 1
	maxConvergence    = int64(time.Minute / time.Microsecond)
	convergenceDigits = 3
)

// stats collects the measurements of the changes.
type stats struct {
	// perHost holds the time of each change on each host, allHosts that of each
	// change on its last host.
	perHost, allHosts *hdrhistogram.Histogram
	// missed counts, over all changes, the hosts on which a change was not observed
	// in force in time.
	missed    int
	changes   int
	deltas    []delta
	catchUps  []time.Duration
	snapshots int
}

func newStats() stats {
	return stats{
		perHost:  hdrhistogram.New(minConvergence, maxConvergence, convergenceDigits),
		allHosts: hdrhistogram.New(minConvergence, maxConvergence, convergenceDigits),
	}
}

// addChange records the convergence times of one change, one for each host that
// applied it, out of the expected number of hosts.
func (s *stats) addChange(durations []time.Duration, expected int) {
	s.changes++
	s.missed += expected - len(durations)
	last := time.Duration(0)
	for _, d := range durations {
		recordDuration(s.perHost, d)
		last = max(last, d)
	}
	if len(durations) == expected && expected > 0 {
		recordDuration(s.allHosts, last)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minConvergence), maxConvergence)) // always in range
}

// Percentiles summarizes a distribution of times in milliseconds.
type Percentiles struct {
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Count int64   `json:"count"`
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond/time.Microsecond) }
	return Percentiles{P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()), Count: h.TotalCount()}
}

// Result is the result of a run.
type Result struct {
	Options Options `json:"options"`
	// ColdStart is the time in seconds from the start of the processes until all of
	// them serve a release.
	ColdStart float64 `json:"cold_start_seconds"`
	// PerHost is the convergence time of each change on each host, AllHosts that of
	// each change on its last host. Missed counts, over all changes, the hosts on
	// which a change was not observed in force in time.
	PerHost  Percentiles `json:"convergence_per_host"`
	AllHosts Percentiles `json:"convergence_everywhere"`
	Missed   int         `json:"not_in_force_in_time"`
	// CatchUps are the times in seconds that restarted or resumed hosts needed to
	// apply the newest release, from their start or resumption.
	CatchUps []float64 `json:"catch_up_seconds,omitempty"`
	Idle     Usage     `json:"idle"`
	Change   Usage     `json:"under_change"`
	// PeerBytes and SourceBytes are the bytes of a change in excess of the idle
	// traffic, between nodes and with the platform. Floor is the lower bound of
	// PeerBytes: the number of nodes times the compressed delta of the release.
	// PartsFloor is the same without the record and its digests.
	PeerBytes   float64          `json:"peer_bytes_per_change"`
	SourceBytes float64          `json:"source_bytes_per_change"`
	Floor       float64          `json:"floor_bytes_per_change"`
	PartsFloor  float64          `json:"floor_bytes_per_change_without_record"`
	Snapshots   int              `json:"snapshots_checked"`
	Promises    invariant.Report `json:"promises"`

	err error
}

// fill sets the fields that are computed from the stats and the usage.
func (r *Result) fill(s stats) {
	r.PerHost = percentilesOf(s.perHost)
	r.AllHosts = percentilesOf(s.allHosts)
	r.Missed = s.missed
	r.Snapshots = s.snapshots
	for _, d := range s.catchUps {
		r.CatchUps = append(r.CatchUps, d.Seconds())
	}
	if len(s.deltas) == 0 {
		return
	}
	seconds := r.Change.Seconds * float64(r.Change.Nodes) / float64(len(s.deltas))
	r.PeerBytes = max(r.Change.PeerBytes-r.Idle.PeerBytes, 0) * seconds
	r.SourceBytes = max(r.Change.SourceBytes-r.Idle.SourceBytes, 0) * seconds
	perDelta := float64(r.Options.Nodes) / float64(len(s.deltas))
	for _, d := range s.deltas {
		r.Floor += float64(d.release) * perDelta
		r.PartsFloor += float64(d.parts) * perDelta
	}
}

// Held reports whether every promise held and every change came into force.
func (r *Result) Held() bool {
	return r.Promises.Held() && r.Missed == 0
}

// Write writes the result to w as a table.
func (r *Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	o := r.Options
	fmt.Fprintf(t, "fleet\t%d nodes, %d failure domains, %d regions, %d services\n", o.Nodes, o.Domains, o.Regions, o.Services)
	fmt.Fprintf(t, "run\t%d changes, churn %d, fault %s, baseline %s, seed %d\n", o.Changes, o.Churn, o.Fault, o.Baseline, o.Seed)
	fmt.Fprintf(t, "cold start\t%.2f s\n", r.ColdStart)
	writePercentiles(t, "convergence per host", r.PerHost)
	writePercentiles(t, "convergence everywhere", r.AllHosts)
	fmt.Fprintf(t, "not in force in time\t%d\n", r.Missed)
	for _, s := range r.CatchUps {
		fmt.Fprintf(t, "catch-up\t%.2f s\n", s)
	}
	writeUsage(t, "idle", r.Idle)
	writeUsage(t, "under change", r.Change)
	fmt.Fprintf(t, "bytes per change, peers\t%.0f\tfloor %.0f, without record %.0f\tratio %.2f\n", r.PeerBytes, r.Floor, r.PartsFloor, ratio(r.PeerBytes, r.Floor))
	fmt.Fprintf(t, "bytes per change, source\t%.0f\n", r.SourceBytes)
	fmt.Fprintf(t, "snapshots checked\t%d\n", r.Snapshots)
	for _, p := range []invariant.Promise{invariant.NeverBackwards, invariant.AllOrNothing, invariant.NoDanglingRoute, invariant.InForceEverywhere} {
		fmt.Fprintf(t, "promise %s\tbroken %d times\n", p, r.Promises.Broken[p.String()])
	}
	for _, v := range r.Promises.Violations[:min(len(r.Promises.Violations), maxShownViolations)] {
		fmt.Fprintf(t, "evidence\t%s\n", v)
	}
	return t.Flush()
}

// maxShownViolations bounds the violations written.
const maxShownViolations = 10

func writePercentiles(w io.Writer, name string, t Percentiles) {
	fmt.Fprintf(w, "%s\tp50 %.1f ms\tp99 %.1f ms\tmax %.1f ms\tof %d\n", name, t.P50, t.P99, t.Max, t.Count)
}

func writeUsage(w io.Writer, name string, u Usage) {
	fmt.Fprintf(w, "%s, %.0f s\t%.0f + %.0f B/s per node (peers + source)\tCPU %.2f %% (max %.2f)\tmemory %.1f MB (max %.1f)\n",
		name, u.Seconds, u.PeerBytes, u.SourceBytes, u.CPUPercent, u.CPUPercentMax, u.ResidentMB, u.ResidentMBMax)
	fmt.Fprintf(w, "%s, source calls\t%.1f per second\tpeak %d\n", name, u.SourceMean, u.SourcePeak)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
