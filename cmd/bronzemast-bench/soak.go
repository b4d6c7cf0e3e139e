package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/soak"
	"github.com/pkg/errors"
)

// soakCommand runs soak tests with consecutive seeds.
type soakCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the first run; each further run uses the next seed"`
	Runs     int           `long:"runs" default:"1" description:"number of runs"`
	Hosts    int           `long:"hosts" default:"9" description:"number of hosts, each with a node process"`
	Duration time.Duration `long:"duration" default:"15s" description:"length of the fault phase of each run"`
	Planned  bool          `long:"planned" description:"no faults, only graceful stops, reloads and changes of configurations and workers"`
	Binary   string        `long:"node-binary" description:"bronzemast-node program; built from the module if not given"`
	Older    string        `long:"older-node-binary" description:"earlier version of the bronzemast-node program, which every second host starts with; planned restarts change the version"`
	Logs     string        `long:"logs" description:"directory for settings and logs, with a subdirectory for each seed; by default a temporary directory that is removed after the run"`
	JSON     bool          `long:"json" description:"print the results as JSON"`
}

func init() {
	commands.Register(cli.Command{
		Name:  "soak",
		Short: "Run nodes under random faults and check the promises",
		Long:  "Starts node processes of the profile sidecar with stand-ins for the store and the workers, injects overlapping faults, and checks the promises against the observations of callers and workers. Exits with 1 if a promise was broken.",
		Run:   &soakCommand{},
	})
}

// Execute runs the soak tests. It returns cli.ErrReported if any of them failed.
func (c *soakCommand) Execute(_ []string) error {
	ctx, stop := cli.SignalContext()
	defer stop()
	if c.Binary == "" {
		dir, err := os.MkdirTemp("", "bronzemast-soak-")
		if err != nil {
			return errors.Wrap(err, "create directory for the node program")
		}
		defer func() { _ = os.RemoveAll(dir) }() // best effort: the directory is temporary
		if c.Binary, err = procfleet.Build(dir); err != nil {
			return err
		}
	}
	failed := 0
	for i := range c.Runs {
		o := soak.Options{Seed: c.Seed + uint64(i), Hosts: c.Hosts, Duration: c.Duration, Binary: c.Binary, OlderBinary: c.Older, PlannedOnly: c.Planned}
		if c.Logs != "" {
			o.Dir = filepath.Join(c.Logs, fmt.Sprintf("seed-%d", o.Seed))
			if err := os.MkdirAll(o.Dir, 0o700); err != nil {
				return errors.Wrap(err, "create log directory")
			}
		}
		result, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		if cli.PrintResult(result, c.JSON) != nil {
			failed++
		}
	}
	if failed > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d runs failed\n", failed, c.Runs)
		return cli.ErrReported
	}
	return nil
}
