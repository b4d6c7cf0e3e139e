package main

import (
	"os"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/demo"
)

func init() {
	commands.Register(cli.Command{
		Name:  "demo",
		Short: "Run a whole deployment in one process",
		Long: "Runs the platform, targets, nodes and callers of the example deployment clearplate in one process, " +
			"publishes valid and invalid releases, kills a node, takes the platform down, and checks every promise. " +
			"Exits with 1 if a promise was broken.",
		Run: &demoCommand{},
	})
}

type demoCommand struct {
	Duration time.Duration `long:"duration" default:"18s" description:"how long callers send calls"`
	Nodes    int           `long:"nodes" default:"9" description:"number of nodes, at least 6"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the callers' random choices and the targets' service times"`
	JSON     bool          `long:"json" description:"print the result as JSON"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := cli.SignalContext()
	defer stop()
	result, err := demo.Run(ctx, demo.Options{
		Nodes:    c.Nodes,
		Duration: c.Duration,
		Seed:     c.Seed,
		Progress: os.Stderr,
	})
	if err != nil {
		return err
	}
	return cli.PrintResult(result, c.JSON)
}
