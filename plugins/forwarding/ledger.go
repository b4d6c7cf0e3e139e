package forwarding

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
)

// ledgerState is the state of an attempt in a ledger.
type ledgerState uint8

// The states of an attempt.
const (
	// stateAbsent means that the ledger has no entry.
	stateAbsent ledgerState = iota
	// stateWaiting is an attempt that has arrived but not started.
	stateWaiting
	// stateStarted is an attempt that may have been sent to the target.
	stateStarted
	// stateAnswered is an attempt that the target has answered.
	stateAnswered
	// stateLost is a started attempt that got no response from the target.
	stateLost
	// stateFenced is an attempt that has not run and never will.
	stateFenced
)

var ledgerStateNames = [...]string{"absent", "waiting", "started", "answered", "lost", "fenced"}

// String returns the lower-case name of the state.
func (s ledgerState) String() string {
	if int(s) < len(ledgerStateNames) {
		return ledgerStateNames[s]
	}
	return "invalid"
}

// outcome returns the final outcome that the state implies, OutcomeUnknown if it
// implies none.
func (s ledgerState) outcome() model.Outcome {
	switch s {
	case stateAnswered:
		return model.OutcomeRan
	case stateFenced:
		return model.OutcomeNotRun
	default:
		return model.OutcomeUnknown
	}
}

// ledgerEntry is the record of one attempt.
type ledgerEntry struct {
	id    AttemptID
	state ledgerState
	// changedAt is when the state last changed, measured from the node's start.
	changedAt time.Duration
}

// ledger records the attempts that reached one incarnation of a target-side node,
// so that no attempt runs twice or after it was reported as not run. All times are
// monotonic and measured from the node's start. It is not safe for concurrent use.
type ledger struct {
	incarnation model.Incarnation
	// tokenAge is the maximum age of a token that admits an attempt.
	tokenAge time.Duration
	// retention is how long a settled attempt is kept. It is at least tokenAge
	// plus the longest call timeout.
	retention time.Duration
	capacity  int
	// revokedUpTo is the tick up to which all tokens are invalid. It is raised
	// when the ledger is full, since an attempt rejected for that reason has no
	// entry that would reject a late duplicate.
	revokedUpTo time.Duration

	entries map[AttemptID]*ledgerEntry
	// order holds the entries in order of arrival, starting at index first.
	order []*ledgerEntry
	first int
}

func newLedger(incarnation model.Incarnation, capacity int, tokenAge, retention time.Duration) *ledger {
	return &ledger{
		incarnation: incarnation,
		tokenAge:    tokenAge,
		retention:   retention,
		capacity:    capacity,
		revokedUpTo: -1,
		entries:     map[AttemptID]*ledgerEntry{},
	}
}

// token returns a token issued at now.
func (l *ledger) token(now time.Duration) Token {
	return Token{Incarnation: l.incarnation, Tick: now}
}

// valid reports whether the token is of this incarnation, at most maxAge old and
// not revoked by a full ledger.
func (l *ledger) valid(t Token, maxAge, now time.Duration) bool {
	return t.Incarnation == l.incarnation && t.Tick <= now && now-t.Tick <= maxAge && t.Tick > l.revokedUpTo
}

// register adds an attempt that has reached the node. It returns ReasonNone if the
// attempt may start, and otherwise the reason of its rejection and its outcome as
// far as it is known.
//
// An attempt with an invalid token is rejected as not run: the entry node writes an
// attempt to one connection only, so no process but the one that reads it there can
// have started it, and an invalid token never becomes valid again.
func (l *ledger) register(id AttemptID, t Token, now time.Duration) (model.Outcome, model.Reason) {
	l.expire(now)
	if e, known := l.entries[id]; known {
		if e.state == stateFenced {
			return model.OutcomeNotRun, model.ReasonFenced
		}
		return model.OutcomeUnknown, model.ReasonDuplicate
	}
	if !l.valid(t, l.tokenAge, now) {
		return model.OutcomeNotRun, model.ReasonStaleToken
	}
	if !l.add(id, stateWaiting, now) {
		l.revokedUpTo = now
		return model.OutcomeNotRun, model.ReasonOverloaded
	}
	return model.OutcomeUnknown, model.ReasonNone
}

// start marks a waiting attempt as started. It returns false if the attempt is not
// waiting, for example because it was fenced, and must not run.
func (l *ledger) start(id AttemptID, now time.Duration) bool {
	e := l.entries[id]
	if e == nil || e.state != stateWaiting {
		return false
	}
	e.state, e.changedAt = stateStarted, now
	return true
}

// settle sets the final state of an attempt: answered, lost, or fenced if it never
// reached the target.
func (l *ledger) settle(id AttemptID, state ledgerState, now time.Duration) {
	e := l.entries[id]
	if e == nil || (e.state != stateWaiting && e.state != stateStarted) {
		return
	}
	e.state, e.changedAt = state, now
}

// inquire returns the state of an attempt that was sent with the token. An attempt
// that has not arrived is fenced, so that it will not run later; if revoke is set, a
// waiting one is fenced as well. stateAbsent means that the state is unknown.
func (l *ledger) inquire(id AttemptID, t Token, revoke bool, now time.Duration) ledgerState {
	l.expire(now)
	e := l.entries[id]
	if e != nil {
		if e.state == stateWaiting && revoke {
			e.state, e.changedAt = stateFenced, now
		}
		return e.state
	}
	if !l.valid(t, l.retention, now) {
		return stateAbsent
	}
	if !l.add(id, stateFenced, now) {
		l.revokedUpTo = now
	}
	return stateFenced
}

// add adds an entry. It returns false if the ledger is full.
func (l *ledger) add(id AttemptID, state ledgerState, now time.Duration) bool {
	if len(l.entries) >= l.capacity {
		return false
	}
	e := &ledgerEntry{id: id, state: state, changedAt: now}
	l.entries[id] = e
	l.order = append(l.order, e)
	return true
}

// expire deletes attempts that settled more than the retention ago. Entries are
// deleted in order of arrival, so an attempt that is in progress or settled late
// delays the deletion of those after it.
func (l *ledger) expire(now time.Duration) {
	for l.first < len(l.order) {
		e := l.order[l.first]
		if e.state == stateWaiting || e.state == stateStarted || now-e.changedAt <= l.retention {
			break
		}
		delete(l.entries, e.id)
		l.order[l.first] = nil
		l.first++
	}
	if l.first > len(l.order)/2 && l.first > ledgerCompactThreshold {
		l.order = append([]*ledgerEntry(nil), l.order[l.first:]...)
		l.first = 0
	}
}

// ledgerCompactThreshold is the number of deleted entries above which the order
// may be copied to a smaller slice.
const ledgerCompactThreshold = 1024

// size returns the number of entries.
func (l *ledger) size() int {
	return len(l.entries)
}
