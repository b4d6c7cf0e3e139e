package config

import (
	"github.com/bronzemast/bronzemast/finding"
)

// linker merges the parsed parts of a release and resolves the references between
// them.
type linker struct {
	findings      *finding.List
	templates     map[string]*template
	teams         []*team
	teamNames     map[string]finding.Place
	templateOrder []*template
	// templatesIncomplete and teamsIncomplete are set once a file has no valid name.
	// Unresolved references are not reported then, since that file may define them.
	templatesIncomplete bool
	teamsIncomplete     bool

	services    map[string]*expandedService
	callers     map[string]*Caller
	grants      map[grantKey]*Grant
	credentials map[Digest]string
	counts      struct{ services, callers, grants int }
	contents    SnapshotContents
}

func newLinker(findings *finding.List) *linker {
	return &linker{
		findings:    findings,
		templates:   map[string]*template{},
		teamNames:   map[string]finding.Place{},
		services:    map[string]*expandedService{},
		callers:     map[string]*Caller{},
		grants:      map[grantKey]*Grant{},
		credentials: map[Digest]string{},
	}
}

// add adds a parsed part. If two parts define the same name, the later one gets
// the finding.
func (l *linker) add(p *part) {
	l.findings.Append(&p.findings)
	if t := p.template; t != nil {
		l.addTemplate(t)
	}
	if t := p.team; t != nil {
		l.addTeam(t)
	}
}

func (l *linker) addTemplate(t *template) {
	if !ValidName(t.name) {
		l.templatesIncomplete = true
		return
	}
	if other, exists := l.templates[t.name]; exists {
		l.findings.Errorf(t.doc.Place("template"), "template %q is already defined at %s", t.name, other.doc.Place("template"))
		return
	}
	l.templates[t.name] = t
	l.templateOrder = append(l.templateOrder, t)
}

func (l *linker) addTeam(t *team) {
	l.counts.services += len(t.services)
	l.counts.callers += len(t.callers)
	l.counts.grants += len(t.grants)
	l.teams = append(l.teams, t)
	if !ValidName(t.name) {
		l.teamsIncomplete = true
		return
	}
	place := t.doc.Place("team")
	if other, exists := l.teamNames[t.name]; exists {
		l.findings.Errorf(place, "team %q is already defined at %s", t.name, other)
		return
	}
	l.teamNames[t.name] = place
}

// link expands all services and then checks the grants against them.
func (l *linker) link() SnapshotContents {
	used := map[string]bool{}
	for _, t := range l.teams {
		l.addCallers(t)
		l.addServices(t, used)
	}
	for _, t := range l.teams {
		l.addGrants(t)
	}
	l.contents.Ingress = l.ingress()
	for _, t := range l.templateOrder {
		if !used[t.name] {
			l.findings.Warnf(t.doc.Place("template"), "template %q is never used", t.name)
		}
	}
	return l.contents
}

// withinLimits reports whether to continue with the next part. A release that
// exceeds its limits is rejected before it costs time and memory.
func (l *linker) withinLimits() bool {
	within := l.findings.Len() <= finding.MaxFindings || !l.findings.Failed()
	for _, c := range []struct {
		what         string
		count, limit int
	}{
		{"services", l.counts.services, MaxServices},
		{"callers", l.counts.callers, MaxCallers},
		{"grants", l.counts.grants, MaxGrants},
	} {
		if c.count > c.limit {
			l.findings.Errorf(finding.Place{}, "more %s than the limit of %d", c.what, c.limit)
			within = false
		}
	}
	return within
}

func (l *linker) addCallers(t *team) {
	for i := range t.callers {
		caller := t.callers[i]
		if !ValidName(caller.Name) {
			continue
		}
		if other, exists := l.callers[caller.Name]; exists {
			l.findings.Errorf(caller.Place, "caller %q is already defined at %s", caller.Name, other.Place)
			continue
		}
		l.callers[caller.Name] = &caller
		l.contents.Callers = append(l.contents.Callers, &caller)
		l.addCredentials(t, indexed("callers", i), &caller)
	}
}

func (l *linker) addCredentials(t *team, path string, caller *Caller) {
	for _, credential := range caller.Credentials {
		if other, exists := l.credentials[credential]; exists {
			l.findings.Errorf(t.doc.Place(path+".credentials"), "caller %q has the same credential", other)
			continue
		}
		l.credentials[credential] = caller.Name
	}
}

func (l *linker) addServices(t *team, used map[string]bool) {
	for i := range t.services {
		s := &t.services[i]
		path := indexed("services", i)
		used[s.template] = true
		e := l.expand(t, path, s)
		if !ValidName(s.name) {
			continue
		}
		if other, exists := l.services[s.name]; exists {
			l.findings.Errorf(t.doc.Place(path+".name"), "service %q is already defined at %s", s.name, other.service.Place)
			continue
		}
		l.services[s.name] = e
		l.contents.Services = append(l.contents.Services, e.service)
	}
}

// expand returns the expanded service. If its template does not exist, the service
// has only Name, Team and Place, so that references to it still resolve.
func (l *linker) expand(t *team, path string, s *teamService) *expandedService {
	tpl, ok := l.templates[s.template]
	if !ok {
		if !l.templatesIncomplete && ValidName(s.template) {
			l.findings.Errorf(t.doc.Place(path+".template"), "there is no template %q", s.template)
		}
		return &expandedService{service: &Service{Name: s.name, Team: t.name, Place: s.place}}
	}
	if s.expandedFrom == tpl {
		return s.expanded
	}
	findings := &finding.List{}
	x := newExpansion(tpl, findings)
	x.bind(t, path, s.parameters)
	e := &expandedService{service: x.service(), limits: x.grantLimits()}
	e.service.Name = s.name
	e.service.Team = t.name
	e.service.Place = s.place
	l.findings.Append(findings)
	if findings.Len() == 0 {
		s.expandedFrom, s.expanded = tpl, e
	}
	return e
}

func (l *linker) addGrants(t *team) {
	for i := range t.grants {
		grant := t.grants[i]
		path := indexed("grants", i)
		if _, ok := l.callers[grant.Caller]; !ok && !l.teamsIncomplete && ValidName(grant.Caller) {
			l.findings.Errorf(t.doc.Place(path+".caller"), "there is no caller %q", grant.Caller)
		}
		if !l.checkGrantedService(t, path, &grant) {
			continue
		}
		key := grantKey{caller: grant.Caller, service: grant.Service}
		if other, exists := l.grants[key]; exists {
			l.findings.Errorf(grant.Place, "caller %q already has a grant for service %q at %s", grant.Caller, grant.Service, other.Place)
			continue
		}
		l.grants[key] = &grant
		l.contents.Grants = append(l.contents.Grants, &grant)
	}
}

// checkGrantedService checks that a team grants access to its own services only,
// to routes that exist, and within the template's limits. It reports whether the
// team owns the service.
func (l *linker) checkGrantedService(t *team, path string, grant *Grant) bool {
	e, ok := l.services[grant.Service]
	if !ok {
		if !l.teamsIncomplete && ValidName(grant.Service) {
			l.findings.Errorf(t.doc.Place(path+".service"), "there is no service %q", grant.Service)
		}
		return false
	}
	if e.service.Team != t.name {
		l.findings.Errorf(t.doc.Place(path+".service"), "service %q belongs to team %q; only the owner may grant access to it", grant.Service, e.service.Team)
		return false
	}
	l.checkGrantedRoutes(t, path, grant, e.service)
	l.checkGrantedAmounts(t, path, grant, e.limits)
	return true
}

func (l *linker) checkGrantedRoutes(t *team, path string, grant *Grant, service *Service) {
	if len(service.Routes) == 0 {
		return // the service could not be expanded
	}
	for i, name := range grant.Routes {
		if service.RouteByName(name) == nil {
			l.findings.Errorf(t.doc.Place(indexed(path+".routes", i)), "service %q has no route %q", grant.Service, name)
		}
	}
}

// checkGrantedAmounts checks rate, burst and share of a grant. It skips limits of 0,
// which could not be expanded.
func (l *linker) checkGrantedAmounts(t *team, path string, grant *Grant, limit grantLimits) {
	for _, c := range []struct {
		field        string
		value, limit float64
	}{
		{".rate", grant.Rate, limit.rate},
		{".burst", float64(grant.Burst), float64(limit.burst)},
		{".share", grant.Share, limit.share},
	} {
		if c.limit > 0 && c.value > c.limit {
			l.findings.Errorf(t.doc.Place(path+c.field), "%v is above the maximum of %v for grants of service %q", c.value, c.limit, grant.Service)
		}
	}
}
