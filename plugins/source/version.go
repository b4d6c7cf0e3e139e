package source

import "github.com/bronzemast/bronzemast/config"

// comparison is the result of comparing a value read from the platform with the
// newest one read before.
type comparison uint8

const (
	// comparisonNewer is a value newer than any read before.
	comparisonNewer comparison = iota
	// comparisonSame is the newest value again.
	comparisonSame
	// comparisonOlder is a value older than one read before.
	comparisonOlder
	// comparisonConflict is a value with the same number but different contents.
	comparisonConflict
)

// version identifies one value of a key.
type version struct {
	// number is the number of the release or the revision of the host list.
	number uint64
	digest config.Digest
	// revision is the revision that the platform assigned to the value.
	revision uint64
}

// compare compares a version just read with the newest one read so far. The number
// inside the value takes precedence over the platform's revision, so that a rebuilt
// platform whose revisions restart is followed as soon as its contents are newer.
func (latest version) compare(found version) comparison {
	switch {
	case found.number > latest.number:
		return comparisonNewer
	case found.number < latest.number:
		return comparisonOlder
	case found.digest != latest.digest:
		return comparisonConflict
	case found.revision < latest.revision:
		return comparisonOlder
	default:
		return comparisonSame
	}
}
