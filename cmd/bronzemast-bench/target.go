package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/pkg/errors"
)

// targetDrainTime limits the wait for calls in flight at shutdown.
const targetDrainTime = 30 * time.Second

// targetCommand runs a stand-in target.
type targetCommand struct {
	Listen    string `long:"listen" default:"127.0.0.1:8080" description:"address of the target, IP:port"`
	Behaviour string `long:"behaviour" description:"behaviour of the target as JSON; PUT /standin/behaviour changes it at run time"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of service times and faults"`
}

func init() {
	commands.Register(cli.Command{
		Name:  "target",
		Short: "Run a stand-in for a target",
		Long:  "Responds to calls with the configured service times and faults, and lists every execution at /standin/book.",
		Run:   &targetCommand{},
	})
}

// Execute serves until the process is interrupted, then waits for calls in flight.
func (c *targetCommand) Execute(_ []string) error {
	behaviour := target.DefaultBehaviour()
	if c.Behaviour != "" {
		if err := json.Unmarshal([]byte(c.Behaviour), &behaviour); err != nil {
			return errors.Wrap(err, "parse behaviour")
		}
	}
	t, err := target.Start(target.Options{Address: c.Listen, Behaviour: behaviour, Seed: c.Seed})
	if err != nil {
		return err
	}
	fmt.Printf("target on http://%s\n", t.Address())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), targetDrainTime)
	defer cancel()
	return t.Shutdown(drainCtx)
}
