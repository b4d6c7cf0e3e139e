package main

import (
	"fmt"
	"os"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/cli"
)

func init() {
	commands.Register(cli.Command{
		Name:  "check",
		Short: "Check templates and team parameters",
		Long:  "Compiles a source directory, or the newest release of a bundle tree, and prints all findings. Exits with 1 if any finding is an error.",
		Run:   &checkCommand{},
	})
}

type checkCommand struct {
	JSON   bool `long:"json" description:"print the findings as JSON"`
	Strict bool `long:"strict" description:"also exit with 1 on warnings"`
	Args   struct {
		Dir string `positional-arg-name:"DIR" description:"source directory or bundle tree"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	snapshot, findings, err := openConfiguration(c.Args.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := cli.WriteJSON(os.Stdout, newFindingReport(findings)); err != nil {
			return err
		}
		return findingsError(findings, c.Strict)
	}
	printFindings(os.Stderr, findings)
	if snapshot != nil {
		fmt.Println(summary(snapshot))
	}
	return findingsError(findings, c.Strict)
}

// summary returns the fleet name and the number of objects of each kind in a
// snapshot.
func summary(s *config.Snapshot) string {
	routes := 0
	for _, service := range s.Services() {
		routes += len(service.Routes)
	}
	ingressRoutes := 0
	if table := s.Ingress(); table != nil {
		ingressRoutes = len(table.Routes())
	}
	return fmt.Sprintf("fleet %s: %d services, %d routes, %d ingress routes, %d callers, %d grants",
		s.Fleet, len(s.Services()), routes, ingressRoutes, len(s.Callers()), len(s.Grants()))
}
