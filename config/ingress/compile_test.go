package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzemast/bronzemast/finding"
)

// validRoute returns a valid route.
func validRoute(name, prefix string) Route {
	return Route{
		Name: name, Authority: "a.example", Prefix: prefix, Timeout: time.Second, Attempts: 1,
		Destinations: []Destination{{Service: "alpha", Weight: 1}},
		Place:        finding.Place{Field: name},
	}
}

func validDocument() *Document {
	return &Document{
		Number:   7,
		Services: []Service{{Name: "alpha"}, {Name: "beta"}},
		Routes:   []Route{validRoute("short", "/a/"), validRoute("long", "/a/b/"), validRoute("root", "/")},
	}
}

func TestLongestPrefixMatches(t *testing.T) {
	g := NewWithT(t)
	table, err := Compile(validDocument())
	g.Expect(err).NotTo(HaveOccurred())
	for path, want := range map[string]string{
		"/a/b/c": "long", "/a/b/": "long", "/a/b": "short", "/a/x": "short", "/ab": "root", "/": "root",
	} {
		for _, authority := range []string{"a.example", "A.Example", "a.example:8080"} {
			g.Expect(table.Match(authority, path).Name).To(Equal(want), "%s%s", authority, path)
		}
	}
	g.Expect(table.Match("b.example", "/a/")).To(BeNil())
	g.Expect(table.Service("beta")).NotTo(BeNil())
	g.Expect(table.Service("gamma")).To(BeNil())
	g.Expect(table.Routes()).To(HaveLen(3))
}

func TestInvalidDocumentsAreRejected(t *testing.T) {
	cases := map[string]struct {
		modify func(*Document)
		want   string
	}{
		"unknown service":       {func(d *Document) { d.Routes[0].Destinations[0].Service = "gamma" }, `service "gamma" is not defined`},
		"no service":            {func(d *Document) { d.Routes[0].Destinations = nil }, "no service"},
		"weight":                {func(d *Document) { d.Routes[0].Destinations[0].Weight = 0 }, "weight 0"},
		"prefix without slash":  {func(d *Document) { d.Routes[0].Prefix = "/a" }, "slash"},
		"relative prefix":       {func(d *Document) { d.Routes[0].Prefix = "a/" }, "slash"},
		"no authority":          {func(d *Document) { d.Routes[0].Authority = "" }, "authority"},
		"no timeout":            {func(d *Document) { d.Routes[0].Timeout = 0 }, "timeout"},
		"negative objective":    {func(d *Document) { d.Routes[0].Objective = -1 }, "objective"},
		"negative rank":         {func(d *Document) { d.Routes[0].Rank = -1 }, "rank"},
		"limit of bodies":       {func(d *Document) { d.Routes[0].MaxBodyBytes = -1 }, "bodies"},
		"no attempts":           {func(d *Document) { d.Routes[0].Attempts = 0 }, "attempts"},
		"two routes":            {func(d *Document) { d.Routes[1].Prefix = "/a/" }, "both"},
		"service defined twice": {func(d *Document) { d.Services[1].Name = "alpha" }, "twice"},
		"service without name":  {func(d *Document) { d.Services[1].Name = "" }, "no name"},
		"connections":           {func(d *Document) { d.Services[1].Connections = -1 }, "connections"},
		"warm-up":               {func(d *Document) { d.Services[1].Warmup.Rate = -1 }, "warm-up"},
		"region without name":   {func(d *Document) { d.Routes[0].Regions = []string{"r", ""} }, "region"},
		"limit in bytes":        {func(d *Document) { d.Limits.MaxBodyBytes = -1 }, "bytes"},
		"time limit":            {func(d *Document) { d.Limits.IdleTimeout = -1 }, "time limit"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			doc := validDocument()
			c.modify(doc)
			table, err := Compile(doc)
			g.Expect(table).To(BeNil())
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

func TestAllErrorsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	doc := validDocument()
	doc.Routes[0].Timeout = 0
	doc.Routes[2].Attempts = 0
	_, err := Compile(doc)
	g.Expect(err).To(MatchError(And(ContainSubstring("short"), ContainSubstring("root"))))
}

// A compiled table contains all services that its routes name, and Match returns the
// route with the longest prefix of the path.
func TestCompiledTableIsConsistent(t *testing.T) {
	prefixes := rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/a/b/c/", "/b/"})
	rapid.Check(t, func(t *rapid.T) {
		doc := &Document{Services: []Service{{Name: "alpha"}}}
		for _, prefix := range rapid.SliceOfDistinct(prefixes, func(s string) string { return s }).Draw(t, "prefixes") {
			r := validRoute(prefix, prefix)
			r.Destinations[0].Service = rapid.SampledFrom([]string{"alpha", "gamma"}).Draw(t, "service")
			doc.Routes = append(doc.Routes, r)
		}
		table, err := Compile(doc)
		if err != nil {
			return
		}
		path := prefixes.Draw(t, "path") + "x"
		found := table.Match("a.example", path)
		for _, r := range table.Routes() {
			for _, d := range r.Destinations {
				if table.Service(d.Service) == nil {
					t.Fatalf("route %s names service %s, which is not in the table", r.Name, d.Service)
				}
			}
			if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix && (found == nil || len(found.Prefix) < len(r.Prefix)) {
				t.Fatalf("%s matches %v, not %s", path, found, r.Prefix)
			}
		}
	})
}
