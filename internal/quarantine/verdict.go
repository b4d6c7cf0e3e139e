package quarantine

import "time"

// Limits are the limits by which requests are judged.
type Limits struct {
	// Crashes is the number of crashes from which a request is refused.
	Crashes int
	// Hold is how long a request is refused after the last of so many crashes. It doubles with
	// each further crash, up to maxHoldDoublings times.
	Hold time.Duration
	// Pause is how long a request is refused after its second crash and each later one, so that
	// targets can restart before it is tried again.
	Pause time.Duration
	// Memory is how long a request with fewer crashes is remembered after the last one.
	Memory time.Duration
}

const (
	// maxHoldDoublings bounds the time for which a request is refused.
	maxHoldDoublings = 3
	// runsPerCrash is the number of complete runs for each crash from which the crashes are
	// taken for a coincidence: of a request that is often under way, some runs are under each
	// crash of a target.
	runsPerCrash = 8
)

// Action is what may be done with a request.
type Action uint8

const (
	// Allow sends the request to any target.
	Allow Action = iota
	// Isolate sends the request to the isolation target only, where one such request runs at a
	// time.
	Isolate
	// Refuse sends the request to no target.
	Refuse
)

var actionNames = [...]string{"allow", "isolate", "refuse"}

// String returns the lower-case name of the action.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "invalid"
}

// Verdict is the decision on a request.
type Verdict struct {
	Action Action
	// RetryAfter is how long the request is refused; 0 unless it is.
	RetryAfter time.Duration
	// Crashes is the number of known crashes under the request.
	Crashes int
}

// judge returns the verdict on a request under which targets have crashed.
//
// A request with one crash or more and no complete run since is suspect. It runs alone, so that
// another crash is not blamed on the requests beside it, and does not take several targets down
// at once. After the second crash it waits until the targets have had time to restart; after the
// last one it is refused, and tried again in isolation when that time is over.
func (l Limits) judge(r *record, now time.Time) Verdict {
	crashes := len(r.crashes)
	v := Verdict{Crashes: crashes}
	if crashes == 0 || r.runs >= runsPerCrash*crashes || crashes < l.Crashes && r.runs > 0 {
		return v
	}
	v.Action = Isolate
	if wait := r.lastCrash().Add(l.refusal(crashes)).Sub(now); wait > 0 {
		v.Action, v.RetryAfter = Refuse, wait
	}
	return v
}

// refusal returns how long a request is refused after the last of a number of crashes.
func (l Limits) refusal(crashes int) time.Duration {
	switch {
	case crashes >= l.Crashes:
		return l.Hold << min(crashes-l.Crashes, maxHoldDoublings)
	case crashes > 1:
		return l.Pause
	default:
		return 0
	}
}

// retention returns how long a request is remembered after the last of a number of crashes. One
// that was refused is remembered for longer, so that a single further crash is enough.
func (l Limits) retention(crashes int) time.Duration {
	if crashes < l.Crashes {
		return l.Memory
	}
	return l.refusal(crashes) + l.Hold
}
