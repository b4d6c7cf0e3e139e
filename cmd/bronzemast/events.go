package main

import (
	"os"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/eventdoc"
	_ "github.com/bronzemast/bronzemast/internal/logpipe" // defines events
	_ "github.com/bronzemast/bronzemast/internal/reload"  // defines events
	_ "github.com/bronzemast/bronzemast/plugins/all"      // defines events
)

func init() {
	commands.Register(cli.Command{
		Name:  "events",
		Short: "Print the event catalogue",
		Long:  "Prints the number, level, fields, meaning and action of every event that a node logs, in Markdown.",
		Run:   &eventsCommand{},
	})
}

type eventsCommand struct{}

// Execute implements flags.Commander.
func (*eventsCommand) Execute([]string) error {
	return eventdoc.Write(os.Stdout, event.Catalogue())
}
