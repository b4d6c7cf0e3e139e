package distribution

import (
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// Verdict is the result of evaluating an offered release.
type Verdict uint8

// The verdicts.
const (
	// VerdictAccept compiles and applies the release.
	VerdictAccept Verdict = iota
	// VerdictKnown ignores the release because it is already held.
	VerdictKnown
	// VerdictOlder ignores a release below the one held.
	VerdictOlder
	// VerdictConflict ignores a release that has the same number as the held one
	// but different contents, and precedes it in version order.
	VerdictConflict
	// VerdictConflictAccept replaces the held release with one that has the same
	// number but follows it in version order.
	VerdictConflictAccept
	// VerdictOtherFleet refuses a release of another fleet.
	VerdictOtherFleet
	// VerdictRefused ignores a release that this node has already refused.
	VerdictRefused
)

var verdictNames = [...]string{
	"accept", "known", "older", "conflict", "conflict accepted", "other fleet",
	"refused before",
}

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Accepted reports whether the release is to be compiled and applied.
func (v Verdict) Accepted() bool {
	return v == VerdictAccept || v == VerdictConflictAccept
}

// Decide evaluates an offered record by its identity only; config.Assemble and
// config.Compile validate the contents. Versions have a total order that is the
// same on all nodes, with ties in the number broken by the digest, so all nodes
// converge on the same release whatever the order of arrival.
func Decide(fleet string, held wire.Version, refused bool, record *config.Record, offered wire.Version) Verdict {
	switch {
	case record.Fleet != fleet:
		return VerdictOtherFleet
	case offered == held:
		return VerdictKnown
	case refused:
		return VerdictRefused
	case offered.Number < held.Number:
		return VerdictOlder
	case offered.Number > held.Number:
		return VerdictAccept
	case offered.Newer(held):
		return VerdictConflictAccept
	}
	return VerdictConflict
}
