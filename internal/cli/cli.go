// Package cli runs programs with subcommands.
package cli

import (
	"fmt"
	"os"
	"sort"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes of a program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// ErrReported is returned by a command that has already printed its error. The program
// then exits with ExitFailure and prints nothing else.
var ErrReported = errors.New("failed")

// Command is a subcommand. Run is a pointer to a struct with go-flags tags.
type Command struct {
	Name  string
	Short string
	Long  string
	Run   flags.Commander
}

// Set collects the subcommands of a program.
type Set struct {
	commands []Command
}

// Register adds a subcommand.
func (s *Set) Register(c Command) {
	s.commands = append(s.commands, c)
}

// Main parses the arguments, runs the selected subcommand and returns the exit code.
func (s *Set) Main(args []string) int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	sort.Slice(s.commands, func(i, j int) bool { return s.commands[i].Name < s.commands[j].Name })
	for _, c := range s.commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Run); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrReported):
		return ExitFailure
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return ExitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
}
