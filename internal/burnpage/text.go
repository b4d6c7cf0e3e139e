// Package burnpage formats the error budget report of a service as text or as an HTML
// page with plots.
package burnpage

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bronzemast/bronzemast/plugins/burn/slo"
)

// callerRow is the row of one caller in a table.
type callerRow struct {
	Name                                    string
	Offered, Admitted, Shed, Limited        uint64
	Slow, Failed, OverShare, TargetAttempts uint64
	BurnPercent                             string
}

// rowsOf returns the rows of a window, in descending order of their fraction of the
// burn. OverShare and TargetAttempts count attempts at target-side nodes; the other
// columns count the results that callers got, after retries.
func rowsOf(w *slo.WindowReport) []callerRow {
	names := make([]string, 0, len(w.Callers))
	for name := range w.Callers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		fractions := w.Attribution.ByCaller
		return cmp.Or(
			cmp.Compare(fractions[b], fractions[a]),
			cmp.Compare(objectiveCounts(w.Callers[b]).Offered, objectiveCounts(w.Callers[a]).Offered),
			cmp.Compare(a, b))
	})
	rows := make([]callerRow, 0, len(names))
	for _, name := range names {
		rows = append(rows, rowOf(name, w))
	}
	return rows
}

func rowOf(name string, w *slo.WindowReport) callerRow {
	sides := w.Callers[name]
	c := objectiveCounts(sides)
	return callerRow{
		Name:           name,
		Offered:        c.Offered,
		Admitted:       c.Admitted(),
		Shed:           c.Shed,
		Limited:        c.RateLimited,
		Slow:           c.Slow,
		Failed:         c.Failed,
		OverShare:      sides.OverShare(),
		TargetAttempts: sides.Target.Offered,
		BurnPercent:    percentText(w.Attribution.ByCaller[name]),
	}
}

// objectiveCounts returns the counts of the entry nodes, or of the target-side nodes
// if no entry node reported calls.
func objectiveCounts(s slo.SideCounts) slo.Counts {
	if s.Entry.Offered > 0 {
		return s.Entry
	}
	return s.Target
}

func percentText(fraction float64) string {
	return fmt.Sprintf("%.1f%%", 100*fraction)
}

func burnText(burn float64) string {
	if burn >= math.MaxFloat64 {
		return "no budget"
	}
	return fmt.Sprintf("%.2f", burn)
}

// exhaustionText describes how long a month's error budget lasts at a burn rate.
func exhaustionText(burn float64) string {
	left := slo.TimeToExhaustion(burn)
	if left == 0 {
		return "lasts"
	}
	if left > 48*time.Hour {
		return fmt.Sprintf("%.1f days", left.Hours()/24)
	}
	return left.Round(time.Minute).String()
}

// objectiveText describes the objective of a report.
func objectiveText(o slo.Objective) string {
	text := fmt.Sprintf("%.4g%% of calls good", 100*o.Availability)
	if o.Latency > 0 {
		text += fmt.Sprintf(", answered within %s", o.Latency)
	}
	return text
}

// Text writes the report as plain text.
func Text(w io.Writer, r *slo.Report) error {
	fmt.Fprintf(w, "Service %s, team %s, release %d, %s\n", r.Service, r.Team, r.Release, r.At.Format(time.RFC3339))
	fmt.Fprintf(w, "Objective: %s (%s)\n", objectiveText(r.Objective), r.Objective.Place)
	fmt.Fprintf(w, "Nodes reporting: %d; not responding: %d\n", len(r.Nodes), len(r.Missing))
	for _, missing := range r.Missing {
		fmt.Fprintf(w, "  %s\n", missing)
	}
	if r.Dropped > 0 {
		fmt.Fprintf(w, "Records dropped since the nodes started: %d\n", r.Dropped)
	}
	if worst := r.Worst(); worst != nil {
		fmt.Fprintf(w, "\nVerdict (%s): %s\n", worst.Length, worst.Attribution.Summary)
	}
	fmt.Fprintln(w)
	if err := windowTable(w, r); err != nil {
		return err
	}
	for i := range r.Windows {
		if err := callerTable(w, &r.Windows[i]); err != nil {
			return err
		}
	}
	return latencyTable(w, r)
}

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func windowTable(w io.Writer, r *slo.Report) error {
	t := newTable(w)
	fmt.Fprintln(t, "WINDOW\tELIGIBLE\tGOOD\tSHED\tSLOW\tFAILED\tBURN RATE\tMONTH'S BUDGET\tTARGET'S PART\t")
	for i := range r.Windows {
		window := &r.Windows[i]
		c := objectiveCounts(window.Total)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n",
			window.Length, c.Eligible(), c.Good, c.Shed, c.Slow, c.Failed,
			burnText(window.Attribution.BurnRate), exhaustionText(window.Attribution.BurnRate), percentText(window.Attribution.ByTarget))
	}
	return t.Flush()
}

func callerTable(w io.Writer, window *slo.WindowReport) error {
	fmt.Fprintf(w, "\nCallers over %s: %s\n", window.Length, window.Attribution.Summary)
	t := newTable(w)
	fmt.Fprintln(t, "CALLER\tOFFERED\tADMITTED\tSHED\tRATE LIMITED\tSLOW\tFAILED\tATTEMPTS\tOVER SHARE\tPART OF BURN\t")
	for _, row := range rowsOf(window) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n",
			displayName(row.Name), row.Offered, row.Admitted, row.Shed, row.Limited, row.Slow, row.Failed, row.TargetAttempts, row.OverShare, row.BurnPercent)
	}
	return t.Flush()
}

// displayName returns the name of a caller, or a placeholder if it is empty.
func displayName(caller string) string {
	if strings.TrimSpace(caller) == "" {
		return "(none)"
	}
	return caller
}

func latencyTable(w io.Writer, r *slo.Report) error {
	fmt.Fprintln(w)
	t := newTable(w)
	fmt.Fprintln(t, "LATENCY\tCALLS\tP50\tP90\tP99\tP99.9\tMAX\t")
	for _, row := range latencyRows(r) {
		s := row.Summary
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t\n", row.Name, s.Count, s.P50, s.P90, s.P99, s.P999, s.Max)
	}
	return t.Flush()
}

// latencyRow is one row of the latency table.
type latencyRow struct {
	Name    string
	Summary slo.LatencyQuantiles
}

func latencyRows(r *slo.Report) []latencyRow {
	return []latencyRow{{"at entry nodes", r.Latency}, {"at targets", r.ServiceTime}}
}
