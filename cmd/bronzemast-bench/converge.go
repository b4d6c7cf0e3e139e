package main

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/convergebench"
)

// convergeCommand benchmarks the convergence of a fleet on published changes.
type convergeCommand struct {
	Nodes    int `long:"nodes" default:"8" description:"number of node processes"`
	Domains  int `long:"domains" default:"4" description:"number of failure domains"`
	Regions  int `long:"regions" default:"2" description:"number of regions"`
	Services int `long:"services" default:"20" description:"number of services, each with its team"`
	Changes  int `long:"changes" default:"12" description:"number of changes to publish"`
	Churn    int `long:"churn" default:"0" description:"number of hosts to restart while changes are published"`
	//lint:ignore SA5008 go-flags takes one tag for each choice
	Fault string `long:"fault" default:"none" choice:"none" choice:"kill" choice:"pause" choice:"silence" choice:"partition" choice:"source-down" choice:"source-stale" choice:"source-backwards" choice:"source-corrupt" choice:"herd" description:"fault during the middle third of the changes"`
	//lint:ignore SA5008 go-flags takes one tag for each choice
	Baseline string        `long:"baseline" default:"none" choice:"none" choice:"source" choice:"whole" description:"simpler design to compare with: every node reads the source, or whole releases instead of deltas"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	WarmUp   time.Duration `long:"warm-up" default:"5s" description:"time before the idle phase"`
	Idle     time.Duration `long:"idle" default:"5s" description:"length of the idle phase, without changes"`
	Binary   string        `long:"node-binary" description:"bronzemast-node program; built from the module if not given"`
	JSON     bool          `long:"json" description:"print the result as JSON"`
}

func init() {
	commands.Register(cli.Command{
		Name:  "converge",
		Short: "Benchmark the convergence of real node processes",
		Long:  "Starts node processes with a stand-in platform, publishes changes, injects a fault, and reports convergence, control bytes, platform calls, processor time and memory. Exits with 1 if a promise was broken.",
		Run:   &convergeCommand{},
	})
}

// Execute runs the experiment.
func (c *convergeCommand) Execute(_ []string) error {
	ctx, stop := cli.SignalContext()
	defer stop()
	result, err := convergebench.Run(ctx, convergebench.Options{
		Nodes:    c.Nodes,
		Domains:  c.Domains,
		Regions:  c.Regions,
		Services: c.Services,
		Changes:  c.Changes,
		Churn:    c.Churn,
		Fault:    convergebench.Fault(c.Fault),
		Baseline: convergebench.Baseline(c.Baseline),
		Seed:     c.Seed,
		WarmUp:   c.WarmUp,
		Idle:     c.Idle,
		Binary:   c.Binary,
	})
	if err != nil {
		return err
	}
	return cli.PrintResult(result, c.JSON)
}
