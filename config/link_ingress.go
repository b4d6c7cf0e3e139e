package config

import (
	"slices"

	"github.com/bronzemast/bronzemast/config/ingress"
)

// ingress returns the table of the ingress routes of all services, nil if there are
// none or if one is invalid.
func (l *linker) ingress() *ingress.Table {
	if l.teamsIncomplete {
		return nil // the file without a valid name may define the routes' services
	}
	doc := &ingress.Document{}
	for _, s := range l.contents.Services {
		doc.Services = append(doc.Services, ingress.Service{Name: s.Name, Place: s.Place})
		doc.Routes = append(doc.Routes, l.ingressOf(s)...)
	}
	if len(doc.Routes) == 0 {
		return nil
	}
	table, findings := ingress.Check(doc)
	l.findings.Append(findings)
	for _, r := range doc.Routes {
		if l.services[r.Authority] != nil {
			l.findings.Errorf(r.Place, "authority %q is the name of a service, which callers reach without an ingress route", r.Authority)
		}
	}
	return table
}

// ingressOf returns the ingress routes of a service with names that are unique in the
// release. Services that share a template share its routes, so these are copied. A route
// that could not be expanded is omitted, since its errors have been reported.
func (l *linker) ingressOf(s *Service) []ingress.Route {
	routes := make([]ingress.Route, 0, len(s.Ingress))
	for _, r := range s.Ingress {
		if !fullyExpanded(&r) {
			continue
		}
		r.Name = s.Name + "/" + r.Name
		r.Destinations = slices.Clone(r.Destinations)
		if len(r.Destinations) == 0 {
			r.Destinations = []ingress.Destination{{Service: s.Name, Weight: 1}}
		}
		routes = append(routes, r)
	}
	return routes
}

// fullyExpanded reports whether all required fields of an ingress route have a value.
func fullyExpanded(r *ingress.Route) bool {
	for _, destination := range r.Destinations {
		if destination.Service == "" || destination.Weight == 0 {
			return false
		}
	}
	return r.Authority != "" && r.Prefix != "" && r.Timeout > 0 && r.Attempts > 0
}
