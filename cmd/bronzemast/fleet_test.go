package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/operators"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/admission"
	"github.com/bronzemast/bronzemast/plugins/burn/slo"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// serve starts a server that responds to path with the JSON form of the result of
// value, and returns its address.
func serve(t *testing.T, path string, value func() any) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(value())
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func status(host model.HostID, release uint64) model.NodeStatus {
	return model.NodeStatus{
		Host:   host,
		Domain: "d1",
		Stage:  "serving",
		At:     time.Unix(1000, 0),
		ConfigurationStatus: model.ConfigurationStatus{
			Release:   release,
			Floor:     release,
			Highest:   release,
			HostList:  2,
			Settled:   true,
			Via:       "source",
			AppliedAt: time.Unix(940, 0),
			Links:     []model.LinkStatus{{Peer: "h9", Release: release}},
		},
	}
}

func TestStatusNamesRequestsThatAreKeptFromTargets(t *testing.T) {
	g := NewWithT(t)
	s := status("h1", 7)
	s.Held = []model.HeldRequest{{Since: s.At.Add(-time.Minute)}, {Since: s.At.Add(-2 * time.Minute)}}
	g.Expect(statusNote(&s)).To(Equal("keeps 2 requests from targets, which crash under them, since 2m0s"))
}

func resultOf(s model.NodeStatus) statusResult {
	return statusResult{Node: operators.Node{ID: s.Host}, Value: s}
}

func TestLagReason(t *testing.T) {
	refused := status("h1", 4)
	refused.Refused = &model.RefusedRelease{Release: 5, Findings: []finding.Finding{
		{Place: finding.Place{File: "teams/a.jsonc", Line: 3}, Severity: finding.Error, Message: "no such route"},
		{Message: "another"},
	}}
	informed := status("h1", 4)
	informed.Highest = 5
	isolated := status("h1", 4)
	isolated.Links = nil
	starting := status("h1", 0)
	starting.Settled = false
	cases := []struct {
		name   string
		result statusResult
		want   string
	}{
		{"in force", resultOf(status("h1", 5)), ""},
		{"newer in force", resultOf(status("h1", 6)), ""},
		{"refused", resultOf(refused), "refused release 5: teams/a.jsonc:3: error: no such route (and 1 more)"},
		{"known", resultOf(informed), "knows of release 5"},
		{"without links", resultOf(isolated), "has no link to a peer"},
		{"starting", resultOf(starting), "has not settled"},
		{"unknown", resultOf(status("h1", 4)), "does not know of release 5"},
		{"unreachable", statusResult{Err: errors.New("refused")}, "is unreachable: refused"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := lagReason(c.result, 5)
			if c.want == "" {
				g.Expect(got).To(BeEmpty())
				return
			}
			g.Expect(got).To(ContainSubstring(c.want))
		})
	}
}

func TestStatusTable(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	results := []statusResult{
		resultOf(status("h1", 5)),
		resultOf(status("h2", 4)),
		{Node: operators.Node{ID: "h3"}, Err: errors.New("connection refused")},
	}
	g.Expect(writeStatusTable(&b, results)).To(Succeed())
	g.Expect(b.String()).To(MatchRegexp(`h1 +d1 +5 +5 +2 +source +serving +1 +1m0s`))
	g.Expect(b.String()).To(ContainSubstring("unreachable: connection refused"))
	g.Expect(b.String()).To(ContainSubstring("1 of 3 nodes have release 5 in force; 1 unreachable"))
	g.Expect(nodeStates(results)[2].Error).To(Equal("connection refused"))
}

func TestWatchEndsWhenAllNodesHaveTheRelease(t *testing.T) {
	g := NewWithT(t)
	var release atomic.Uint64
	release.Store(4)
	address := serve(t, "/v1/status", func() any { return status("h1", release.Load()) })
	var b bytes.Buffer
	client := operators.NewClient(10 * time.Second)
	defer client.Close()
	queries := 0
	w := watcher{release: 5, progress: newProgress(&b, false), fetch: func(ctx context.Context) []statusResult {
		if queries++; queries == 3 {
			release.Store(5)
		}
		return operators.GetAll[model.NodeStatus](ctx, client, []operators.Node{{Address: address}}, "/v1/status", nil)
	}}
	g.Expect(w.run(t.Context(), time.Millisecond)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	g.Expect(lines).To(HaveLen(2), "one line for each change")
	g.Expect(lines[1]).To(Equal("release 5: [" + strings.Repeat("#", barWidth) + "] 1 of 1 nodes"))
}

func TestWatchReportsLaggardsAfterTheTimeout(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	w := watcher{release: 5, progress: newProgress(&b, false), fetch: func(context.Context) []statusResult {
		defer cancel()
		return []statusResult{resultOf(status("h2", 4)), resultOf(status("h1", 5))}
	}}
	g.Expect(w.run(ctx, time.Hour)).To(MatchError(cli.ErrReported))
	g.Expect(b.String()).To(ContainSubstring("1 of 2 nodes"))
	g.Expect(b.String()).To(ContainSubstring("h2 does not know of release 5; has release 4 in force, received via source"))
}

func TestExplainHost(t *testing.T) {
	g := NewWithT(t)
	s := status("h1", 4)
	s.Highest = 5
	var b bytes.Buffer
	writeHost(&b, &s, 5)
	g.Expect(b.String()).To(ContainSubstring("h1 has release 4"))
	g.Expect(b.String()).To(ContainSubstring("It lags behind release 5: it knows of release 5"))
	s.Refused = &model.RefusedRelease{Release: 5, Findings: []finding.Finding{{Message: "no such route"}}}
	b.Reset()
	writeHost(&b, &s, 5)
	g.Expect(b.String()).To(ContainSubstring("It refused release 5"))
	g.Expect(b.String()).To(ContainSubstring("no such route"))
}

func TestExplanationsShowTheStrictestVerdictFirst(t *testing.T) {
	g := NewWithT(t)
	allowed := admission.Explanation{Host: "h1", Release: 5, Caller: "a", Service: "s", Verdict: admission.VerdictAllowed, Text: "fine"}
	limited := allowed
	limited.Host, limited.Verdict, limited.Text = "h2", admission.VerdictLimited, "above its share"
	limited.Local = &admission.CallerStatus{Demand: 100, FairShare: 40}
	old := limited
	old.Host, old.Release, old.Verdict = "h3", 4, admission.VerdictRefused
	var b bytes.Buffer
	writeExplanations(&b, []admission.Explanation{allowed, limited, old})
	g.Expect(b.String()).To(HavePrefix("limited: calls of a to s (release 5, according to h2)"))
	g.Expect(b.String()).To(ContainSubstring("at h2: limited; demand 100.0/s, fair share 40.0/s"))
	g.Expect((&explainCommand{Caller: "a"}).Execute(nil)).To(MatchError(ContainSubstring("specify either")))
}

func TestNodesAreReadFromFiles(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return file
	}
	o := nodeOptions{
		Operators: []string{"127.0.0.1:1"},
		Nodes:     write("nodes.json", `{"nodes": [{"id": "h1", "operator": "127.0.0.2:2"}]} // all`+"\n"),
		Hosts:     write("hosts.json", `{"revision": 1, "hosts": [{"id": "h2", "peer_address": "127.0.0.3:70"}]}`),
		Port:      7070,
	}
	g.Expect(o.list()).To(Equal([]operators.Node{
		{Address: "127.0.0.1:1"},
		{ID: "h1", Address: "127.0.0.2:2"},
		{ID: "h2", Address: "127.0.0.3:7070"},
	}))
	g.Expect((&nodeOptions{}).list()).To(Equal([]operators.Node{{Address: defaultOperator}}))
	bad := nodeOptions{Nodes: write("bad.json", "{\"nodes\": [\n{\"id\": \"h1\", \"operator\": \"here\"}]}")}
	_, err := bad.list()
	g.Expect(err).To(MatchError(ContainSubstring("bad.json:2: nodes[0].operator")))
	_, err = (&nodeOptions{Operators: []string{"here"}}).list()
	g.Expect(err).To(HaveOccurred())
	_, err = (&nodeOptions{Nodes: write("empty.json", "{}")}).list()
	g.Expect(err).To(MatchError(ContainSubstring("no node")))
}

func TestReportMergesNodeReports(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, "/v1/report", func() any {
		return slo.NodeReport{Host: "h1", Service: "records", Windows: []slo.Window{{Name: "short", Length: time.Minute, Callers: slo.Callers{
			"a": {Entry: slo.Counts{Offered: 10, Good: 10}},
		}}}}
	})
	failing := httptest.NewServer(http.NotFoundHandler())
	client := operators.NewClient(10 * time.Second)
	defer client.Close()
	nodes := []operators.Node{{Address: address}, {Address: strings.TrimPrefix(failing.URL, "http://"), ID: "h2"}}
	results := operators.GetAll[slo.NodeReport](t.Context(), client, nodes, "/v1/report", serviceQuery("records"))
	failing.Close()
	r, err := mergeReports(results)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Missing).To(ConsistOf(ContainSubstring("h2: status 404")))
	g.Expect(r.Windows[0].Total.Entry.Good).To(Equal(uint64(10)))
	out := filepath.Join(t.TempDir(), "report")
	for format, want := range map[string]string{"text": "Service records", "json": `"service": "records"`, "html": "</html>"} {
		c := reportCommand{Format: format, Out: out}
		g.Expect(c.write(r)).To(Succeed())
		data, err := os.ReadFile(out)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(data)).To(ContainSubstring(want))
	}
	_, err = mergeReports(results[1:])
	g.Expect(err).To(MatchError(ContainSubstring("none of the 1 nodes")))
}
