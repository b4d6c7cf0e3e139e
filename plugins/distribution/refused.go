package distribution

import (
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// maxRefused is the maximum number of refused releases that a node remembers.
const maxRefused = 32

// refusals contains the refused releases, the oldest first.
type refusals struct {
	entries []refusal
}

type refusal struct {
	version wire.Version
	release model.RefusedRelease
	// local is set if this node refused the release itself; otherwise a peer
	// reported the refusal.
	local bool
}

// Add records a refused release and reports whether it is new.
func (r *refusals) Add(entry refusal) bool {
	for i := range r.entries {
		if r.entries[i].version != entry.version {
			continue
		}
		r.entries[i].local = r.entries[i].local || entry.local
		return false
	}
	if len(r.entries) >= maxRefused {
		r.entries = append([]refusal(nil), r.entries[1:]...)
	}
	r.entries = append(r.entries, entry)
	return true
}

// RefusedLocally reports whether this node itself has refused the version.
func (r *refusals) RefusedLocally(version wire.Version) bool {
	for i := range r.entries {
		if r.entries[i].version == version {
			return r.entries[i].local
		}
	}
	return false
}

// Newest returns the refusal with the newest version whose number is greater
// than above, nil if there is none.
func (r *refusals) Newest(above uint64) *refusal {
	var newest *refusal
	for i := range r.entries {
		entry := &r.entries[i]
		if entry.version.Number > above && (newest == nil || entry.version.Newer(newest.version)) {
			newest = entry
		}
	}
	return newest
}

// message returns the refusal as sent to peers, truncated to the message
// limits.
func (r *refusal) message() *wire.Refusal {
	m := &wire.Refusal{Release: r.version.Number, DigestPrefix: r.version.DigestPrefix}
	for _, f := range r.release.Findings {
		if len(m.Findings) == wire.MaxFindings {
			break
		}
		m.Findings = append(m.Findings, wireFinding(f))
	}
	return m
}

func wireFinding(f finding.Finding) wire.Finding {
	const quarter = wire.MaxFindingBytes / 4
	f.Place.File = truncate(f.Place.File, quarter)
	f.Place.Field = truncate(f.Place.Field, quarter)
	return wire.Finding{Place: f.Place, Severity: f.Severity, Message: truncate(f.Message, 2*quarter)}
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return string([]rune(text[:limit-4])) // replaces a split rune with U+FFFD
}

func refusalFromMessage(m *wire.Refusal) refusal {
	entry := refusal{version: wire.Version{Number: m.Release, DigestPrefix: m.DigestPrefix}}
	entry.release.Release = m.Release
	for _, f := range m.Findings {
		entry.release.Findings = append(entry.release.Findings, finding.Finding{
			Place: f.Place, Severity: f.Severity, Message: f.Message,
		})
	}
	return entry
}
