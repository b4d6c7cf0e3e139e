// Package finding collects the errors and warnings of a validation with the
// location of each, so that the user sees all of them in one run.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Severity distinguishes findings that make the input invalid from those that do
// not.
type Severity uint8

// The severities.
const (
	Warning Severity = iota
	Error
)

// String returns the lower-case name of the severity.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown name.
func (s *Severity) UnmarshalText(text []byte) error {
	for _, known := range []Severity{Warning, Error} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return fmt.Errorf("%q is not a severity", text)
}

// Limits of a List. They are needed because untrusted input determines the number
// of findings and the texts that they quote.
const (
	// MaxFindings is the maximum number of findings that a list stores. Further
	// findings are only counted.
	MaxFindings = 1000
	// MaxMessageBytes is the maximum length of the message of a finding,
	// MaxFieldBytes that of its field. Longer ones are truncated.
	MaxMessageBytes = 1024
	MaxFieldBytes   = 256
)

// Place is the location of a finding in the input. Line starts at 1; 0 means
// unknown.
type Place struct {
	File  string `json:"file,omitempty" cbor:"1,keyasint,omitempty"`
	Line  int    `json:"line,omitempty" cbor:"2,keyasint,omitempty"`
	Field string `json:"field,omitempty" cbor:"3,keyasint,omitempty"`
}

// String formats the place as file:line: field.
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Field != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Field)
	}
	return b.String()
}

// Finding is an error or a warning at a place in the input.
type Finding struct {
	Place    Place    `json:"place"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	if f.Place == (Place{}) {
		return fmt.Sprintf("%s: %s", f.Severity, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", f.Place, f.Severity, f.Message)
}

// List is an ordered collection of distinct findings. The zero value is empty
// and ready for use. A List is not safe for concurrent use.
type List struct {
	findings []Finding
	seen     map[Finding]bool
	// omitted is the number of findings beyond MaxFindings. omittedError is set if
	// at least one of them is an error.
	omitted      int
	omittedError bool
}

// Errorf adds an error at place.
func (l *List) Errorf(place Place, format string, args ...any) {
	l.add(place, Error, format, args...)
}

// Warnf adds a warning at place.
func (l *List) Warnf(place Place, format string, args ...any) {
	l.add(place, Warning, format, args...)
}

func (l *List) add(place Place, severity Severity, format string, args ...any) {
	place.Field = truncate(place.Field, MaxFieldBytes)
	l.insert(Finding{
		Place:    place,
		Severity: severity,
		Message:  truncate(fmt.Sprintf(format, args...), MaxMessageBytes),
	})
}

// insert adds a finding unless the list already contains it, and counts it if the
// list is full.
func (l *List) insert(f Finding) {
	if l.seen[f] {
		return
	}
	if len(l.findings) == MaxFindings {
		l.omitted++
		l.omittedError = l.omittedError || f.Severity == Error
		return
	}
	if l.seen == nil {
		l.seen = map[Finding]bool{}
	}
	l.seen[f] = true
	l.findings = append(l.findings, f)
}

// truncate shortens text to at most limit bytes and marks the truncation with an
// ellipsis. It does not split a UTF-8 character.
func truncate(text string, limit int) string {
	const ellipsis = "..."
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit-len(ellipsis)], "") + ellipsis
}

// Append adds all findings of other, which may be nil.
func (l *List) Append(other *List) {
	if other == nil {
		return
	}
	for _, f := range other.findings {
		l.insert(f)
	}
	l.omitted += other.omitted
	l.omittedError = l.omittedError || other.omittedError
}

// All returns the findings sorted by file, line and field. If there are findings
// beyond MaxFindings, one more finding at the end states their number.
func (l *List) All() []Finding {
	if l == nil {
		return nil
	}
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return less(sorted[i].Place, sorted[j].Place)
	})
	if l.omitted > 0 {
		sorted = append(sorted, l.omissionSummary())
	}
	return sorted
}

// omissionSummary returns the finding that represents those beyond MaxFindings. It
// is an error if one of them is.
func (l *List) omissionSummary() Finding {
	f := Finding{Message: fmt.Sprintf("%d more findings", l.omitted)}
	if l.omittedError {
		f.Severity = Error
	}
	return f
}

func less(a, b Place) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Field < b.Field
}

// Len returns the number of findings of both severities, including those beyond
// MaxFindings.
func (l *List) Len() int {
	if l == nil {
		return 0
	}
	return len(l.findings) + l.omitted
}

// Failed reports whether at least one finding is an error.
func (l *List) Failed() bool {
	if l == nil {
		return false
	}
	if l.omittedError {
		return true
	}
	for _, f := range l.findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Err returns an *Errors with all findings if at least one of them is an error,
// and nil otherwise.
func (l *List) Err() error {
	if !l.Failed() {
		return nil
	}
	return &Errors{Findings: l.All()}
}

// Errors is the error of a failed validation. It contains all findings, warnings
// included.
type Errors struct {
	Findings []Finding
}

// Error formats the findings, one per line.
func (e *Errors) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Interface guards.
var _ error = (*Errors)(nil)
