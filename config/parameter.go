package config

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// parameterType is the type of a template's parameter.
type parameterType string

// The types of parameters.
const (
	typeName     parameterType = "name"
	typeString   parameterType = "string"
	typeInt      parameterType = "int"
	typeNumber   parameterType = "number"
	typeDuration parameterType = "duration"
	typeBool     parameterType = "bool"
	typeNames    parameterType = "names"
)

var parameterTypes = []parameterType{
	typeName, typeString, typeInt, typeNumber, typeDuration, typeBool, typeNames,
}

func (t parameterType) known() bool {
	return slices.Contains(parameterTypes, t)
}

// ordered reports whether values of the type can have a minimum and a maximum.
func (t parameterType) ordered() bool {
	return t == typeInt || t == typeNumber || t == typeDuration
}

func typeList() string {
	names := make([]string, 0, len(parameterTypes))
	for _, t := range parameterTypes {
		names = append(names, string(t))
	}
	return strings.Join(names, ", ")
}

// value is a typed value of a parameter. The field that holds it depends on the
// type: text for name and string, number for int and number, and so on.
type value struct {
	kind     parameterType
	text     string
	number   float64
	duration time.Duration
	flag     bool
	names    []string
}

// rawValue keeps the JSON text of a value whose type is not known yet.
type rawValue struct {
	text []byte
}

// UnmarshalJSON copies the text.
func (r *rawValue) UnmarshalJSON(data []byte) error {
	r.text = bytes.Clone(data)
	return nil
}

// parseValue decodes a value of the given type from JSON.
func parseValue(kind parameterType, data []byte) (value, error) {
	v := value{kind: kind}
	var err error
	switch kind {
	case typeName:
		v.text, err = parseName(data)
	case typeString:
		v.text, err = parseText(data)
	case typeInt:
		v.number, err = parseInt(data)
	case typeNumber:
		v.number, err = parseNumber(data)
	case typeDuration:
		v.duration, err = parseDuration(data)
	case typeBool:
		v.flag, err = parseBool(data)
	case typeNames:
		v.names, err = parseNames(data)
	default:
		err = errors.Errorf("type %s is unknown", kind)
	}
	return v, err
}

func parseText(data []byte) (string, error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return "", errors.New("must be a string")
	}
	if len(text) > MaxTextBytes {
		return "", errors.Errorf("has %d bytes, more than the limit of %d", len(text), MaxTextBytes)
	}
	return text, nil
}

func parseName(data []byte) (string, error) {
	text, err := parseText(data)
	if err != nil {
		return "", err
	}
	if !ValidName(text) {
		return "", errors.Errorf("%q is not %s", text, nameRule)
	}
	return text, nil
}

// maxExactInt is the largest integer up to which a float64 holds all integers.
const maxExactInt = 1 << 53

func parseInt(data []byte) (float64, error) {
	number, err := parseNumber(data)
	if err != nil || number != math.Trunc(number) || math.Abs(number) > maxExactInt {
		return 0, errors.New("must be an integer")
	}
	return number, nil
}

func parseNumber(data []byte) (float64, error) {
	var number float64
	if err := json.Unmarshal(data, &number); err != nil {
		return 0, errors.New("must be a number")
	}
	return number, nil
}

func parseDuration(data []byte) (time.Duration, error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return 0, errors.New(`must be a duration such as "200ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf(`%s is not a duration such as "200ms"`, quote(text))
	}
	return parsed, nil
}

func parseBool(data []byte) (bool, error) {
	var flag bool
	if err := json.Unmarshal(data, &flag); err != nil {
		return false, errors.New("must be true or false")
	}
	return flag, nil
}

func parseNames(data []byte) ([]string, error) {
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		return nil, errors.New("must be a list of names")
	}
	if len(names) > MaxListLength {
		return nil, errors.Errorf("has %d names, more than the limit of %d", len(names), MaxListLength)
	}
	seen := map[string]bool{}
	for _, name := range names {
		if !ValidName(name) {
			return nil, errors.Errorf("%s is not %s", quote(name), nameRule)
		}
		if seen[name] {
			return nil, errors.Errorf("%q is listed twice", name)
		}
		seen[name] = true
	}
	return names, nil
}

// quote quotes text for a finding and truncates long text.
func quote(text string) string {
	const maxBytes = 80
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return strconv.Quote(text)
}

// compare orders two values of the same ordered type.
func (v value) compare(other value) int {
	if v.kind == typeDuration {
		return int(max(-1, min(1, v.duration-other.duration)))
	}
	switch {
	case v.number < other.number:
		return -1
	case v.number > other.number:
		return 1
	default:
		return 0
	}
}

func (v value) equal(other value) bool {
	return v.kind == other.kind && v.text == other.text && v.number == other.number &&
		v.duration == other.duration && v.flag == other.flag && slices.Equal(v.names, other.names)
}

// String formats the value as in a configuration file.
func (v value) String() string {
	switch v.kind {
	case typeName, typeString:
		return strconv.Quote(v.text)
	case typeInt, typeNumber:
		return strconv.FormatFloat(v.number, 'g', -1, 64)
	case typeDuration:
		return strconv.Quote(v.duration.String())
	case typeBool:
		return strconv.FormatBool(v.flag)
	default:
		return "[" + strings.Join(v.names, ", ") + "]"
	}
}

// parameter is the checked declaration of a template's parameter.
type parameter struct {
	name         string
	kind         parameterType
	required     bool
	defaultValue *value
	min, max     *value
	enum         []value
}

// validate checks a value against the bounds and the enum. Each name of a list
// must be in the enum.
func (p *parameter) validate(v value) error {
	if p.min != nil && v.compare(*p.min) < 0 {
		return errors.Errorf("%s is below the minimum of %s", v, *p.min)
	}
	if p.max != nil && v.compare(*p.max) > 0 {
		return errors.Errorf("%s is above the maximum of %s", v, *p.max)
	}
	if len(p.enum) == 0 {
		return nil
	}
	for _, item := range v.items() {
		if !slices.ContainsFunc(p.enum, item.equal) {
			return errors.Errorf("%s is not one of %s", item, p.enumText())
		}
	}
	return nil
}

// items returns the names of a list as single values, and any other value as is.
func (v value) items() []value {
	if v.kind != typeNames {
		return []value{v}
	}
	items := make([]value, 0, len(v.names))
	for _, name := range v.names {
		items = append(items, value{kind: typeName, text: name})
	}
	return items
}

func (p *parameter) enumText() string {
	texts := make([]string, 0, len(p.enum))
	for _, v := range p.enum {
		texts = append(texts, v.String())
	}
	return strings.Join(texts, ", ")
}
