// Command bronzemast-bench runs benchmarks and soak tests with real node processes, and
// stand-ins for the platform and for targets.
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
