package demo

import (
	"expvar"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// Result is the result of a run of the demo.
type Result struct {
	Nodes    int           `json:"nodes"`
	Duration time.Duration `json:"duration_ns"`
	// Convergence covers all valid releases but the first, on all nodes that applied
	// them.
	Convergence Convergence `json:"convergence"`
	// ControlBytes is the mean number of bytes that a node sent to peers, and
	// ControlRate the same per second.
	ControlBytes    uint64           `json:"control_bytes_per_node"`
	ControlRate     float64          `json:"control_bytes_per_node_per_second"`
	SourceCalls     uint64           `json:"source_calls"`
	SourcePeak      uint64           `json:"source_calls_peak_per_second"`
	LastGood        uint64           `json:"last_good_release"`
	Promises        invariant.Report `json:"checked"`
	RejectedByNodes int              `json:"bad_release_refused_by_nodes"`
}

// Convergence summarizes the times from the publication of a release to its
// application by a node.
type Convergence struct {
	Samples int64         `json:"samples"`
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	Max     time.Duration `json:"max_ns"`
}

// Held reports whether every promise held.
func (r *Result) Held() bool {
	return r.Promises.Held()
}

// snapshot returns the configuration in force on the first node.
func (d *demo) snapshot() (*config.Snapshot, error) {
	configuration, ok := kernel.Value[model.Configuration](d.nodes[0].current().Kernel())
	if !ok || configuration.Current() == nil {
		return nil, errors.New("the first node has no configuration in force")
	}
	return configuration.Current(), nil
}

func (d *demo) result(duration time.Duration) *Result {
	counts := d.platform.Counter().Counts()
	var control uint64
	for _, n := range d.nodes {
		control += n.totalControlBytes()
	}
	perNode := control / uint64(len(d.nodes))
	return &Result{
		Nodes:           len(d.nodes),
		Duration:        duration,
		Convergence:     d.convergence(),
		ControlBytes:    perNode,
		ControlRate:     float64(perNode) / duration.Seconds(),
		SourceCalls:     counts.Total,
		SourcePeak:      counts.Peak,
		LastGood:        d.publisher.LastGood(),
		Promises:        d.checker.Finish(time.Now()),
		RejectedByNodes: d.rejections(),
	}
}

func (d *demo) convergence() Convergence {
	const highest = int64(time.Minute)
	histogram := hdrhistogram.New(int64(time.Microsecond), highest, 3)
	for number, published := range d.publisher.PublishTimes() {
		if number == 1 {
			continue
		}
		for _, n := range d.nodes {
			if at, ok := n.appliedAt(number); ok {
				_ = histogram.RecordValue(min(at.Sub(published).Nanoseconds(), highest)) // the value is in range
			}
		}
	}
	return Convergence{
		Samples: histogram.TotalCount(),
		P50:     time.Duration(histogram.ValueAtQuantile(50)),
		P99:     time.Duration(histogram.ValueAtQuantile(99)),
		Max:     time.Duration(histogram.Max()),
	}
}

// rejections returns the number of running nodes that have rejected a release.
func (d *demo) rejections() int {
	total := 0
	for _, n := range d.nodes {
		total += n.rejections()
	}
	return total
}

// controlBytes returns the number of bytes that a running node has sent to its peers.
func controlBytes(n *bronzemast.Node) uint64 {
	plugin, ok := n.Kernel().Metrics().Get("distribution").(*expvar.Map)
	if !ok {
		return 0
	}
	sent, ok := plugin.Get("bytes_sent").(*expvar.Int)
	if !ok {
		return 0
	}
	return uint64(sent.Value())
}

// Write writes the result to out as a table.
func (r *Result) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	c := r.Promises.Calls
	rows := []struct {
		name  string
		value string
	}{
		{"nodes", fmt.Sprint(r.Nodes)},
		{"duration", r.Duration.Round(time.Millisecond).String()},
		{"convergence p50 / p99 / max", fmt.Sprintf("%s / %s / %s", round(r.Convergence.P50), round(r.Convergence.P99), round(r.Convergence.Max))},
		{"control bytes per node", fmt.Sprintf("%d (%.0f per second)", r.ControlBytes, r.ControlRate)},
		{"platform calls", fmt.Sprintf("%d (peak %d per second)", r.SourceCalls, r.SourcePeak)},
		{"invalid release rejected by", fmt.Sprintf("%d nodes", r.RejectedByNodes)},
		{"calls sent", fmt.Sprint(c.Sent)},
		{"calls ran / not run / unknown", fmt.Sprintf("%d / %d / %d", c.Ran, c.NotRun, c.Unknown)},
		{"calls without a response", fmt.Sprint(c.Unanswered)},
	}
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\n", row.name, row.value)
	}
	for _, promise := range invariant.Promises() {
		status := "held"
		if n := r.Promises.Broken[promise.String()]; n > 0 {
			status = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(table, "promise %s\t%s\n", promise, status)
	}
	for _, v := range r.Promises.Violations {
		fmt.Fprintf(table, "violation\t%s\n", v)
	}
	return errors.Wrap(table.Flush(), "write result")
}

func round(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
