package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the requests in a table.
	maxRecords = 1024
	// maxCrashes bounds the crashes that are kept of one request. Later ones replace earlier
	// ones.
	maxCrashes = 8
)

// crash is the crash of a target as seen by the node beside it.
type crash struct {
	// id is a random number by which nodes recognize a crash that they know already.
	id uint64
	at time.Time
}

// record is the evidence on one request.
type record struct {
	// crashes holds the latest crashes under the request, in the order of their times.
	crashes []crash
	// runs is the highest number of complete runs since the first of these that any one node
	// has counted.
	runs int
}

func (r *record) lastCrash() time.Time { return r.crashes[len(r.crashes)-1].at }

// add adds a crash and reports whether it is new.
func (r *record) add(c crash) bool {
	if slices.ContainsFunc(r.crashes, func(known crash) bool { return known.id == c.id }) {
		return false
	}
	if len(r.crashes) == maxCrashes && c.at.Before(r.crashes[0].at) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return true
}

// CrashReport is a crash as it is sent to other nodes.
type CrashReport struct {
	ID uint64 `cbor:"1,keyasint"`
	// Age is the time from the crash to the sending of the report.
	Age time.Duration `cbor:"2,keyasint"`
}

// Report is the evidence on one request as it is sent to other nodes.
type Report struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Crashes     []CrashReport `cbor:"2,keyasint"`
	// Runs is the number of complete runs since the first of the crashes.
	Runs int `cbor:"3,keyasint,omitempty"`
}

// Table holds the evidence on the requests under which targets have crashed. Tables that have
// received the same reports, in any order and any number of times, return the same verdicts. It
// is not safe for concurrent use.
type Table struct {
	limits  Limits
	records map[Fingerprint]*record
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, records: map[Fingerprint]*record{}}
}

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.records) }

// Verdict returns the verdict on a request.
func (t *Table) Verdict(f Fingerprint, now time.Time) Verdict {
	r := t.records[f]
	if r == nil {
		return Verdict{}
	}
	return t.limits.judge(r, now)
}

// RecordCrash adds a crash under the given requests.
func (t *Table) RecordCrash(id uint64, suspects []Fingerprint, now time.Time) {
	for _, f := range suspects {
		t.recordFor(f, now).add(crash{id: id, at: now})
	}
}

// RecordRun adds a complete run of a request. It reports whether that changes the verdict.
func (t *Table) RecordRun(f Fingerprint, now time.Time) (changed bool) {
	r := t.records[f]
	if r == nil {
		return false
	}
	before := t.limits.judge(r, now).Action
	r.runs++
	return t.limits.judge(r, now).Action != before
}

// Merge adds the evidence of another node. It returns the requests about which it contains
// something new.
func (t *Table) Merge(reports []Report, now time.Time) (changed []Fingerprint) {
	for i := range reports {
		if t.merge(&reports[i], now) {
			changed = append(changed, reports[i].Fingerprint)
		}
	}
	return changed
}

func (t *Table) merge(report *Report, now time.Time) (changed bool) {
	crashes := report.Crashes[:min(len(report.Crashes), maxCrashes)]
	if len(crashes) == 0 || youngest(crashes) > t.limits.retention(len(crashes)) {
		return false
	}
	r := t.recordFor(report.Fingerprint, now)
	for _, c := range crashes {
		if r.add(crash{id: c.ID, at: now.Add(-max(c.Age, 0))}) {
			changed = true
		}
	}
	if report.Runs <= r.runs {
		return changed
	}
	before := t.limits.judge(r, now).Action
	r.runs = report.Runs
	return changed || t.limits.judge(r, now).Action != before
}

// youngest returns the age of the latest crash.
func youngest(crashes []CrashReport) time.Duration {
	age := crashes[0].Age
	for _, c := range crashes[1:] {
		age = min(age, c.Age)
	}
	return age
}

// recordFor returns the record of a request, which it creates if needed.
func (t *Table) recordFor(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.evict(now)
	}
	r = &record{}
	t.records[f] = r
	return r
}

// evict drops a record: one with the fewest crashes, and of these the one whose last crash is
// the longest ago. So new suspects, of which a caller can create many, do not displace requests
// that are refused.
func (t *Table) evict(now time.Time) {
	if len(t.Expire(now)) > 0 {
		return
	}
	var victim Fingerprint
	var weakest *record
	for f, r := range t.records {
		if weakest == nil || weaker(r, weakest) {
			victim, weakest = f, r
		}
	}
	delete(t.records, victim)
}

// weaker reports whether a record is less worth keeping than another one.
func weaker(r, than *record) bool {
	if len(r.crashes) != len(than.crashes) || len(r.crashes) == 0 {
		return len(r.crashes) < len(than.crashes)
	}
	return r.lastCrash().Before(than.lastCrash())
}

// Expire drops the requests that need no longer be remembered and returns them.
func (t *Table) Expire(now time.Time) (expired []Fingerprint) {
	for f, r := range t.records {
		if len(r.crashes) == 0 || now.Sub(r.lastCrash()) > t.limits.retention(len(r.crashes)) {
			expired = append(expired, f)
			delete(t.records, f)
		}
	}
	return expired
}

// Reports returns the evidence on the given requests that are in the table.
func (t *Table) Reports(requests []Fingerprint, now time.Time) []Report {
	reports := make([]Report, 0, len(requests))
	for _, f := range requests {
		r := t.records[f]
		if r == nil {
			continue
		}
		report := Report{Fingerprint: f, Runs: r.runs}
		for _, c := range r.crashes {
			report.Crashes = append(report.Crashes, CrashReport{ID: c.id, Age: max(now.Sub(c.at), 0)})
		}
		reports = append(reports, report)
	}
	return reports
}

// Requests returns the requests in the table in the order of their fingerprints.
func (t *Table) Requests() []Fingerprint {
	requests := make([]Fingerprint, 0, len(t.records))
	for f := range t.records {
		requests = append(requests, f)
	}
	slices.SortFunc(requests, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return requests
}

// Digest returns a hash of all evidence that affects verdicts. Tables with the same evidence
// have the same digest.
func (t *Table) Digest() uint64 {
	digest := xxhash.New()
	var number [8]byte
	write := func(n uint64) {
		binary.BigEndian.PutUint64(number[:], n)
		_, _ = digest.Write(number[:]) // a Digest never returns an error
	}
	for _, f := range t.Requests() {
		r := t.records[f]
		_, _ = digest.Write(f[:])
		ids := make([]uint64, 0, len(r.crashes))
		for _, c := range r.crashes {
			ids = append(ids, c.id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			write(id)
		}
		write(clearance(r))
	}
	return digest.Sum64()
}

// clearance is 0 for a request without a complete run, 1 for one with some, and 2 for one with
// so many that its crashes count as a coincidence.
func clearance(r *record) uint64 {
	switch {
	case r.runs == 0:
		return 0
	case r.runs < runsPerCrash*len(r.crashes):
		return 1
	default:
		return 2
	}
}

// Held is a request that is refused.
type Held struct {
	Fingerprint Fingerprint
	Crashes     int
	// Since is the time of the last crash, and Until the end of the refusal.
	Since, Until time.Time
}

// Held returns the requests that are refused, in the order of their fingerprints.
func (t *Table) Held(now time.Time) []Held {
	var held []Held
	for _, f := range t.Requests() {
		if h, refused := t.HeldRequest(f, now); refused {
			held = append(held, h)
		}
	}
	return held
}

// HeldRequest returns the state of a request that is refused, and false if it is not, or only
// for the pause after its second crash.
func (t *Table) HeldRequest(f Fingerprint, now time.Time) (held Held, refused bool) {
	r := t.records[f]
	if r == nil {
		return Held{}, false
	}
	v := t.limits.judge(r, now)
	if v.Action != Refuse || v.Crashes < t.limits.Crashes {
		return Held{}, false
	}
	return Held{Fingerprint: f, Crashes: v.Crashes, Since: r.lastCrash(), Until: now.Add(v.RetryAfter)}, true
}
