package model

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a point in the history of the platform's store. Revisions are comparable within
// one era only: a store that is restored from an older copy starts a new era, goes back to
// an earlier revision and assigns the later ones again. The zero value is before all others.
type Position struct {
	// Era increases with each restore; it is 0 if the store does not report it.
	Era uint64
	// Revision increases with each change of the store within an era.
	Revision uint64
}

// Compare returns -1 if p is before q, 0 if they are equal, and 1 if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// IsZero reports whether nothing of the store is known at p.
func (p Position) IsZero() bool { return p == Position{} }

// LatestPosition returns the later one of two positions.
func LatestPosition(p, q Position) Position {
	if p.After(q) {
		return p
	}
	return q
}

// eraSeparator separates era and revision in the text of a position.
const eraSeparator = "/"

// String returns the era and the revision, or the revision alone if the era is not known.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era, 10) + eraSeparator + revision
}

// MarshalJSON encodes the position for logs: as a number if the era is not known, otherwise
// as the string "era/revision".
func (p Position) MarshalJSON() ([]byte, error) {
	if p.Era == 0 {
		return []byte(p.String()), nil
	}
	return json.Marshal(p.String())
}

// UnmarshalJSON decodes what MarshalJSON returns.
func (p *Position) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	era, revision, found := strings.Cut(text, eraSeparator)
	if !found {
		era, revision = "0", text
	}
	var err error
	if p.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return errors.Wrap(err, "era")
	}
	p.Revision, err = strconv.ParseUint(revision, 10, 64)
	return errors.Wrap(err, "revision")
}

// HeaderEra carries the era of a position between nodes. Nodes of versions that do not know
// eras do not send it.
const HeaderEra = "Bronzemast-Era"

// SetHeader adds the era to the header of a message between nodes.
func (p Position) SetHeader(h http.Header) {
	if p.Era > 0 {
		h[HeaderEra] = []string{strconv.FormatUint(p.Era, 10)}
	}
}

// ParseEra returns the era in the header of a message between nodes, 0 if there is none.
func ParseEra(h http.Header) (uint64, error) {
	text := h.Get(HeaderEra)
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return era, errors.Wrap(err, HeaderEra)
}
