package distribution

import (
	"runtime/debug"
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/delta"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

const (
	// viaSource is the origin of a document that the node read from the platform.
	viaSource = "source"
	// maxWalkBack is the maximum number of predecessors of a refused release that
	// are tried.
	maxWalkBack = 64
	// maxLoggedConflicts bounds the conflicting versions that are remembered, so
	// that each is logged only once. Further conflicts are not logged.
	maxLoggedConflicts = 64
	// fetchRetryBase and fetchRetryLimit are the bounds of the backoff after
	// failed fetches.
	fetchRetryBase  = 200 * time.Millisecond
	fetchRetryLimit = 5 * time.Second
	// peerPreferenceDelay is how long a fetch is delayed if a linked peer has the
	// release, so that the node can get it from there.
	peerPreferenceDelay = 500 * time.Millisecond
)

// candidate is a release that the node is about to read from the platform.
type candidate struct {
	version  wire.Version
	request  fetchRequest
	previous uint64
	// walked is the number of releases skipped before this one because they were
	// refused.
	walked      int
	nextAttempt time.Time
	failures    int
	inProgress  bool
	// deferred is set once the fetch was delayed in favour of a peer.
	deferred bool
}

// handleHead handles a new head record read from the platform.
func (e *engine) handleHead(raw []byte, now time.Time) {
	record, err := config.DecodeRecord(raw)
	if err != nil {
		e.out.Emit(eventRecordInvalid, event.Fields{"error": err.Error()})
		return
	}
	version := wire.VersionOf(record.Number, config.DigestOf(raw))
	verdict := e.evaluateOffer(record, version, viaSource)
	if verdict == VerdictRefused {
		e.walkBack(record, 0, now)
		return
	}
	if !verdict.Accepted() {
		return
	}
	if e.candidate != nil && e.candidate.version == version {
		return
	}
	e.candidate = &candidate{
		version:     version,
		request:     fetchRequest{number: record.Number, raw: raw},
		previous:    record.Previous,
		nextAttempt: now,
	}
	e.fetchDue(now)
}

// evaluateOffer decides about an offered record and logs what operators must
// know.
func (e *engine) evaluateOffer(record *config.Record, version wire.Version, via string) Verdict {
	held := e.releases.Version()
	verdict := Decide(e.fleet, held, e.refused.RefusedLocally(version), record, version)
	switch verdict {
	case VerdictConflict, VerdictConflictAccept:
		e.logConflict(version, verdict, via)
	case VerdictOtherFleet:
		e.out.Emit(eventOtherFleet, event.Fields{"release": record.Number, "fleet": record.Fleet, "via": via})
	case VerdictOlder:
		if via == viaSource {
			e.out.Emit(eventSourceOlder, event.Fields{"release": record.Number, "held": held.Number})
		}
	}
	if verdict != VerdictOtherFleet {
		e.highest = max(e.highest, record.Number)
	}
	return verdict
}

func (e *engine) logConflict(version wire.Version, verdict Verdict, via string) {
	if e.loggedConflicts[version] || len(e.loggedConflicts) >= maxLoggedConflicts {
		return
	}
	e.loggedConflicts[version] = true
	e.metrics.conflicts.Add(1)
	e.out.Emit(eventConflict, event.Fields{
		"release": version.Number,
		"held":    e.releases.Version().DigestPrefix,
		"offered": version.DigestPrefix,
		"verdict": verdict.String(),
		"via":     via,
	})
}

// fetchDue reads the candidate from the platform when it is due. If a linked
// peer has the release, the read is delayed once so that the peer can deliver
// it, which reduces the load on the platform.
func (e *engine) fetchDue(now time.Time) {
	c := e.candidate
	if c == nil || c.inProgress || now.Before(c.nextAttempt) {
		return
	}
	if e.isOutdated(c) {
		e.candidate = nil
		return
	}
	if !c.deferred && e.spreadsViaPeers() && e.peerHolds(c.version) {
		c.deferred = true
		c.nextAttempt = now.Add(peerPreferenceDelay)
		return
	}
	c.inProgress = true
	e.fetchSequence++
	c.request.sequence = e.fetchSequence
	c.request.held = e.heldParts()
	e.out.Fetch(c.request)
}

// isOutdated reports whether a candidate is no longer newer than the held
// release.
func (e *engine) isOutdated(c *candidate) bool {
	held := e.releases.Version()
	if c.request.raw == nil {
		return c.request.number <= held.Number
	}
	return !c.version.Newer(held)
}

func (e *engine) peerHolds(version wire.Version) bool {
	for _, l := range e.links {
		v := l.versions[wire.DocumentRelease]
		if v == version || v.Newer(version) {
			return true
		}
	}
	return false
}

func (e *engine) heldParts() map[config.Digest][]byte {
	if e.releases.held == nil {
		return nil
	}
	return e.releases.held.release.Parts
}

// handleFetched handles the result of a fetch.
func (e *engine) handleFetched(request fetchRequest, release *config.Release, err error, now time.Time) {
	c := e.candidate
	if c == nil || c.request.sequence != request.sequence {
		return
	}
	c.inProgress = false
	if err != nil {
		c.failures++
		c.nextAttempt = now.Add(fetchRetryBase + Backoff(fetchRetryBase, fetchRetryLimit, c.failures, e.random()))
		e.metrics.fetchFailures.Add(1)
		e.out.Emit(eventFetchFailed, event.Fields{"release": request.number, "error": err.Error()})
		return
	}
	e.candidate = nil
	r := releaseRevision(release)
	verdict := e.evaluateOffer(&release.Record, r.version, viaSource)
	if verdict.Accepted() && e.installRelease(r, viaSource, now) {
		e.spread(wire.DocumentRelease, 0, now)
		return
	}
	if verdict.Accepted() || verdict == VerdictRefused {
		e.walkBack(&release.Record, c.walked, now)
	}
}

// walkBack fetches the predecessor of a refused release, to find the newest
// acceptable release above the held one.
func (e *engine) walkBack(record *config.Record, walked int, now time.Time) {
	held := e.releases.Version()
	if record.Previous <= held.Number || walked >= maxWalkBack {
		return
	}
	if e.candidate != nil && e.candidate.request.number > record.Previous {
		return
	}
	e.candidate = &candidate{
		request:     fetchRequest{number: record.Previous},
		walked:      walked + 1,
		nextAttempt: now,
	}
	e.fetchDue(now)
}

// installRelease compiles a release and makes it the held one, or records it as
// refused if it has errors. It reports whether the release was installed; a
// release is never installed in part.
func (e *engine) installRelease(r *revision, via string, now time.Time) bool {
	if err := e.runHook(kernel.HookCompile); err != nil {
		return false
	}
	snapshot, findings := e.compileWithoutPanic(r.release)
	if findings.Failed() || snapshot == nil {
		e.refuseRelease(r, findings, via)
		return false
	}
	if err := e.runHook(kernel.HookSwap); err != nil {
		return false
	}
	e.releases.Install(r)
	e.snapshot = snapshot
	e.via = via
	e.heldSince = now
	e.highest = max(e.highest, r.version.Number)
	if e.settled {
		e.applyRelease(now)
	}
	e.settle(now)
	return true
}

func (e *engine) applyRelease(now time.Time) {
	version := e.releases.Version()
	e.appliedAt = now
	e.metrics.recordApplied(version.Number, now)
	e.out.Publish(e.snapshot)
	e.out.Emit(eventApplied, event.Fields{
		"release": version.Number,
		"digest":  e.snapshot.Digest.Short(),
		"via":     e.via,
	})
}

// refuseRelease records a release with errors, logs it, and sends the findings
// to all peers so that operators can see them on any node.
func (e *engine) refuseRelease(r *revision, findings *finding.List, via string) {
	entry := refusal{
		version: r.version,
		release: model.RefusedRelease{Release: r.version.Number, Findings: findings.All()},
		local:   true,
	}
	if !e.refused.Add(entry) {
		return
	}
	first := ""
	if len(entry.release.Findings) > 0 {
		first = entry.release.Findings[0].String()
	}
	e.metrics.refused.Add(1)
	e.out.Emit(eventRefused, event.Fields{
		"release":  r.version.Number,
		"via":      via,
		"findings": len(entry.release.Findings),
		"first":    first,
	})
	e.flood(entry.message(), 0)
}

// handleHostList handles a host list read from the platform.
func (e *engine) handleHostList(list *model.HostList, now time.Time) {
	if list.Revision <= e.hosts.Version().Number {
		return
	}
	hosts, err := delta.NewHosts(list)
	if err != nil {
		e.out.Emit(eventHostsInvalid, event.Fields{"revision": list.Revision, "error": err.Error()})
		return
	}
	e.installHosts(hostsRevision(hosts), viaSource, now)
	e.spread(wire.DocumentHosts, 0, now)
}

func (e *engine) installHosts(r *revision, via string, now time.Time) {
	e.hosts.Install(r)
	e.hostsInstalledAt = now
	e.choicesStale = true
	e.out.SetHosts(r.hosts.List)
	e.out.Emit(eventHostsApplied, event.Fields{
		"revision": r.version.Number,
		"hosts":    len(r.hosts.List.Hosts),
		"via":      via,
	})
}

// compileWithoutPanic compiles a release and returns a panic as a finding. All nodes compile the
// same releases, again after a restart, so that a fault of the compiler would end all of them for
// good.
func (e *engine) compileWithoutPanic(release *config.Release) (snapshot *config.Snapshot, findings *finding.List) {
	defer func() {
		if cause := recover(); cause != nil {
			snapshot, findings = nil, &finding.List{}
			findings.Errorf(finding.Place{}, "the compiler panicked: %v\n%s", cause, debug.Stack())
		}
	}()
	return e.compile(release)
}
