package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	testLimits = Limits{Crashes: 3, Hold: 10 * time.Minute, Pause: 3 * time.Second, Memory: 10 * time.Minute}
	start      = time.Unix(1_700_000_000, 0)
	guilty     = Fingerprint{1}
	innocent   = Fingerprint{2}
)

// crashed returns a table with a number of crashes under the guilty request, the last one at
// start.
func crashed(crashes int) *Table {
	t := NewTable(testLimits)
	for i := range crashes {
		t.RecordCrash(uint64(i), []Fingerprint{guilty}, start.Add(time.Duration(i-crashes+1)*10*time.Second))
	}
	return t
}

func TestVerdictsByCrashesRunsAndTime(t *testing.T) {
	cases := map[string]struct {
		crashes, runs int
		after         time.Duration
		action        Action
		retryAfter    time.Duration
	}{
		"no crash":                       {action: Allow},
		"one crash":                      {crashes: 1, action: Isolate},
		"one crash, then a complete run": {crashes: 1, runs: 1, action: Allow},
		"two crashes":                    {crashes: 2, after: time.Second, action: Refuse, retryAfter: 2 * time.Second},
		"two crashes, pause over":        {crashes: 2, after: 3 * time.Second, action: Isolate},
		"two crashes, a complete run":    {crashes: 2, runs: 1, action: Allow},
		"three crashes":                  {crashes: 3, after: time.Minute, action: Refuse, retryAfter: 9 * time.Minute},
		"three crashes, few runs":        {crashes: 3, runs: 23, action: Refuse, retryAfter: 10 * time.Minute},
		"three crashes among many runs":  {crashes: 3, runs: 24, action: Allow},
		"three crashes, time over":       {crashes: 3, after: 10 * time.Minute, action: Isolate},
		"one more crash":                 {crashes: 4, after: 10 * time.Minute, action: Refuse, retryAfter: 10 * time.Minute},
		"eight crashes":                  {crashes: 8, after: 0, action: Refuse, retryAfter: 80 * time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := crashed(c.crashes)
			for range c.runs {
				table.RecordRun(guilty, start)
			}
			v := table.Verdict(guilty, start.Add(c.after))
			g.Expect(v.Action).To(Equal(c.action))
			g.Expect(v.RetryAfter).To(Equal(c.retryAfter))
			g.Expect(table.Verdict(innocent, start.Add(c.after))).To(Equal(Verdict{}))
		})
	}
}

func TestCrashesSeenByThreeNodesAddUp(t *testing.T) {
	g := NewWithT(t)
	sum := NewTable(testLimits)
	for i := range 3 {
		node := NewTable(testLimits)
		node.RecordCrash(uint64(100+i), []Fingerprint{guilty, innocent}, start)
		reports := node.Reports([]Fingerprint{guilty}, start.Add(time.Second))
		g.Expect(sum.Merge(reports, start.Add(time.Second))).To(Equal([]Fingerprint{guilty}))
		g.Expect(sum.Merge(reports, start.Add(2*time.Second))).To(BeEmpty(), "a report that comes twice is not new")
	}
	g.Expect(sum.Verdict(guilty, start.Add(3*time.Second)).Action).To(Equal(Refuse))
}

// Nodes get reports in any order, some more than once, and end up with the same verdicts.
func TestTablesWithTheSameReportsAgree(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		source := NewTable(testLimits)
		var messages [][]Report
		for i := range 12 {
			f := Fingerprint{byte(random.IntN(4))}
			source.RecordCrash(random.Uint64(), []Fingerprint{f}, start.Add(time.Duration(i)*time.Second))
			for range random.IntN(5) {
				source.RecordRun(f, start.Add(time.Duration(i)*time.Second))
			}
			messages = append(messages, source.Reports(source.Requests(), start.Add(time.Minute)))
		}
		one, other := NewTable(testLimits), NewTable(testLimits)
		for _, table := range []*Table{one, other} {
			for _, i := range random.Perm(len(messages)) {
				table.Merge(messages[i], start.Add(time.Minute))
				table.Merge(messages[random.IntN(len(messages))], start.Add(time.Minute))
			}
		}
		g.Expect(one.Digest()).To(Equal(other.Digest()), "seed %d", seed)
		g.Expect(one.Digest()).To(Equal(source.Digest()), "seed %d", seed)
		for _, f := range source.Requests() {
			g.Expect(one.Verdict(f, start.Add(time.Minute))).To(Equal(other.Verdict(f, start.Add(time.Minute))), "seed %d", seed)
		}
	}
}

func TestManySuspectsDoNotDisplaceARefusedRequest(t *testing.T) {
	g := NewWithT(t)
	table := crashed(3)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 5 * maxRecords {
		var f Fingerprint
		f[0], f[1], f[2], f[3] = 9, byte(i), byte(i>>8), byte(i>>16)
		table.RecordCrash(random.Uint64(), []Fingerprint{f}, start.Add(time.Second))
	}
	g.Expect(table.Len()).To(Equal(maxRecords))
	g.Expect(table.Verdict(guilty, start.Add(2*time.Second)).Action).To(Equal(Refuse))
}

func TestEvidenceExpires(t *testing.T) {
	g := NewWithT(t)
	suspect, refused := crashed(1), crashed(3)
	g.Expect(suspect.Expire(start.Add(testLimits.Memory))).To(BeEmpty())
	g.Expect(suspect.Expire(start.Add(testLimits.Memory + 1))).To(Equal([]Fingerprint{guilty}))
	g.Expect(refused.Expire(start.Add(2*testLimits.Hold))).To(BeEmpty(), "it is tried again with its crashes known")
	reports := refused.Reports(refused.Requests(), start)
	g.Expect(refused.Expire(start.Add(2*testLimits.Hold + 1))).To(Equal([]Fingerprint{guilty}))

	old := NewTable(testLimits)
	reports[0].Crashes = reports[0].Crashes[:1]
	reports[0].Crashes[0].Age = testLimits.Memory + 1
	g.Expect(old.Merge(reports, start)).To(BeEmpty(), "another node may still have what is too old")
	g.Expect(old.Len()).To(Equal(0))
}

func TestReportsOfPeersAreBounded(t *testing.T) {
	g := NewWithT(t)
	report := Report{Fingerprint: guilty, Runs: -1}
	for i := range 100 {
		report.Crashes = append(report.Crashes, CrashReport{ID: uint64(i), Age: -time.Hour})
	}
	table := NewTable(testLimits)
	table.Merge([]Report{report, {Fingerprint: innocent}, {}}, start)
	g.Expect(table.Len()).To(Equal(1), "a report without a crash is not evidence")
	g.Expect(table.Reports([]Fingerprint{guilty}, start)[0].Crashes).To(HaveLen(maxCrashes))
	g.Expect(table.Held(start)[0].Since).To(Equal(start), "a crash in the future counts as one of now")
}

func TestAllNodesChooseTheSameIsolationTarget(t *testing.T) {
	g := NewWithT(t)
	targets := []string{"a", "b", "c", "d", "e", "f"}
	counts := map[string]int{}
	for i := range 600 {
		f := Fingerprint{byte(i), byte(i >> 8)}
		chosen := targets[IsolationTarget(f, targets)]
		counts[chosen]++
		shuffled := append([]string{}, targets...)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		g.Expect(shuffled[IsolationTarget(f, shuffled)]).To(Equal(chosen))
		remaining := targets[:len(targets)-1]
		if chosen != "f" {
			g.Expect(remaining[IsolationTarget(f, remaining)]).To(Equal(chosen), "only requests of the lost target move")
		}
	}
	for target, n := range counts {
		g.Expect(n).To(BeNumerically("~", 100, 50), target)
	}
	g.Expect(IsolationTarget(guilty, nil)).To(Equal(-1))
}

func TestCompletedRequestsAreRememberedInBoundedMemory(t *testing.T) {
	g := NewWithT(t)
	var c Completed
	g.Expect(c.Includes(guilty)).To(BeFalse())
	c.Add(guilty)
	for i := range maxCompleted - 1 {
		c.Add(Fingerprint{9, byte(i), byte(i >> 8)})
	}
	g.Expect(c.Includes(guilty)).To(BeTrue())
	for i := range 3 * maxCompleted {
		c.Add(Fingerprint{8, byte(i), byte(i >> 8)})
		g.Expect(len(c.recent) + len(c.older)).To(BeNumerically("<=", 2*maxCompleted))
	}
	g.Expect(c.Includes(guilty)).To(BeFalse())
}
