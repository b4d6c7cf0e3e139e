package quarantine

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	loadStep      = 10 * time.Millisecond
	loadDuration  = 60 * time.Second
	loadTargets   = 4
	loadSlots     = 12
	loadRunTime   = 200 * time.Millisecond
	loadRestart   = 3 * time.Second
	loadAttempts  = 3
	loadPerStep   = 0.8
	guiltyEvery   = 500 * time.Millisecond
	guiltyRunTime = loadStep
)

// loadRequest is a request of the simulated load.
type loadRequest struct {
	fingerprint Fingerprint
	attempts    int
	endsAt      time.Time
	isolated    bool
}

// loadTarget is a simulated target. isolated holds the requests that wait to run alone.
type loadTarget struct {
	upAt     time.Time
	running  []*loadRequest
	isolated []*loadRequest
}

// loadSimulation plays a service under a request that crashes its targets. Requests that a crash
// has ended are retried at once.
type loadSimulation struct {
	// table is nil if nothing is kept from targets.
	table   *Table
	random  *rand.Rand
	targets [loadTargets]loadTarget
	crashes int
	// offered and served count the other requests.
	offered, served int
}

// simulateLoad returns the simulation after its end.
func simulateLoad(table *Table, seed uint64) *loadSimulation {
	s := &loadSimulation{table: table, random: rand.New(rand.NewPCG(seed, 1))}
	for now := start; now.Before(start.Add(loadDuration)); now = now.Add(loadStep) {
		for i := range s.targets {
			s.advance(i, now)
		}
		if now.Sub(start)%guiltyEvery == 0 {
			s.send(&loadRequest{fingerprint: guilty}, now)
		}
		if s.random.Float64() < loadPerStep {
			s.offered++
			s.send(&loadRequest{fingerprint: Fingerprint{2, byte(s.offered), byte(s.offered >> 8), byte(s.offered >> 16)}}, now)
		}
	}
	return s
}

// send places a request on a target; it is lost if that is not possible at once.
func (s *loadSimulation) send(r *loadRequest, now time.Time) {
	r.attempts++
	var up []int
	var ids []string
	for i := range s.targets {
		if !now.Before(s.targets[i].upAt) {
			up = append(up, i)
			ids = append(ids, strconv.Itoa(i))
		}
	}
	if len(up) == 0 {
		return
	}
	switch s.verdict(r, now) {
	case Refuse:
	case Isolate:
		t := &s.targets[up[IsolationTarget(r.fingerprint, ids)]]
		r.isolated = true
		t.isolated = append(t.isolated, r)
	default:
		if t := &s.targets[up[s.random.IntN(len(up))]]; len(t.running) < loadSlots {
			t.run(r, now)
		}
	}
}

func (s *loadSimulation) verdict(r *loadRequest, now time.Time) Action {
	if s.table == nil {
		return Allow
	}
	return s.table.Verdict(r.fingerprint, now).Action
}

func (t *loadTarget) run(r *loadRequest, now time.Time) {
	r.endsAt = now.Add(loadRunTime)
	if r.fingerprint == guilty {
		r.endsAt = now.Add(guiltyRunTime)
	}
	t.running = append(t.running, r)
}

// advance ends the runs of a target that are due and starts the next isolated one.
func (s *loadSimulation) advance(i int, now time.Time) {
	t := &s.targets[i]
	isolatedRuns := false
	var rest []*loadRequest
	for _, r := range t.running {
		switch {
		case r.endsAt.After(now):
			rest = append(rest, r)
			isolatedRuns = isolatedRuns || r.isolated
		case r.fingerprint == guilty:
			s.crash(i, now)
			return
		default:
			s.served++
			if s.table != nil {
				s.table.RecordRun(r.fingerprint, now)
			}
		}
	}
	t.running = rest
	if len(t.isolated) > 0 && !isolatedRuns && len(t.running) < loadSlots {
		next := t.isolated[0]
		t.isolated = t.isolated[1:]
		t.run(next, now)
	}
}

// crash ends a target with all that runs and waits there, which is retried.
func (s *loadSimulation) crash(i int, now time.Time) {
	t := &s.targets[i]
	s.crashes++
	lost := append(t.running, t.isolated...)
	var suspects []Fingerprint
	for _, r := range t.running {
		suspects = append(suspects, r.fingerprint)
	}
	*t = loadTarget{upAt: now.Add(loadRestart)}
	if s.table != nil {
		s.table.RecordCrash(s.random.Uint64(), suspects, now)
	}
	for _, r := range lost {
		if r.attempts < loadAttempts {
			r.isolated = false
			s.send(r, now)
		}
	}
}

// Compares what the callers beside a request that crashes targets get, by what is done with
// suspects.
func TestOtherCallersAreServedBesideARequestThatCrashesTargets(t *testing.T) {
	const (
		seeds   = 20
		nothing = "nothing is kept from targets"
		noPause = "isolation and refusal without a pause"
		full    = "isolation, pause and refusal"
	)
	tables := map[string]func() *Table{
		nothing: func() *Table { return nil },
		noPause: func() *Table {
			return NewTable(Limits{Crashes: testLimits.Crashes, Hold: testLimits.Hold, Memory: testLimits.Memory})
		},
		full: func() *Table { return NewTable(testLimits) },
	}
	shares := map[string]float64{}
	crashes := map[string]int{}
	for name, newTable := range tables {
		for seed := range uint64(seeds) {
			s := simulateLoad(newTable(), seed)
			shares[name] += float64(s.served) / float64(s.offered) / seeds
			crashes[name] += s.crashes
		}
		t.Logf("%-40s %.4f served, %.1f crashes", name, shares[name], float64(crashes[name])/seeds)
	}
	g := NewWithT(t)
	g.Expect(shares[full]).To(BeNumerically(">", 0.99))
	g.Expect(shares[full]).To(BeNumerically(">=", shares[noPause]))
	g.Expect(shares[noPause]).To(BeNumerically(">", shares[nothing]))
	g.Expect(crashes[full]).To(Equal(3 * seeds))
}
