package slo

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Cause is what used up the error budget of a window.
type Cause string

// The causes of a burn.
const (
	// CauseNone means that the window is within the objective or has too few bad
	// calls to attribute.
	CauseNone Cause = "none"
	// CauseCallers means that calls above the callers' shares caused overload.
	CauseCallers Cause = "callers"
	// CauseCrashingCalls means that calls were kept from targets because these crash while
	// they run them.
	CauseCrashingCalls Cause = "crashing-calls"
	// CauseTargetOverload means that the target lacked capacity for callers within
	// their shares: it was slow, or too small for what was granted.
	CauseTargetOverload Cause = "target-overload"
	// CauseTargetFailing means that the target returned no usable responses.
	CauseTargetFailing Cause = "target-failing"
)

const (
	// minBadCalls is the number of bad calls that attributing a window requires.
	minBadCalls = 10
	// minNamedFraction is the fraction of the burn from which a caller is named.
	minNamedFraction = 0.1
)

// Attribution attributes the burn of a window's error budget to callers and target.
type Attribution struct {
	Cause Cause `json:"cause"`
	// BurnRate is the ratio of bad calls divided by the error budget; 1 uses up
	// exactly the budget.
	BurnRate float64 `json:"burn"`
	// ByCaller holds each caller's fraction of the burn, ByTarget that of the
	// target itself. They sum up to 1 unless there is no burn.
	ByCaller map[string]float64 `json:"by_caller"`
	ByTarget float64            `json:"by_target"`
	// Named holds the callers that the summary names, the greatest fraction first.
	Named   []string `json:"named,omitempty"`
	Summary string   `json:"sentence"`
}

// BurnRate returns the burn rate of the error budget that an availability leaves. It is
// math.MaxFloat64 if calls missed the objective and there is no budget.
func BurnRate(c Counts, availability float64) float64 {
	budget := 1 - availability
	if c.Eligible() == 0 {
		return 0
	}
	ratio := float64(c.Bad()) / float64(c.Eligible())
	if budget <= 0 {
		if ratio == 0 {
			return 0
		}
		return math.MaxFloat64
	}
	return ratio / budget
}

// objectiveCounts returns the counts that the objective is measured by: those of
// the entry nodes, or of the target-side nodes if no entry node reported calls.
func (s SideCounts) objectiveCounts() Counts {
	if s.Entry.Offered > 0 {
		return s.Entry
	}
	return s.Target
}

// OverShare returns the number of calls above the caller's share. Target-side nodes
// count all of them, entry nodes only the rejected ones.
func (s SideCounts) OverShare() uint64 {
	return max(s.Entry.OverShare, s.Target.OverShare)
}

// Attribute attributes the burn of one window. Failed calls are attributed to the
// target. Shed and slow calls are attributed to the callers up to the number of calls
// above share, in proportion to each caller's; the rest to the target. Calls that were kept
// from targets because these crash under them are attributed to their callers.
func Attribute(callers Callers, availability float64) Attribution {
	total := callers.Total()
	objectiveCounts := total.objectiveCounts()
	attr := Attribution{Cause: CauseNone, BurnRate: BurnRate(objectiveCounts, availability), ByCaller: map[string]float64{}}
	if objectiveCounts.Offered == 0 {
		attr.Summary = "No calls were seen."
		return attr
	}
	if attr.BurnRate == 0 {
		attr.Summary = "Every call met the objective."
		return attr
	}
	attr.splitBurn(callers, objectiveCounts)
	attr.determineCause(objectiveCounts, total)
	return attr
}

// splitBurn sets the fractions of the callers and the target.
func (attr *Attribution) splitBurn(callers Callers, counts Counts) {
	bad := float64(counts.Bad())
	overload := float64(counts.Shed + counts.Slow)
	excess := 0.0
	for _, s := range callers {
		excess += float64(s.OverShare())
	}
	caused := min(overload, excess)
	for name, s := range callers {
		fraction := float64(s.objectiveCounts().Quarantined) / bad
		if over := s.OverShare(); over > 0 {
			fraction += caused / bad * float64(over) / excess
		}
		if fraction > 0 {
			attr.ByCaller[name] = fraction
		}
	}
	attr.ByTarget = 1 - (caused+float64(counts.Quarantined))/bad
}

// determineCause sets the cause and the summary.
func (attr *Attribution) determineCause(counts Counts, total SideCounts) {
	missed := percent(counts.Bad(), counts.Eligible())
	if attr.BurnRate < 1 {
		attr.Summary = fmt.Sprintf("Within the objective: %s of calls missed it, a burn rate of %.2f.", missed, attr.BurnRate)
		return
	}
	if counts.Bad() < minBadCalls {
		attr.Summary = fmt.Sprintf("Too few calls to name a cause: %d, %s of all, missed the objective, a burn rate of %.2f.",
			counts.Bad(), missed, attr.BurnRate)
		return
	}
	switch {
	case counts.Quarantined*2 >= counts.Bad():
		attr.setCallersCause(CauseCrashingCalls, "Calls that crash the targets and are kept from them")
	case attr.ByTarget < 0.5:
		attr.setCallersCause(CauseCallers, "Overload by callers above their shares")
	case counts.Failed*2 >= counts.Bad():
		attr.Cause = CauseTargetFailing
		attr.Summary = fmt.Sprintf("The target itself failed: %s of calls got no usable response, and callers stayed within their shares.",
			percent(counts.Failed, counts.Eligible()))
	default:
		attr.Cause = CauseTargetOverload
		attr.Summary = fmt.Sprintf("The target itself lacked capacity: %s of calls were shed and %s were slow while %s.",
			percent(counts.Shed, counts.Eligible()), percent(counts.Slow, counts.Eligible()), overShareText(total))
	}
}

// overShareText describes how many calls were above their callers' shares.
func overShareText(total SideCounts) string {
	if total.OverShare() == 0 {
		return "no caller was above its share"
	}
	return fmt.Sprintf("only %s of calls were above a share", percent(total.OverShare(), max(total.Entry.Offered, total.Target.Offered)))
}

// setCallersCause attributes the window to callers. text names what they did.
func (attr *Attribution) setCallersCause(cause Cause, text string) {
	attr.Cause = cause
	attr.Named = attr.callersToName()
	parts := make([]string, 0, len(attr.Named))
	for _, name := range attr.Named {
		parts = append(parts, fmt.Sprintf("%s (%.0f%% of the burn)", name, 100*attr.ByCaller[name]))
	}
	attr.Summary = fmt.Sprintf("%s: %s. The target itself accounts for %.0f%%.", text, strings.Join(parts, ", "), 100*attr.ByTarget)
}

// callersToName returns the callers with at least minNamedFraction of the burn, or
// the one with the greatest fraction if there is none.
func (attr *Attribution) callersToName() []string {
	names := make([]string, 0, len(attr.ByCaller))
	for name := range attr.ByCaller {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(attr.ByCaller[b], attr.ByCaller[a]), cmp.Compare(a, b))
	})
	named := 1
	for named < len(names) && attr.ByCaller[names[named]] >= minNamedFraction {
		named++
	}
	return names[:min(named, len(names))]
}

func percent(count, total uint64) string {
	if total == 0 {
		return "0%"
	}
	return fmt.Sprintf("%.3g%%", 100*float64(count)/float64(total))
}
