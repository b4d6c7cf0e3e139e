package requestlog

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	entryLog = `{"event":1010,"host":"a","msg":"node started"}
{"event":2200,"host":"a","time":"t3","request":"r1","hop":1,"target":"i-1","outcome":"not-run","reason":"overloaded","occupied":3,"slots":8,"load_age_ms":120,"took_ms":4}
{"event":2200,"host":"a","time":"t3","request":"r1","hop":2,"target":"i-2","outcome":"not-run","reason":"overloaded","occupied":8,"slots":8,"load_age_ms":9223372036854,"took_ms":3}
{"event":2201,"host":"a","time":"t3","request":"r1","route":"x","service":"s","outcome":"not-run","reason":"overloaded","status":503,"hops":2,"retry_after_ms":300,"took_ms":9,"configuration":7,"revision":40}
{"event":2201,"host":"a","request":"r10","outcome":"ran","status":200}
`
	targetLog = `{"event":2202,"host":"b","time":"t1","request":"r1","target":"i-2","outcome":"not-run","reason":"overloaded","running":8,"waiting":4,"slots":8,"start_within_ms":90,"revision":40,"sender_revision":40}
{"event":2202,"host":"b","request":"r1","target":"i-2","runn
`
)

func read(t *testing.T, request string, logs ...string) *History {
	t.Helper()
	r := NewReader(request, nil)
	for _, log := range logs {
		NewWithT(t).Expect(r.Read("log", strings.NewReader(log))).To(Succeed())
	}
	return r.History()
}

func TestLinesOfSeveralNodesAreSortedCausally(t *testing.T) {
	g := NewWithT(t)
	h := read(t, "r1", targetLog, entryLog)
	var order []string
	for _, l := range h.Lines {
		order = append(order, l.Host+" "+l.Target)
	}
	g.Expect(order).To(Equal([]string{"a i-1", "a i-2", "b i-2", "a "}))
	g.Expect(h.Findings.All()).To(HaveLen(1), "the truncated line")
	g.Expect(h.Conclusion()).To(ContainSubstring("refused by overload: i-2 had 8 of 8 slots occupied and 4 requests waiting"))
	g.Expect(h.Text()).To(And(ContainSubstring("a load report 120 ms old"), ContainSubstring("no load report yet")))
}

func TestRejectionCauses(t *testing.T) {
	for line, want := range map[string]string{
		`"reason":"no-route","configuration":7,"authority":"a","path":"/x/"`: `No route of configuration 7, which the entry node had at revision 0 of the store, matches authority "a" and path "/x/"`,
		`"reason":"no-configuration"`:                                        "no configuration yet",
		`"reason":"stale-configuration","configuration":7,"revision":9`:      "whether its configuration 7, of revision 9 of the store, was still the latest one",
		`"reason":"draining","retry_after_ms":100`:                           "was shutting down; the caller was asked to retry after 100 ms",
		`"reason":"bad-request"`:                                             "rejected the request (bad-request)",
	} {
		h := read(t, "r", `{"event":2206,"request":"r",`+line+"}\n")
		NewWithT(t).Expect(h.Conclusion()).To(ContainSubstring(want))
		NewWithT(t).Expect(h.Text()).To(ContainSubstring("rejected by the entry node"))
	}
}

func TestRejectionByALimitNamesTheTargetAndItsLimit(t *testing.T) {
	limited := strings.NewReplacer("overloaded", "target-limited", `"waiting":4`, `"waiting":4,"limit":4.6`)
	h := read(t, "r1", limited.Replace(targetLog), limited.Replace(entryLog))
	NewWithT(t).Expect(h.Conclusion()).To(ContainSubstring("i-2 accepts 4.6 requests per second at present, and the request could wait at most 90 ms"))
}

func TestConclusions(t *testing.T) {
	for line, want := range map[string]string{
		`"outcome":"ran","status":200,"took_ms":70`:       "answered with 200 after 70 ms",
		`"outcome":"ran","status":500`:                    "returned the error status 500 itself",
		`"outcome":"unknown","reason":"target-lost"`:      "whether the request ran is unknown",
		`"outcome":"unknown","reason":"peer-lost"`:        "whether the request ran is unknown",
		`"outcome":"unknown","reason":"deadline"`:         "deadline of the request passed",
		`"outcome":"unknown","reason":"canceled"`:         "caller canceled the request",
		`"outcome":"not-run","reason":"no-target"`:        "No target",
		`"outcome":"not-run","reason":"target-refused"`:   "did not run the request",
		`"outcome":"not-run","reason":"no-configuration"`: "no-configuration",
		`"outcome":"not-run","reason":"overloaded"`:       "all targets had recently been full",
		`"outcome":"not-run","reason":"target-limited"`:   "only a limited rate at present",
		`"outcome":"not-run","reason":"link-full"`:        "links of the targets' hosts were full",
		`"outcome":"not-run","reason":"evacuated"`:        "an operator evacuates",
		`"outcome":"unknown","reason":"target-crashed"`:   "The target ended while it processed the request",
		`"outcome":"not-run","reason":"quarantined"`:      "some have crashed while they ran it",
	} {
		h := read(t, "r", `{"event":2201,"request":"r",`+line+"}\n")
		NewWithT(t).Expect(h.Conclusion()).To(ContainSubstring(want))
	}
	g := NewWithT(t)
	g.Expect(read(t, "r1", targetLog).Conclusion()).To(ContainSubstring("do not contain the end"))
}

func TestUnreadableLinesAreSkippedWithFindings(t *testing.T) {
	g := NewWithT(t)
	long := `{"event":2201,"request":"r","x":"` + strings.Repeat("y", 2*maxLineBytes) + `"}`
	h := read(t, "r", "rrr\n\x00\xff r\n"+long+"\n"+`{"event":9999,"request":"r"}`+"\n"+`{"event":2201,"request":"r","outcome":"ran","status":200}`)
	g.Expect(h.Lines).To(HaveLen(1))
	g.Expect(h.Findings.All()).To(HaveLen(4))
}

func TestRequestNotInLogsHasNoLines(t *testing.T) {
	NewWithT(t).Expect(read(t, "r2", entryLog, targetLog).Lines).To(BeEmpty())
}

func TestProgressIsReportedForLongLogs(t *testing.T) {
	g := NewWithT(t)
	var reported []int64
	r := NewReader("r", func(_ string, bytes int64) { reported = append(reported, bytes) })
	r.progressInterval = 1 << 20
	line := `{"event":2201,"request":"other","x":"` + strings.Repeat("y", 1000) + "\"}\n"
	log := strings.NewReader(strings.Repeat(line, int(3*r.progressInterval)/len(line)))
	g.Expect(r.Read("log", log)).To(Succeed())
	g.Expect(reported).To(HaveLen(2))
	g.Expect(r.History().Lines).To(BeEmpty())
}
