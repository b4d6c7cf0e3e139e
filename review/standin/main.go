// Command standin runs one case of the review: it starts the project's nodes with the command of
// the deploy file, beside stand-ins for the platform's store, the workers and the clients, and
// checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is a case. Its run leaves the disruption out if trouble is false.
type scenario struct {
	// base is the beginning of the loopback addresses of its machines.
	base string
	run  func(f *Fleet, trouble bool) (broken bool, err error)
}

// scenarios holds the cases by name. The file of each adds its own.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	chosen, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	f, err := newFleet(root, record, chosen.base)
	if err != nil {
		record.Note("the case can't run: %v", err)
		return exitFailed
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Note("case %s, with the disruption: %t", name, trouble)
	broken, err := chosen.run(f, trouble)
	switch {
	case err != nil:
		record.Note("the case could not run: %v", err)
		return exitFailed
	case broken:
		record.Note("the rule was broken")
		return exitBroken
	default:
		record.Note("the rule held")
		return exitHeld
	}
}
