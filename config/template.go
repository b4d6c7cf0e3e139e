package config

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
)

// templateFile is the JSON structure of a template.
type templateFile struct {
	Template    string                   `json:"template"`
	Description string                   `json:"description"`
	Parameters  map[string]parameterFile `json:"parameters"`
	Service     serviceFile              `json:"service"`
}

type parameterFile struct {
	Type        string     `json:"type"`
	Description string     `json:"description"`
	Required    bool       `json:"required"`
	Default     *rawValue  `json:"default"`
	Min         *rawValue  `json:"min"`
	Max         *rawValue  `json:"max"`
	Enum        []rawValue `json:"enum"`
}

type serviceFile struct {
	Slots          expression[int]           `json:"slots"`
	Connections    expression[int]           `json:"connections"`
	Deadline       expression[time.Duration] `json:"deadline"`
	SlowStart      expression[time.Duration] `json:"slow_start"`
	RetryRatio     expression[float64]       `json:"retry_ratio"`
	HealthPath     textExpression            `json:"health_path"`
	Objective      objectiveFile             `json:"objective"`
	Grants         grantLimitsFile           `json:"grants"`
	DisabledRoutes expression[[]string]      `json:"disabled_routes"`
	Routes         []routeFile               `json:"routes"`
	Ingress        []ingressFile             `json:"ingress"`
}

type objectiveFile struct {
	Availability expression[float64]       `json:"availability"`
	Latency      expression[time.Duration] `json:"latency"`
}

type grantLimitsFile struct {
	MaxRate  expression[float64] `json:"max_rate"`
	MaxBurst expression[int]     `json:"max_burst"`
	MaxShare expression[float64] `json:"max_share"`
}

type routeFile struct {
	Name       string                    `json:"name"`
	Method     textExpression            `json:"method"`
	Path       textExpression            `json:"path"`
	Idempotent expression[bool]          `json:"idempotent"`
	Deadline   expression[time.Duration] `json:"deadline"`
	Cost       expression[float64]       `json:"cost"`
}

// ingressFile is a route from an authority and a path prefix to services.
type ingressFile struct {
	Name         string                    `json:"name"`
	Authority    textExpression            `json:"authority"`
	Prefix       textExpression            `json:"prefix"`
	Timeout      expression[time.Duration] `json:"timeout"`
	Attempts     expression[int]           `json:"attempts"`
	MaxBodyBytes expression[int]           `json:"max_body_bytes"`
	Parts        []ingressPartFile         `json:"parts"`
}

type ingressPartFile struct {
	Service textExpression  `json:"service"`
	Weight  expression[int] `json:"weight"`
}

// template is a parsed and checked template.
type template struct {
	name       string
	doc        *jsonc.Document
	parameters map[string]*parameter
	service    serviceFile
}

// parseTemplate parses a template and checks everything that does not depend on a
// team's values.
func parseTemplate(file string, data []byte, findings *finding.List) *template {
	var raw templateFile
	t := &template{parameters: map[string]*parameter{}}
	t.doc = jsonc.Decode(file, data, &raw, findings)
	t.name = raw.Template
	t.service = raw.Service
	if !t.doc.Has("") {
		return t // the text is not JSON
	}
	if !ValidName(raw.Template) {
		findings.Errorf(t.doc.Place("template"), "%s is not %s", quote(raw.Template), nameRule)
	}
	t.declare(raw.Parameters, findings)
	x := newExpansion(t, findings)
	for name, p := range t.parameters {
		if p.defaultValue != nil {
			x.bindings[name] = binding{value: *p.defaultValue, place: t.doc.Place("parameters." + name + ".default")}
		}
	}
	x.service()
	x.grantLimits()
	t.warnUnused(x.used, findings)
	return t
}

func (t *template) declare(raw map[string]parameterFile, findings *finding.List) {
	if len(raw) > MaxParameters {
		findings.Errorf(t.doc.Place("parameters"), "%d parameters, more than the limit of %d", len(raw), MaxParameters)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		file := raw[name]
		d := declaration{doc: t.doc, path: "parameters." + name, file: &file, findings: findings}
		t.parameters[name] = d.parameter(name)
	}
}

func (t *template) warnUnused(used map[string]bool, findings *finding.List) {
	for _, name := range slices.Sorted(maps.Keys(t.parameters)) {
		if !used[name] {
			findings.Warnf(t.doc.Place("parameters."+name), "parameter %q is never used", name)
		}
	}
}

// declaration checks the declaration of one parameter.
type declaration struct {
	doc      *jsonc.Document
	path     string
	file     *parameterFile
	findings *finding.List
}

func (d *declaration) parameter(name string) *parameter {
	p := &parameter{name: name, kind: parameterType(d.file.Type), required: d.file.Required}
	if !ValidName(name) {
		d.errorf("", "%s is not %s", quote(name), nameRule)
	}
	if !p.kind.known() {
		d.errorf(".type", "%s is not a type; the types are %s", quote(d.file.Type), typeList())
		return p
	}
	d.limits(p)
	if d.file.Default == nil && !p.required {
		d.errorf("", "parameter %q needs a default, or required set to true", name)
	}
	if d.file.Default != nil && p.required {
		d.errorf(".default", "parameter %q is required, so its default is never used", name)
	}
	p.defaultValue = d.value(".default", p.kind, d.file.Default)
	if p.defaultValue == nil {
		return p
	}
	if err := p.validate(*p.defaultValue); err != nil {
		d.errorf(".default", "%v", err)
		p.defaultValue = nil
	}
	return p
}

func (d *declaration) limits(p *parameter) {
	if (d.file.Min != nil || d.file.Max != nil) && !p.kind.ordered() {
		d.errorf("", "type %s does not support min and max; int, number and duration do", p.kind)
		return
	}
	p.min = d.value(".min", p.kind, d.file.Min)
	p.max = d.value(".max", p.kind, d.file.Max)
	if p.min != nil && p.max != nil && p.min.compare(*p.max) > 0 {
		d.errorf(".max", "the maximum of %s is below the minimum of %s", *p.max, *p.min)
	}
	d.enum(p)
}

func (d *declaration) enum(p *parameter) {
	if len(d.file.Enum) > MaxListLength {
		d.errorf(".enum", "%d values, more than the limit of %d", len(d.file.Enum), MaxListLength)
		return
	}
	kind := p.kind
	if kind == typeNames {
		kind = typeName
	}
	for i := range d.file.Enum {
		if v := d.value(indexed(".enum", i), kind, &d.file.Enum[i]); v != nil {
			p.enum = append(p.enum, *v)
		}
	}
}

// value parses an optional value; it returns nil if the value is absent or invalid.
func (d *declaration) value(field string, kind parameterType, raw *rawValue) *value {
	if raw == nil || raw.text == nil {
		return nil
	}
	v, err := parseValue(kind, raw.text)
	if err != nil {
		d.errorf(field, "%v", err)
		return nil
	}
	return &v
}

func (d *declaration) errorf(field, format string, args ...any) {
	d.findings.Errorf(d.doc.Place(d.path+field), format, args...)
}
