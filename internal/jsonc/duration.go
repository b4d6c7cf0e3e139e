package jsonc

import (
	"time"

	"github.com/pkg/errors"
	"github.com/segmentio/encoding/json"
)

// Duration is a time.Duration that is encoded as a string such as "1.5s" or "200ms".
type Duration time.Duration

// UnmarshalJSON decodes a string in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`must be a duration such as "200ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"200ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// Interface guards.
var (
	_ json.Unmarshaler = (*Duration)(nil)
	_ json.Marshaler   = Duration(0)
)
