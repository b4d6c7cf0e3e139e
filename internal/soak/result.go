package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/invariant"
)

// Result is the result of a run.
type Result struct {
	Seed  uint64 `json:"seed"`
	Hosts int    `json:"hosts"`
	// Events counts the injected events by the name of their kind.
	Events map[string]int `json:"events"`
	// Served is the number of requests that succeeded.
	Served int `json:"served"`
	// RecoverySeconds is the time from the end of the last event until every host served every
	// route again, in seconds.
	RecoverySeconds float64          `json:"recovered_s"`
	Report          invariant.Report `json:"report"`
	// Problems describe the faults found that no promise covers.
	Problems []string `json:"problems"`
}

// maxPrinted bounds the number of violations that Write prints.
const maxPrinted = 10

// Held reports whether every promise held and no other problem was found.
func (r *Result) Held() bool {
	return r.Report.Held() && len(r.Problems) == 0
}

// Write writes the result as a table, followed by the violations and problems.
func (r *Result) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	calls := r.Report.Calls
	fmt.Fprintf(table, "seed\t%d\n", r.Seed)
	fmt.Fprintf(table, "hosts\t%d\n", r.Hosts)
	fmt.Fprintf(table, "events\t%s\n", r.eventText())
	fmt.Fprintf(table, "requests sent / served\t%d / %d\n", calls.Sent, r.Served)
	fmt.Fprintf(table, "reported not run / unknown\t%d / %d\n", calls.NotRun, calls.Unknown)
	fmt.Fprintf(table, "recovered after\t%.1fs\n", r.RecoverySeconds)
	for _, p := range invariant.Promises() {
		status := "held"
		if n := r.Report.Broken[p.String()]; n > 0 {
			status = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(table, "promise %s\t%s\n", p, status)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i, v := range r.Report.Violations {
		if i == maxPrinted {
			fmt.Fprintf(out, "and %d more\n", len(r.Report.Violations)-maxPrinted)
			break
		}
		fmt.Fprintln(out, v)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(out, "problem:", p)
	}
	return nil
}

func (r *Result) eventText() string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(r.Events)) {
		texts = append(texts, fmt.Sprintf("%s %d", name, r.Events[name]))
	}
	return strings.Join(texts, ", ")
}

// Interface guard.
var _ cli.Result = (*Result)(nil)
