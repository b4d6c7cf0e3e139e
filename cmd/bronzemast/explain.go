package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/operators"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/admission"
	"github.com/pkg/errors"
)

func init() {
	commands.Register(cli.Command{
		Name:  "explain",
		Short: "Explain why calls are limited, why a host has its release, or how a request ended",
		Long:  "With --request, reads the logs of nodes, or standard input, and prints the events of a request in causal order with their reasons; exits with 1 if the logs do not contain the request. With --caller and --target, prints whether such calls are currently allowed, limited or refused, and the parameter that decides this with its place. With --host, prints the release of a host and how the host received it, or why it refused one.",
		Run:   &explainCommand{},
	})
}

type explainCommand struct {
	nodeOptions
	Caller string `long:"caller" description:"caller whose calls to explain"`
	Target string `long:"target" value-name:"SERVICE" description:"service that the caller calls"`
	Host   string `long:"host" description:"host whose release to explain"`
	// Request selects the mode that reads Logs instead of querying nodes.
	Request string `long:"request" value-name:"ID" description:"request to explain from logs"`
	JSON    bool   `long:"json" description:"print JSON"`
	Logs    struct {
		Files []string `positional-arg-name:"LOG" description:"log of a node, with --request; standard input if - or not given"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Request != "" {
		if c.Caller != "" || c.Target != "" || c.Host != "" {
			return errors.New("--request cannot be combined with --caller, --target or --host")
		}
		return explainRequest(c.Request, c.Logs.Files, c.JSON)
	}
	byCall := c.Caller != "" && c.Target != ""
	if byCall == (c.Host != "") || !byCall && (c.Caller != "" || c.Target != "") {
		return errors.New("specify either --caller and --target, or --host, or --request")
	}
	nodes, err := c.list()
	if err != nil {
		return err
	}
	client := operators.NewClient(c.Wait)
	defer client.Close()
	if byCall {
		return c.explainCalls(client, nodes)
	}
	return c.explainHost(client, nodes)
}

func (c *explainCommand) explainCalls(client *operators.Client, nodes []operators.Node) error {
	query := url.Values{"caller": {c.Caller}, "service": {c.Target}}
	results := operators.GetAll[admission.Explanation](context.Background(), client, nodes, "/v1/explain", query)
	var explanations []admission.Explanation
	for _, r := range results {
		if r.Err != nil {
			fmt.Fprintf(os.Stderr, "%s is unreachable: %v\n", r.Node, r.Err)
			continue
		}
		explanations = append(explanations, r.Value)
	}
	if len(explanations) == 0 {
		return cli.ErrReported
	}
	if c.JSON {
		return cli.WriteJSON(os.Stdout, explanations)
	}
	writeExplanations(os.Stdout, explanations)
	return nil
}

// writeExplanations writes the rules once, according to the node with the newest
// release, and the load at each target-side node. Among nodes with that release, the
// one with the strictest verdict is used.
func writeExplanations(w io.Writer, explanations []admission.Explanation) {
	newest := explanations[0]
	for _, e := range explanations {
		if e.Release > newest.Release || e.Release == newest.Release && stricter(e, newest) {
			newest = e
		}
	}
	fmt.Fprintf(w, "%s: calls of %s to %s (release %d, according to %s)\n", newest.Verdict, newest.Caller, newest.Service, newest.Release, newest.Host)
	fmt.Fprintf(w, "  %s\n", newest.Text)
	if g := newest.Grant; g != nil {
		fmt.Fprintf(w, "  grant: %s, team %s: rate %g/s, burst %d, share %g (%.0f%% of all shares)\n",
			g.Place, g.Team, g.Rate, g.Burst, g.Share, 100*g.ShareFraction)
		fmt.Fprintf(w, "  live targets: %d\n", newest.LiveTargets)
	}
	for _, r := range newest.Routes {
		fmt.Fprintf(w, "  route %s (%s %s): %s; %s\n", r.Name, orAny(r.Method), r.Path, permission(r.Permitted), r.Place)
	}
	for _, r := range newest.Ingress {
		fmt.Fprintf(w, "  ingress %s (%s%s): %.0f%% of its calls go to this service; %s\n", r.Name, r.Authority, r.Prefix, 100*r.WeightFraction, r.Place)
	}
	for _, e := range explanations {
		writeLoad(w, e)
	}
}

// stricter reports whether an explanation has a stricter verdict than another. Of
// equal verdicts, one with the caller's state at the node's own target is stricter
// than one without.
func stricter(e, than admission.Explanation) bool {
	rank := map[string]int{admission.VerdictAllowed: 0, admission.VerdictLimited: 1, admission.VerdictRefused: 2}
	if rank[e.Verdict] != rank[than.Verdict] {
		return rank[e.Verdict] > rank[than.Verdict]
	}
	return e.Local != nil && than.Local == nil
}

func writeLoad(w io.Writer, e admission.Explanation) {
	local := e.Local
	if local == nil {
		return
	}
	fairShare := "unlimited"
	if local.FairShare > 0 {
		fairShare = fmt.Sprintf("%.1f/s", local.FairShare)
	}
	fmt.Fprintf(w, "  at %s: %s; demand %.1f/s, fair share %s, rate quota %.1f/s with %.0f tokens; target: %d of %d slots used, %d queued; since node start %d offered, %d admitted, %d shed, %d above the rate, %d over share\n",
		e.Host, e.Verdict, local.Demand, fairShare, local.RateQuota, local.RateTokens,
		local.Load.InFlight, local.Load.Limit, local.Load.Queued,
		local.Counts.Offered, local.Counts.Admitted, local.Counts.Shed, local.Counts.RateLimited, local.Counts.OverShare)
}

func orAny(method string) string {
	if method == "" {
		return "any method"
	}
	return method
}

func permission(permitted bool) string {
	if permitted {
		return "permitted"
	}
	return "not permitted"
}

func (c *explainCommand) explainHost(client *operators.Client, nodes []operators.Node) error {
	results := operators.GetAll[model.NodeStatus](context.Background(), client, nodes, "/v1/status", nil)
	found := findHost(results, c.Host)
	if found == nil {
		return errors.Errorf("none of the %d queried nodes is named %q; %d are unreachable", len(results), c.Host, countUnreachable(results))
	}
	if found.Err != nil {
		return errors.Wrapf(found.Err, "%s is unreachable", c.Host)
	}
	if c.JSON {
		return cli.WriteJSON(os.Stdout, found.Value)
	}
	writeHost(os.Stdout, &found.Value, highestRelease(results))
	return nil
}

func findHost(results []statusResult, host string) *statusResult {
	for i := range results {
		if nodeName(results[i]) == host {
			return &results[i]
		}
	}
	return nil
}

// highestRelease returns the highest release that any node has in force or knows
// of.
func highestRelease(results []statusResult) uint64 {
	var highest uint64
	for _, r := range results {
		highest = max(highest, r.Value.Release, r.Value.Highest)
	}
	return highest
}

// writeHost writes the release of a host, how the host received it, and why it has
// no newer one.
func writeHost(w io.Writer, s *model.NodeStatus, highest uint64) {
	if s.Release == 0 {
		fmt.Fprintf(w, "%s has no release in force.\n", s.Host)
	} else {
		fmt.Fprintf(w, "%s has release %d (%s) in force since %s, received via %s.\n",
			s.Host, s.Release, s.Digest.Short(), s.AppliedAt.Format(time.RFC3339), viaText(s))
	}
	fmt.Fprintf(w, "Its floor is %d: it accepts no lower release. Host list: %d. Stage: %s.\n", s.Floor, s.HostList, s.Stage)
	if r := s.Refused; r != nil {
		fmt.Fprintf(w, "It refused release %d; no part of that release is in force:\n", r.Release)
		for _, f := range r.Findings {
			fmt.Fprintf(w, "  %s\n", f)
		}
	}
	if reason := lagReason(statusResult{Value: *s}, highest); reason != "" && s.Refused == nil {
		fmt.Fprintf(w, "It lags behind release %d: it %s.\n", highest, reason)
	}
	fmt.Fprintf(w, "Links: %d; reads the platform: %t.\n", len(s.Links), s.Reader)
	for _, l := range s.Links {
		fmt.Fprintf(w, "  %s: release %d, host list %d, last message %s ago\n", l.Peer, l.Release, l.HostList, l.SinceLastReceived.Round(time.Millisecond))
	}
}
