package platform

import (
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// queryParser parses query parameters and keeps the first error.
type queryParser struct {
	values url.Values
	err    error
}

// parseField parses a parameter. A missing or empty one has the zero value.
func parseField[T any](p *queryParser, name string, parse func(string) (T, error)) T {
	var zero T
	text := p.values.Get(name)
	if text == "" {
		return zero
	}
	value, err := parse(text)
	if err != nil && p.err == nil {
		p.err = errors.Errorf("%s: cannot parse %q", name, text)
	}
	return value
}

func parseCount(text string) (uint64, error) {
	return strconv.ParseUint(text, 10, 64)
}

// validateAvailability records an error if the availability is unknown.
func (p *queryParser) validateAvailability(down Availability) {
	if down != Up && down != Unavailable && down != Cut && p.err == nil {
		p.err = errors.Errorf("down: %q is neither %q nor %q", down, Unavailable, Cut)
	}
}
