package main

import (
	"fmt"
	"os"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/cli"
)

func init() {
	commands.Register(cli.Command{
		Name:  "diff",
		Short: "Compare two configurations",
		Long:  "Compares two source directories or bundle trees in terms of services, routes, ingress routes, callers, permissions, rates and shares. TREE@N selects release N of a tree.",
		Run:   &diffCommand{},
	})
}

type diffCommand struct {
	JSON bool `long:"json" description:"print the changes as JSON"`
	Args struct {
		Old string `positional-arg-name:"A" description:"source directory, bundle tree or TREE@N"`
		New string `positional-arg-name:"B" description:"source directory, bundle tree or TREE@N"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	before := openSnapshot(c.Args.Old)
	after := openSnapshot(c.Args.New)
	if before == nil || after == nil {
		return cli.ErrReported
	}
	changes := config.Diff(before, after)
	if c.JSON {
		return cli.WriteJSON(os.Stdout, append([]config.Change{}, changes...))
	}
	for _, change := range changes {
		fmt.Println(change)
	}
	if len(changes) == 0 {
		fmt.Println("no change")
	}
	return nil
}

// openSnapshot returns the snapshot of a configuration. If the configuration
// cannot be read or compiled, it prints the reason to standard error and returns
// nil.
func openSnapshot(name string) *config.Snapshot {
	snapshot, findings, err := openConfiguration(name)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
	case snapshot == nil:
		printFindings(os.Stderr, findings)
	}
	return snapshot
}
