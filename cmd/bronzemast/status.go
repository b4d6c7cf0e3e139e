package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/operators"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	commands.Register(cli.Command{
		Name:  "status",
		Short: "Show the release and the state of all nodes",
		Long:  "Prints one line for each node with the release in force and where the node received it from. Exits with 1 if a node is unreachable.",
		Run:   &statusCommand{},
	})
}

type statusCommand struct {
	nodeOptions
	JSON bool `long:"json" description:"print JSON"`
}

// nodeState is the entry of a node in the JSON output.
type nodeState struct {
	Node   string            `json:"node"`
	Error  string            `json:"error,omitempty"`
	Status *model.NodeStatus `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	nodes, err := c.list()
	if err != nil {
		return err
	}
	client := operators.NewClient(c.Wait)
	defer client.Close()
	results := operators.GetAll[model.NodeStatus](context.Background(), client, nodes, "/v1/status", nil)
	if c.JSON {
		err = cli.WriteJSON(os.Stdout, nodeStates(results))
	} else {
		err = writeStatusTable(os.Stdout, results)
	}
	if err != nil {
		return err
	}
	if countUnreachable(results) > 0 {
		return cli.ErrReported
	}
	return nil
}

func nodeStates(results []statusResult) []nodeState {
	states := make([]nodeState, 0, len(results))
	for i := range results {
		state := nodeState{Node: nodeName(results[i])}
		if results[i].Err != nil {
			state.Error = results[i].Err.Error()
		} else {
			state.Status = &results[i].Value
		}
		states = append(states, state)
	}
	return states
}

// countUnreachable returns the number of nodes whose status request failed.
func countUnreachable(results []statusResult) int {
	n := 0
	for _, r := range results {
		if r.Err != nil {
			n++
		}
	}
	return n
}

// writeStatusTable writes one line for each node, then a summary.
func writeStatusTable(w io.Writer, results []statusResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tDOMAIN\tRELEASE\tFLOOR\tHOST LIST\tVIA\tSTAGE\tLINKS\tAGE\tNOTE")
	for _, r := range results {
		if r.Err != nil {
			fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t-\t-\t-\tunreachable: %v\n", nodeName(r), r.Err)
			continue
		}
		s := &r.Value
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%d\t%s\t%s\n",
			s.Host, s.Domain, s.Release, s.Floor, s.HostList, viaText(s), s.Stage, len(s.Links), ageText(s), statusNote(s))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, statusSummary(results))
	return err
}

func viaText(s *model.NodeStatus) string {
	if s.Via == "" {
		return "-"
	}
	return s.Via
}

// ageText returns how long the release has been in force.
func ageText(s *model.NodeStatus) string {
	if s.AppliedAt.IsZero() {
		return "-"
	}
	return s.At.Sub(s.AppliedAt).Round(time.Second).String()
}

// statusNote returns the most important condition that an operator should know of,
// empty if there is none.
func statusNote(s *model.NodeStatus) string {
	switch {
	case s.Refused != nil:
		return fmt.Sprintf("refused release %d", s.Refused.Release)
	case len(s.Held) > 0:
		return heldText(s.Held, s.At)
	case !s.Settled:
		return "not settled"
	case s.Highest > s.Release:
		return fmt.Sprintf("knows of release %d", s.Highest)
	case s.Reader:
		return "reads the platform"
	default:
		return ""
	}
}

// heldText describes the requests that a node keeps from targets.
func heldText(held []model.HeldRequest, now time.Time) string {
	since := held[0].Since
	for _, h := range held[1:] {
		if h.Since.Before(since) {
			since = h.Since
		}
	}
	return fmt.Sprintf("keeps %d requests from targets, which crash under them, since %s", len(held), now.Sub(since).Round(time.Second))
}

// statusSummary counts the nodes that have the highest release in force and the
// unreachable nodes.
func statusSummary(results []statusResult) string {
	var highest uint64
	for _, r := range results {
		highest = max(highest, r.Value.Release)
	}
	current := 0
	for _, r := range results {
		if r.Err == nil && r.Value.Release == highest {
			current++
		}
	}
	return fmt.Sprintf("%d of %d nodes have release %d in force; %d unreachable", current, len(results), highest, countUnreachable(results))
}
