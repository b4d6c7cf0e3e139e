package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/bronzemast/bronzemast/internal/burnpage"
	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/operators"
	"github.com/bronzemast/bronzemast/plugins/burn/slo"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

func init() {
	commands.Register(cli.Command{
		Name:  "report",
		Short: "Show the burn rate of a service's error budget and its cause",
		Long:  "Aggregates the nodes' statistics of the calls to a service: objective, error budget, burn rate over the short and the long window, the fraction that each caller caused, and whether callers or the target are the cause. Query all nodes, since any of them may be the entry node of a call.",
		Run:   &reportCommand{},
	})
}

type reportCommand struct {
	nodeOptions
	Service string `long:"service" required:"true" description:"service to report on"`
	Format  string `long:"format" default:"text" choice:"text" choice:"json" choice:"html" description:"output format"`
	Out     string `long:"out" value-name:"FILE" description:"output file; standard output if not given"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	nodes, err := c.list()
	if err != nil {
		return err
	}
	client := operators.NewClient(c.Wait)
	defer client.Close()
	results := operators.GetAll[slo.NodeReport](context.Background(), client, nodes, "/v1/report", serviceQuery(c.Service))
	report, err := mergeReports(results)
	if err != nil {
		return err
	}
	return c.write(report)
}

// mergeReports merges the reports of the reachable nodes and lists the others as
// missing. It returns an error if no node returned a report.
func mergeReports(results []operators.Result[slo.NodeReport]) (*slo.Report, error) {
	var reports []slo.NodeReport
	missing := []string{}
	for _, r := range results {
		if r.Err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", r.Node, r.Err))
			continue
		}
		reports = append(reports, r.Value)
	}
	if len(reports) == 0 {
		return nil, errors.Errorf("none of the %d nodes returned a report; %s", len(results), missing[0])
	}
	report, err := slo.Merge(reports)
	if err != nil {
		return nil, err
	}
	report.Missing = missing
	return report, nil
}

func (c *reportCommand) write(r *slo.Report) error {
	var b bytes.Buffer
	if err := c.render(&b, r); err != nil {
		return err
	}
	if c.Out == "" {
		_, err := os.Stdout.Write(b.Bytes())
		return errors.Wrap(err, "write report")
	}
	return errors.Wrap(os.WriteFile(c.Out, b.Bytes(), reportMode), "write report")
}

// reportMode is the file mode of a written report.
const reportMode = 0o644

func (c *reportCommand) render(w io.Writer, r *slo.Report) error {
	switch c.Format {
	case "json":
		return cli.WriteJSON(w, r)
	case "html":
		return burnpage.HTML(w, r)
	default:
		return burnpage.Text(w, r)
	}
}

// Interface guards.
var _ flags.Commander = (*reportCommand)(nil)
