package config

import (
	"time"

	"github.com/bronzemast/bronzemast/config/ingress"
)

// ingress expands the ingress routes of a service. A route whose parts are not set leads
// to the service itself. The linker adds that destination, since the service's name is
// not known here.
func (x *expansion) ingress(f *serviceFile, deadline time.Duration) []ingress.Route {
	const path = "service.ingress"
	if len(f.Ingress) > MaxIngressRoutes {
		x.errorf(path, "%d ingress routes, more than the limit of %d", len(f.Ingress), MaxIngressRoutes)
		return nil
	}
	routes := make([]ingress.Route, 0, len(f.Ingress))
	names := make(map[string]bool, len(f.Ingress))
	for i := range f.Ingress {
		routePath := indexed(path, i)
		route := x.ingressRoute(routePath, &f.Ingress[i], deadline)
		if names[route.Name] {
			x.errorf(routePath+".name", "ingress route %q is defined twice", route.Name)
		}
		names[route.Name] = true
		routes = append(routes, route)
	}
	return routes
}

func (x *expansion) ingressRoute(path string, f *ingressFile, deadline time.Duration) ingress.Route {
	if !ValidName(f.Name) {
		x.errorf(path+".name", "%s is not %s", quote(f.Name), nameRule)
	}
	maxTimeout := MaxDeadline
	if deadline > 0 {
		maxTimeout = min(maxTimeout, deadline)
	}
	r := ingress.Route{
		Name: f.Name,
		// The matching route of the service decides whether a call may be retried.
		Idempotent:   true,
		Timeout:      field(x, path+".timeout", &f.Timeout, limits[time.Duration]{defaultValue: maxTimeout, min: time.Millisecond, max: maxTimeout}),
		Attempts:     field(x, path+".attempts", &f.Attempts, limits[int]{defaultValue: MaxAttempts, min: 1, max: MaxAttempts}),
		MaxBodyBytes: int64(field(x, path+".max_body_bytes", &f.MaxBodyBytes, limits[int]{max: MaxBodyBytes})),
		Destinations: x.ingressDestinations(path+".parts", f.Parts),
		Place:        x.place(path),
	}
	r.Authority = x.ingressText(path+".authority", &f.Authority)
	r.Prefix = x.ingressText(path+".prefix", &f.Prefix)
	return r
}

// ingressText returns the value of a required text field. ingress.Check checks its
// contents when the release is linked.
func (x *expansion) ingressText(path string, e *textExpression) string {
	if !e.set {
		x.errorf(path, "must be set")
		return ""
	}
	text, place, known := x.text(path, e)
	if known && text == "" {
		x.findings.Errorf(place, "must not be empty")
	}
	return text
}

func (x *expansion) ingressDestinations(path string, files []ingressPartFile) []ingress.Destination {
	if len(files) > MaxIngressDestinations {
		x.errorf(path, "%d parts, more than the limit of %d", len(files), MaxIngressDestinations)
		return nil
	}
	destinations := make([]ingress.Destination, 0, len(files))
	names := make(map[string]bool, len(files))
	for i := range files {
		partPath := indexed(path, i)
		service := x.ingressText(partPath+".service", &files[i].Service)
		if service != "" && names[service] {
			x.errorf(partPath+".service", "service %q is listed twice", service)
		}
		names[service] = true
		destinations = append(destinations, ingress.Destination{
			Service: service,
			Weight:  field(x, partPath+".weight", &files[i].Weight, limits[int]{defaultValue: 1, min: 1, max: ingress.MaxWeight}),
		})
	}
	return destinations
}
