package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/operators"
	"github.com/bronzemast/bronzemast/model"
)

func init() {
	commands.Register(cli.Command{
		Name:  "watch",
		Short: "Wait until a release is in force on all nodes",
		Long:  "Shows how many nodes have the release, or a newer one, in force. Exits with 0 once all nodes have it. After --timeout, prints the reason for each node that lags behind and exits with 1.",
		Run:   &watchCommand{},
	})
}

type watchCommand struct {
	nodeOptions
	Timeout  time.Duration `long:"timeout" default:"1m" description:"time after which the command fails"`
	Interval time.Duration `long:"interval" default:"250ms" description:"time between two queries of the nodes"`
	Args     struct {
		Release uint64 `positional-arg-name:"RELEASE" description:"release number"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	nodes, err := c.list()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := operators.NewClient(c.Wait)
	defer client.Close()
	w := watcher{
		release:  c.Args.Release,
		progress: newProgress(os.Stdout, isTerminal(os.Stdout)),
		fetch: func(ctx context.Context) []statusResult {
			return operators.GetAll[model.NodeStatus](ctx, client, nodes, "/v1/status", nil)
		},
	}
	return w.run(ctx, c.Interval)
}

// watcher waits until a release is in force on all nodes.
type watcher struct {
	release  uint64
	progress *progress
	fetch    func(ctx context.Context) []statusResult
	// last holds the results of the last query that the timeout did not interrupt.
	last []statusResult
}

func (w *watcher) run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		results := w.fetch(ctx)
		if ctx.Err() == nil || w.last == nil {
			w.last = results
		}
		lagging := laggards(w.last, w.release)
		w.progress.show(len(w.last)-len(lagging), len(w.last), w.release)
		if len(lagging) == 0 {
			w.progress.end()
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			w.progress.end()
			w.progress.printReasons(lagging)
			return cli.ErrReported
		}
	}
}

// laggard is a node that does not have a release in force, with the reason.
type laggard struct {
	node   string
	reason string
}

// laggards returns the nodes that lag behind a release, in the order of results.
func laggards(results []statusResult, release uint64) []laggard {
	var lagging []laggard
	for _, r := range results {
		if reason := lagReason(r, release); reason != "" {
			lagging = append(lagging, laggard{node: nodeName(r), reason: reason})
		}
	}
	return lagging
}

// lagReason returns why a node does not have a release in force. It is empty if
// the node has that release or a newer one.
func lagReason(r statusResult, release uint64) string {
	s := &r.Value
	switch {
	case r.Err != nil:
		return fmt.Sprintf("is unreachable: %v", r.Err)
	case s.Release >= release:
		return ""
	case s.Refused != nil && s.Refused.Release >= release:
		return fmt.Sprintf("refused release %d: %s", s.Refused.Release, firstFinding(s.Refused))
	case s.Highest >= release:
		return fmt.Sprintf("knows of release %d, has release %d in force", s.Highest, s.Release)
	case len(s.Links) == 0 && !s.Reader:
		return fmt.Sprintf("has no link to a peer and does not read the platform; has release %d in force", s.Release)
	case !s.Settled:
		return "has not settled after its start"
	default:
		return fmt.Sprintf("does not know of release %d; has release %d in force, received via %s", release, s.Release, viaText(s))
	}
}

func firstFinding(r *model.RefusedRelease) string {
	switch len(r.Findings) {
	case 0:
		return "no findings recorded"
	case 1:
		return r.Findings[0].String()
	default:
		return fmt.Sprintf("%s (and %d more)", r.Findings[0], len(r.Findings)-1)
	}
}

// progress prints a progress bar. A terminal shows it in place; other outputs get
// one line per change.
type progress struct {
	out      io.Writer
	terminal bool
	lastLine string
}

// barWidth is the width of the progress bar in characters.
const barWidth = 40

func newProgress(out io.Writer, terminal bool) *progress {
	return &progress{out: out, terminal: terminal}
}

func (p *progress) show(done, all int, release uint64) {
	line := fmt.Sprintf("release %d: [%s] %d of %d nodes", release, bar(done, all), done, all)
	if line == p.lastLine {
		return
	}
	p.lastLine = line
	if p.terminal {
		fmt.Fprintf(p.out, "\r%s", line)
		return
	}
	fmt.Fprintln(p.out, line)
}

func bar(done, all int) string {
	filled := 0
	if all > 0 {
		filled = barWidth * done / all
	}
	return strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled)
}

func (p *progress) end() {
	if p.terminal {
		fmt.Fprintln(p.out)
	}
}

// printReasons writes the reason of each laggard, sorted by node name.
func (p *progress) printReasons(lagging []laggard) {
	sorted := slices.Clone(lagging)
	slices.SortFunc(sorted, func(a, b laggard) int { return strings.Compare(a.node, b.node) })
	for _, l := range sorted {
		fmt.Fprintf(p.out, "%s %s\n", l.node, l.reason)
	}
}
