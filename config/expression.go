package config

import (
	"encoding/json"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// expression is a field of a template: either a literal of type T or "${name}", a
// reference to a parameter.
type expression[T any] struct {
	set bool
	// invalid is set if decoding failed; the error has been reported.
	invalid   bool
	parameter string
	literal   T
}

var referencePattern = regexp.MustCompile(`^\$\{([a-z0-9._-]+)\}$`)

// UnmarshalJSON reads a literal or a reference.
func (e *expression[T]) UnmarshalJSON(data []byte) error {
	e.set = true
	var text string
	if json.Unmarshal(data, &text) == nil {
		if match := referencePattern.FindStringSubmatch(text); match != nil {
			e.parameter = match[1]
			return nil
		}
	}
	err := decodeLiteral(data, &e.literal)
	e.invalid = err != nil
	return err
}

func decodeLiteral(data []byte, dst any) error {
	var err error
	switch d := dst.(type) {
	case *int:
		var number float64
		number, err = parseInt(data)
		*d = int(number)
	case *float64:
		*d, err = parseNumber(data)
	case *bool:
		*d, err = parseBool(data)
	case *time.Duration:
		*d, err = parseDuration(data)
	case *[]string:
		*d, err = parseNames(data)
	default:
		err = errors.Errorf("literals of type %T are not supported", dst)
	}
	if err != nil {
		return errors.Errorf(`%v, or a parameter such as "${name}"`, err)
	}
	return nil
}

// convert converts the value of a parameter to the type of a field. It reports
// whether the types are compatible.
func convert[T any](v value) (T, bool) {
	var out T
	compatible := false
	switch d := any(&out).(type) {
	case *int:
		*d, compatible = int(v.number), v.kind == typeInt
	case *float64:
		*d, compatible = v.number, v.kind == typeInt || v.kind == typeNumber
	case *bool:
		*d, compatible = v.flag, v.kind == typeBool
	case *time.Duration:
		*d, compatible = v.duration, v.kind == typeDuration
	case *[]string:
		*d, compatible = v.names, v.kind == typeNames
	}
	return out, compatible
}

// textExpression is a text field of a template. Each "${name}" in it is replaced by
// the value of a parameter of type name, string or int.
type textExpression struct {
	set       bool
	invalid   bool
	fragments []textFragment
}

// textFragment is either literal text or a reference to a parameter.
type textFragment struct {
	text      string
	parameter string
}

// UnmarshalJSON splits the text into fragments.
func (e *textExpression) UnmarshalJSON(data []byte) error {
	e.set = true
	text, err := parseText(data)
	if err == nil {
		err = e.split(text)
	}
	e.invalid = err != nil
	return err
}

func (e *textExpression) split(rest string) error {
	for rest != "" {
		before, after, found := strings.Cut(rest, "${")
		if before != "" {
			e.fragments = append(e.fragments, textFragment{text: before})
		}
		if !found {
			return nil
		}
		name, remainder, closed := strings.Cut(after, "}")
		if !closed || !ValidName(name) {
			return errors.New(`"${" must begin a parameter reference such as "${name}"`)
		}
		e.fragments = append(e.fragments, textFragment{parameter: name})
		rest = remainder
	}
	return nil
}

// asText returns the text that a value has in a text field. It reports whether
// values of the type can be used there.
func (v value) asText() (string, bool) {
	switch v.kind {
	case typeName, typeString:
		return v.text, true
	case typeInt:
		return v.String(), true
	default:
		return "", false
	}
}

// Interface guards.
var (
	_ json.Unmarshaler = (*expression[int])(nil)
	_ json.Unmarshaler = (*textExpression)(nil)
	_ json.Unmarshaler = (*rawValue)(nil)
)
