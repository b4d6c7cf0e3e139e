package main

import (
	"os"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/eventdoc"
	_ "github.com/bronzemast/bronzemast/internal/logpipe" // defines events
	_ "github.com/bronzemast/bronzemast/internal/reload"  // defines events
	_ "github.com/bronzemast/bronzemast/plugins/all"      // defines the events
)

func init() {
	commands.Register(cli.Command{
		Name:  "events",
		Short: "Print the catalogue of events",
		Long:  "Prints the number, level, fields, meaning and action of every event that a node logs, in Markdown.",
		Run:   &eventsCommand{},
	})
}

// eventsCommand prints the catalogue of events.
type eventsCommand struct{}

// Execute implements flags.Commander.
func (*eventsCommand) Execute([]string) error {
	return eventdoc.Write(os.Stdout, event.Catalogue())
}
