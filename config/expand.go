package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/finding"
)

// binding is the value of a parameter and the place where it is set.
type binding struct {
	value value
	place finding.Place
}

// expansion turns a template with bound parameters into a service. Fields that
// refer to an unbound parameter keep their zero value, so that a template can be
// checked before a team uses it.
type expansion struct {
	template *template
	bindings map[string]binding
	used     map[string]bool
	findings *finding.List
}

func newExpansion(t *template, findings *finding.List) *expansion {
	return &expansion{
		template: t,
		bindings: make(map[string]binding, len(t.parameters)),
		used:     make(map[string]bool, len(t.parameters)),
		findings: findings,
	}
}

// Defaults of a service and its routes.
const (
	defaultRetryRatio   = 0.1
	defaultAvailability = 0.999
	defaultCost         = 1
)

// service expands the template. The caller sets Name, Team and Place.
func (x *expansion) service() *Service {
	f := &x.template.service
	s := &Service{
		Slots:       field(x, "service.slots", &f.Slots, limits[int]{required: true, min: 1, max: MaxSlots}),
		Connections: field(x, "service.connections", &f.Connections, limits[int]{required: true, min: 1, max: MaxConnections}),
		Deadline:    field(x, "service.deadline", &f.Deadline, limits[time.Duration]{required: true, min: time.Millisecond, max: MaxDeadline}),
		SlowStart:   field(x, "service.slow_start", &f.SlowStart, limits[time.Duration]{max: MaxSlowStart}),
		RetryRatio:  field(x, "service.retry_ratio", &f.RetryRatio, limits[float64]{defaultValue: defaultRetryRatio, max: 1}),
		HealthPath:  x.healthPath(f),
	}
	s.Objective = x.objective(f, s.Deadline)
	s.Routes = x.routes(f, s.Deadline)
	s.Ingress = x.ingress(f, s.Deadline)
	return s
}

func (x *expansion) objective(f *serviceFile, deadline time.Duration) Objective {
	return Objective{
		Availability: field(x, "service.objective.availability", &f.Objective.Availability,
			limits[float64]{defaultValue: defaultAvailability, min: 0.5, max: 0.999999}),
		Latency: field(x, "service.objective.latency", &f.Objective.Latency,
			limits[time.Duration]{defaultValue: deadline, min: time.Millisecond, max: MaxDeadline}),
	}
}

// grantLimits are the maximum values of a grant for a service.
type grantLimits struct {
	rate  float64
	burst int
	share float64
}

func (x *expansion) grantLimits() grantLimits {
	f := &x.template.service.Grants
	return grantLimits{
		rate:  field(x, "service.grants.max_rate", &f.MaxRate, limits[float64]{defaultValue: MaxRate, min: minRate, max: MaxRate}),
		burst: field(x, "service.grants.max_burst", &f.MaxBurst, limits[int]{defaultValue: MaxBurst, min: 1, max: MaxBurst}),
		share: field(x, "service.grants.max_share", &f.MaxShare, limits[float64]{defaultValue: MaxShare, min: minShare, max: MaxShare}),
	}
}

func (x *expansion) healthPath(f *serviceFile) string {
	const path = "service.health_path"
	text, place, known := x.text(path, &f.HealthPath)
	if known && text != "" {
		x.checkPath(place, text)
	}
	return text
}

func (x *expansion) routes(f *serviceFile, deadline time.Duration) []*Route {
	if len(f.Routes) == 0 {
		x.errorf("service.routes", "a service needs at least one route")
		return nil
	}
	if len(f.Routes) > MaxRoutes {
		x.errorf("service.routes", "%d routes, more than the limit of %d", len(f.Routes), MaxRoutes)
		return nil
	}
	routes := make([]*Route, 0, len(f.Routes))
	names := make(map[string]bool, len(f.Routes))
	for i := range f.Routes {
		path := indexed("service.routes", i)
		route := x.route(path, &f.Routes[i], deadline)
		if names[route.Name] {
			x.errorf(path+".name", "route %q is defined twice", route.Name)
		}
		names[route.Name] = true
		routes = append(routes, route)
	}
	routes = x.removeDisabled(f, routes, names)
	sortRoutes(routes)
	x.checkConflicts(routes)
	return routes
}

// removeDisabled returns the routes that are not disabled. names holds the names of all routes.
func (x *expansion) removeDisabled(f *serviceFile, routes []*Route, names map[string]bool) []*Route {
	const path = "service.disabled_routes"
	disabled, place, known := resolve(x, path, &f.DisabledRoutes)
	if !known {
		return routes
	}
	for _, name := range disabled {
		if !names[name] {
			x.findings.Errorf(place, "there is no route %q to disable", name)
		}
	}
	routes = slices.DeleteFunc(routes, func(r *Route) bool { return slices.Contains(disabled, r.Name) })
	if len(routes) == 0 {
		x.findings.Errorf(place, "all routes are disabled")
	}
	return routes
}

func (x *expansion) route(path string, f *routeFile, deadline time.Duration) *Route {
	if !ValidName(f.Name) {
		x.errorf(path+".name", "%s is not %s", quote(f.Name), nameRule)
	}
	maxDeadline := MaxDeadline
	if deadline > 0 {
		maxDeadline = min(maxDeadline, deadline)
	}
	r := &Route{
		Name:     f.Name,
		Deadline: field(x, path+".deadline", &f.Deadline, limits[time.Duration]{defaultValue: maxDeadline, min: time.Millisecond, max: maxDeadline}),
		Cost:     field(x, path+".cost", &f.Cost, limits[float64]{defaultValue: defaultCost, min: 0.001, max: MaxCost}),
		Place:    x.place(path),
	}
	r.Method, r.PathPrefix = x.methodAndPath(path, f)
	r.Idempotent = x.idempotent(path+".idempotent", &f.Idempotent, r.Method)
	return r
}

// methods maps each method that a route can have to whether it is safe.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true,
	"POST": false, "PUT": false, "PATCH": false, "DELETE": false,
}

// methodAndPath returns the method and path prefix of a route. Both are empty if a
// parameter of either is unbound.
func (x *expansion) methodAndPath(path string, f *routeFile) (method, prefix string) {
	method, methodPlace, methodKnown := x.text(path+".method", &f.Method)
	if _, ok := methods[method]; methodKnown && !ok && method != "" {
		x.findings.Errorf(methodPlace, "%s is not a method; the methods are DELETE, GET, HEAD, OPTIONS, PATCH, POST and PUT", quote(method))
	}
	prefix, prefixPlace, prefixKnown := x.text(path+".path", &f.Path)
	if prefixKnown {
		x.checkPath(prefixPlace, prefix)
	}
	if !methodKnown || !prefixKnown {
		return "", ""
	}
	return method, prefix
}

// idempotent returns the template's setting. By default, routes with a safe
// method are idempotent.
func (x *expansion) idempotent(path string, e *expression[bool], method string) bool {
	if !e.set {
		return methods[method]
	}
	flag, _, _ := resolve(x, path, e)
	return flag
}

func (x *expansion) checkPath(place finding.Place, path string) {
	if message := invalidPathReason(path); message != "" {
		x.findings.Errorf(place, "%s %s", quote(path), message)
	}
}

// invalidPathReason returns why a path prefix is invalid, and "" if it is valid.
func invalidPathReason(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "does not begin with '/'"
	}
	if len(path) > MaxTextBytes {
		return fmt.Sprintf("has %d bytes, more than the limit of %d", len(path), MaxTextBytes)
	}
	if strings.Contains(path, "//") {
		return "contains an empty segment"
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return "contains the segment " + quote(segment)
		}
	}
	for _, r := range path {
		if r <= ' ' || r > '~' || strings.ContainsRune(`%?#\"<>^{|}`+"`", r) {
			return fmt.Sprintf("contains the character %q, which a path prefix cannot match", r)
		}
	}
	return ""
}

// sortRoutes puts the most specific route first: the longest prefix and, for
// equal prefixes, a route with a method before one for any method.
func sortRoutes(routes []*Route) {
	slices.SortStableFunc(routes, func(a, b *Route) int {
		return cmp.Or(
			cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
			cmp.Compare(a.PathPrefix, b.PathPrefix),
			-cmp.Compare(a.Method, b.Method),
		)
	})
}

// checkConflicts reports routes that match the same requests. The routes must be
// sorted.
func (x *expansion) checkConflicts(routes []*Route) {
	for i := 1; i < len(routes); i++ {
		a, b := routes[i-1], routes[i]
		if a.Method != b.Method || a.PathPrefix != b.PathPrefix || a.PathPrefix == "" {
			continue
		}
		x.findings.Errorf(b.Place, "route %q has the same method and path as route %q", b.Name, a.Name)
	}
}

// limits are the inclusive bounds of a field and its default.
type limits[T cmp.Ordered] struct {
	required     bool
	defaultValue T
	min, max     T
}

// field returns the value of an ordered field and checks it against the limits. It
// returns the zero value if the value is unknown or invalid.
func field[T cmp.Ordered](x *expansion, path string, e *expression[T], l limits[T]) T {
	var zero T
	if !e.set {
		if l.required {
			x.errorf(path, "must be set")
		}
		return l.defaultValue
	}
	v, place, known := resolve(x, path, e)
	if !known {
		return zero
	}
	if v < l.min || v > l.max {
		x.findings.Errorf(place, "%v is not between %v and %v%s", v, l.min, l.max, x.requiredBy(path, e.parameter))
		return zero
	}
	return v
}

// requiredBy returns the end of a message about a parameter's value: the field that
// the value was used for. It is empty if the field holds a literal.
func (x *expansion) requiredBy(path, parameter string) string {
	if parameter == "" {
		return ""
	}
	return fmt.Sprintf(", as required by %s of template %q", path, x.template.name)
}

// resolve returns the value of a field and the place where it is set. known is
// false if the field is absent or invalid or refers to an unbound parameter.
func resolve[T any](x *expansion, path string, e *expression[T]) (v T, place finding.Place, known bool) {
	if !e.set || e.invalid {
		return v, finding.Place{}, false
	}
	if e.parameter == "" {
		return e.literal, x.place(path), true
	}
	declared := x.declared(path, e.parameter)
	if declared == nil || !declared.kind.known() {
		return v, finding.Place{}, false
	}
	if _, compatible := convert[T](value{kind: declared.kind}); !compatible {
		x.errorf(path, "parameter %q is of type %s, which this field does not accept", e.parameter, declared.kind)
		return v, finding.Place{}, false
	}
	bound, ok := x.bindings[e.parameter]
	v, _ = convert[T](bound.value)
	return v, bound.place, ok
}

// text returns the value of a text field with its parameters substituted. known is
// false if the field is invalid or a parameter is unbound.
func (x *expansion) text(path string, e *textExpression) (text string, place finding.Place, known bool) {
	place = x.place(path)
	var b strings.Builder
	known = !e.invalid
	for _, fragment := range e.fragments {
		if fragment.parameter == "" {
			b.WriteString(fragment.text)
			continue
		}
		bound, ok := x.boundText(path, fragment.parameter)
		if !ok {
			known = false
			continue
		}
		place = bound.place
		substitute, _ := bound.value.asText()
		b.WriteString(substitute)
	}
	if !known {
		return "", place, false
	}
	return b.String(), place, true
}

// boundText returns the value of a parameter that a text field refers to.
func (x *expansion) boundText(path, name string) (binding, bool) {
	declared := x.declared(path, name)
	if declared == nil || !declared.kind.known() {
		return binding{}, false
	}
	if _, allowed := (value{kind: declared.kind}).asText(); !allowed {
		x.errorf(path, "parameter %q is of type %s, which cannot be used in text", name, declared.kind)
		return binding{}, false
	}
	bound, ok := x.bindings[name]
	return bound, ok
}

// declared returns the declaration of a parameter that a field refers to. If there
// is none, it reports an error and returns nil.
func (x *expansion) declared(path, name string) *parameter {
	x.used[name] = true
	p := x.template.parameters[name]
	if p == nil {
		x.errorf(path, "the template declares no parameter %q", name)
	}
	return p
}

func (x *expansion) place(path string) finding.Place {
	return x.template.doc.Place(path)
}

func (x *expansion) errorf(path, format string, args ...any) {
	x.findings.Errorf(x.place(path), format, args...)
}

func indexed(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
