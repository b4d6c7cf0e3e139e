// Command bronzemast is the command-line tool for operators: it checks and builds
// configurations and queries the nodes of a fleet.
package main

import (
	"os"

	"github.com/bronzemast/bronzemast/internal/cli"
)

// commands holds the subcommands, which init functions of this package register.
var commands cli.Set

func main() {
	os.Exit(commands.Main(os.Args[1:]))
}
