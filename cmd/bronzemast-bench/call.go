package main

import (
	"time"

	"github.com/bronzemast/bronzemast/internal/callbench"
	"github.com/bronzemast/bronzemast/internal/cli"
)

// callCommand benchmarks calls under faults.
type callCommand struct {
	//lint:ignore SA5008 go-flags takes one tag for each choice
	Scenario string `long:"scenario" default:"steady" choice:"steady" choice:"overload" choice:"drain" choice:"rolling-restart" choice:"kill" choice:"pause" choice:"silence" choice:"late-answer" choice:"cold-start" choice:"lying-health" choice:"deep" choice:"skew" description:"load and faults of the run"`
	//lint:ignore SA5008 go-flags takes one tag for each choice
	Baseline string        `long:"baseline" choice:"random" choice:"fcfs" choice:"unbudgeted" description:"policy to compare with: random balancing, first-come admission or retries without budget"`
	Duration time.Duration `long:"duration" default:"9s" description:"length of the run"`
	Rate     float64       `long:"rate" default:"260" description:"calls per second to each node"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of all random choices of callers and targets"`
	Binary   string        `long:"node-binary" description:"bronzemast-node program; built from the module if not given"`
	JSON     bool          `long:"json" description:"print the result as JSON"`
}

func init() {
	commands.Register(cli.Command{
		Name:  "call",
		Short: "Benchmark calls through real node processes under faults",
		Long:  "Starts six nodes and their stand-in targets, sends calls, injects the scenario's faults, and compares the outcomes that callers received with the executions at the targets. Exits with 1 if a promise was broken.",
		Run:   &callCommand{},
	})
}

// Execute runs the scenario.
func (c *callCommand) Execute(_ []string) error {
	ctx, stop := cli.SignalContext()
	defer stop()
	result, err := callbench.Run(ctx, callbench.Options{
		Scenario: c.Scenario,
		Baseline: c.Baseline,
		Duration: c.Duration,
		Rate:     c.Rate,
		Seed:     c.Seed,
		Binary:   c.Binary,
	})
	if err != nil {
		return err
	}
	return cli.PrintResult(result, c.JSON)
}
