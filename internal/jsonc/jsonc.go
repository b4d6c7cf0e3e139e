// Package jsonc decodes JSON with comments into Go structs. Unlike encoding/json it
// rejects unknown and duplicate keys, continues after an error, and reports every error
// with its line and field.
package jsonc

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/tailscale/hujson"
)

// Document records the line of each field of a decoded text.
type Document struct {
	File  string
	base  string
	lines map[string]int
}

// Absent returns an empty document for the field at path, which the file does not set.
func Absent(file, path string) *Document {
	return &Document{File: file, base: path}
}

// Place returns the file position of the field at path, which has a form such as
// "grants[2].rate". For an unknown path it returns the line of the closest known parent.
func (d *Document) Place(path string) finding.Place {
	place := finding.Place{File: d.File, Field: join(d.base, path)}
	for p := path; ; p = parent(p) {
		if line, ok := d.lines[p]; ok {
			place.Line = line
			return place
		}
		if p == "" {
			return place
		}
	}
}

// Has reports whether the document sets the field at path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

func parent(path string) string {
	separator := strings.LastIndexAny(path, ".[")
	if separator < 0 {
		return ""
	}
	return path[:separator]
}

// Decode decodes data, the contents of file, into dst, a pointer to a struct. Errors are
// added to findings; dst then holds the values that were valid.
func Decode(file string, data []byte, dst any, findings *finding.List) *Document {
	return DecodeAt(file, 1, "", data, dst, findings)
}

// DecodeAt is like Decode for a section of a larger file: data starts at the given line
// of the file and is the value of the field at path.
func DecodeAt(file string, line int, path string, data []byte, dst any, findings *finding.List) *Document {
	d := decoder{
		doc:      &Document{File: file, base: path, lines: map[string]int{}},
		fields:   map[reflect.Type]map[string]int{},
		lines:    lineCounter{data: data, line: line},
		findings: findings,
	}
	d.decode(data, dst)
	return d.doc
}

type decoder struct {
	doc   *Document
	lines lineCounter
	// fields caches the results of fieldsOf.
	fields   map[reflect.Type]map[string]int
	findings *finding.List
}

func (d *decoder) decode(data []byte, dst any) {
	scanner := limitScanner{data: data}
	if offset, message := scanner.check(); message != "" {
		d.syntaxError(d.lines.at(offset), message)
		return
	}
	root, err := parse(data)
	if err != nil {
		line, message := splitSyntaxError(err)
		d.syntaxError(d.lines.line-1+line, message)
		return
	}
	d.decodeValue(&root, reflect.ValueOf(dst).Elem(), "")
}

// parse parses data. hujson rejects a line comment at the end of the text that is not
// followed by a line break, so after an error parse tries again with a line break
// appended.
func parse(data []byte) (hujson.Value, error) {
	root, err := hujson.Parse(data)
	if err == nil {
		return root, nil
	}
	terminated, terminatedErr := hujson.Parse(append(data[:len(data):len(data)], '\n'))
	if terminatedErr == nil {
		return terminated, nil
	}
	return root, err
}

// syntaxError adds a finding about the document as a whole.
func (d *decoder) syntaxError(line int, message string) {
	place := finding.Place{File: d.doc.File, Line: line, Field: d.doc.base}
	d.findings.Errorf(place, "%s", message)
}

// splitSyntaxError extracts the line from the message of a hujson error, because hujson
// has no typed error. The column and the cause remain in the returned message.
func splitSyntaxError(err error) (line int, message string) {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	number, message, found := strings.Cut(rest, ", ")
	line, convErr := strconv.Atoi(number)
	if !found || convErr != nil {
		return 1, err.Error()
	}
	return line, message
}

// lineCounter converts offsets to line numbers. It continues from the previous offset,
// so that one pass over a document scans each byte once.
type lineCounter struct {
	data   []byte
	offset int
	line   int
}

// at returns the line of an offset, which must not be lower than that of the previous
// call.
func (c *lineCounter) at(offset int) int {
	offset = min(max(offset, c.offset), len(c.data))
	c.line += bytes.Count(c.data[c.offset:offset], []byte{'\n'})
	c.offset = offset
	return c.line
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func (d *decoder) decodeValue(v *hujson.Value, dst reflect.Value, path string) {
	d.doc.lines[path] = d.lines.at(v.StartOffset)
	if dst.Kind() == reflect.Pointer {
		if dst.IsNil() {
			dst.Set(reflect.New(dst.Type().Elem()))
		}
		d.decodeValue(v, dst.Elem(), path)
		return
	}
	if dst.CanAddr() && dst.Addr().Type().Implements(unmarshalerType) {
		d.unmarshal(v, dst, path)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, dst, path)
	case reflect.Map:
		d.decodeMap(v, dst, path)
	case reflect.Slice:
		d.decodeSlice(v, dst, path)
	default:
		d.unmarshal(v, dst, path)
	}
}

func (d *decoder) decodeStruct(v *hujson.Value, dst reflect.Value, path string) {
	fields := d.fieldsOf(dst.Type())
	d.visitMembers(v, path, func(name, memberPath string, member *hujson.Value) {
		index, known := fields[name]
		if !known {
			d.doc.lines[memberPath] = d.lines.at(member.StartOffset)
			d.errorf(memberPath, "unknown key %q", name)
			return
		}
		d.decodeValue(member, dst.Field(index), memberPath)
	})
}

func (d *decoder) decodeMap(v *hujson.Value, dst reflect.Value, path string) {
	if dst.IsNil() {
		dst.Set(reflect.MakeMap(dst.Type()))
	}
	d.visitMembers(v, path, func(name, memberPath string, member *hujson.Value) {
		element := reflect.New(dst.Type().Elem()).Elem()
		d.decodeValue(member, element, memberPath)
		dst.SetMapIndex(reflect.ValueOf(name).Convert(dst.Type().Key()), element)
	})
}

// visitMembers calls visit for each member of an object, in order. It reports long and
// duplicate keys as errors and skips their members.
func (d *decoder) visitMembers(v *hujson.Value, path string, visit func(name, memberPath string, member *hujson.Value)) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.errorf(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		if len(name) > MaxKeyBytes {
			d.errorf(path, "holds a key of %d bytes, more than the limit of %d", len(name), MaxKeyBytes)
			continue
		}
		memberPath := join(path, name)
		if seen[name] {
			d.doc.lines[memberPath] = d.lines.at(member.Value.StartOffset)
			d.errorf(memberPath, "key %q is given twice", name)
			continue
		}
		seen[name] = true
		visit(name, memberPath, &member.Value)
	}
}

func (d *decoder) decodeSlice(v *hujson.Value, dst reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.errorf(path, "must be a list")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decodeValue(&array.Elements[i], dst.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

// unmarshal decodes a value with encoding/json.
func (d *decoder) unmarshal(v *hujson.Value, dst reflect.Value, path string) {
	text := standardJSON(v)
	if bytes.Equal(text, []byte("null")) {
		d.errorf(path, "must not be null")
		return
	}
	if err := json.Unmarshal(text, dst.Addr().Interface()); err != nil {
		d.errorf(path, "%s", unmarshalMessage(err, dst.Kind()))
	}
}

// standardJSON returns the value as JSON without comments and trailing commas.
func standardJSON(v *hujson.Value) []byte {
	if literal, ok := v.Value.(hujson.Literal); ok {
		return literal
	}
	standard := v.Clone()
	standard.Standardize()
	return bytes.TrimSpace(standard.Pack())
}

func unmarshalMessage(err error, kind reflect.Kind) string {
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch {
		return "must be " + jsonTypeName(kind)
	}
	return err.Error()
}

// jsonTypeName describes the JSON values that a field of the given kind accepts.
func jsonTypeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "an integer in range"
	}
}

func (d *decoder) errorf(path, format string, args ...any) {
	d.findings.Errorf(d.doc.Place(path), format, args...)
}

func join(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}

// fieldsOf returns the indexes of a struct's exported fields by their JSON names.
func (d *decoder) fieldsOf(t reflect.Type) map[string]int {
	if fields, ok := d.fields[t]; ok {
		return fields
	}
	fields := map[string]int{}
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = i
	}
	d.fields[t] = fields
	return fields
}
