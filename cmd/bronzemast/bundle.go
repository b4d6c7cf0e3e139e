package main

import (
	"fmt"
	"os"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/cli"
)

func init() {
	commands.Register(cli.Command{
		Name:  "bundle",
		Short: "Build a release for the platform to publish",
		Long:  "Checks a source directory and writes it as the next release of a bundle tree. Writes nothing and exits with 1 if any finding is an error.",
		Run:   &bundleCommand{},
	})
}

type bundleCommand struct {
	Out    string `long:"out" required:"true" description:"directory of the bundle tree"`
	Number uint64 `long:"number" description:"release number; by default one more than the highest in the tree"`
	Strict bool   `long:"strict" description:"also fail on warnings, without writing the release"`
	JSON   bool   `long:"json" description:"print the result as JSON"`
	Args   struct {
		Dir string `positional-arg-name:"DIR" description:"source directory"`
	} `positional-args:"yes" required:"yes"`
}

// bundleReport is the JSON output of the command.
type bundleReport struct {
	findingReport
	Release uint64        `json:"release,omitempty"`
	Digest  config.Digest `json:"digest"`
	Parts   int           `json:"parts"`
}

// Execute implements flags.Commander.
func (c *bundleCommand) Execute([]string) error {
	sources, findings := config.LoadDir(c.Args.Dir)
	snapshot, findings := config.Check(sources, findings)
	report := bundleReport{findingReport: newFindingReport(findings)}
	if !c.JSON {
		printFindings(os.Stderr, findings)
	}
	if err := findingsError(findings, c.Strict); err != nil {
		if c.JSON {
			_ = cli.WriteJSON(os.Stdout, report) // the command fails because of the findings anyway
		}
		return err
	}
	release, err := config.OpenTree(c.Out).Publish(sources, c.Number)
	if err != nil {
		return err
	}
	if c.JSON {
		report.Release = release.Record.Number
		report.Digest = release.Record.ContentDigest
		report.Parts = len(release.Record.Parts)
		return cli.WriteJSON(os.Stdout, report)
	}
	fmt.Printf("release %d (%s) in %s\n", release.Record.Number, release.Record.ContentDigest.Short(), c.Out)
	fmt.Println(summary(snapshot))
	return nil
}
