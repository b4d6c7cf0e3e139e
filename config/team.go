package config

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/pkg/errors"
)

// teamFile is the JSON structure of a team file.
type teamFile struct {
	Team        string            `json:"team"`
	Description string            `json:"description"`
	Callers     []callerFile      `json:"callers"`
	Services    []teamServiceFile `json:"services"`
	Grants      []grantFile       `json:"grants"`
}

type callerFile struct {
	Name        string   `json:"name"`
	Description string   `json:"description"`
	Credentials []string `json:"credentials"`
}

type teamServiceFile struct {
	Name       string              `json:"name"`
	Template   string              `json:"template"`
	Parameters map[string]rawValue `json:"parameters"`
}

type grantFile struct {
	Caller  string   `json:"caller"`
	Service string   `json:"service"`
	Routes  []string `json:"routes"`
	Rate    *float64 `json:"rate"`
	Burst   *int     `json:"burst"`
	Share   *float64 `json:"share"`
}

// allRoutes, as the only route of a grant, permits all routes of the service.
const allRoutes = "*"

// team is a parsed team file. References to other files are not checked yet.
type team struct {
	name     string
	doc      *jsonc.Document
	callers  []Caller
	services []teamService
	grants   []Grant
}

type teamService struct {
	name       string
	template   string
	parameters map[string]rawValue
	place      finding.Place
	// expanded caches the expansion of the template expandedFrom. Its service is
	// shared by the snapshots of all releases with this team file and that template.
	expandedFrom *template
	expanded     *expandedService
}

// expandedService is a service together with the limits of its grants.
type expandedService struct {
	service *Service
	limits  grantLimits
}

func parseTeam(file string, data []byte, findings *finding.List) *team {
	var raw teamFile
	t := &team{}
	t.doc = jsonc.Decode(file, data, &raw, findings)
	if !t.doc.Has("") {
		return t // the text is not JSON
	}
	t.name = raw.Team
	t.checkName("team", raw.Team, findings)
	for i := range raw.Callers {
		t.callers = append(t.callers, t.caller(indexed("callers", i), &raw.Callers[i], findings))
	}
	for i := range raw.Services {
		t.services = append(t.services, t.service(indexed("services", i), &raw.Services[i], findings))
	}
	for i := range raw.Grants {
		t.grants = append(t.grants, t.grant(indexed("grants", i), &raw.Grants[i], findings))
	}
	return t
}

func (t *team) checkName(path, name string, findings *finding.List) {
	if !ValidName(name) {
		findings.Errorf(t.doc.Place(path), "%s is not %s", quote(name), nameRule)
	}
}

func (t *team) caller(path string, f *callerFile, findings *finding.List) Caller {
	t.checkName(path+".name", f.Name, findings)
	c := Caller{Name: f.Name, Team: t.name, Place: t.doc.Place(path)}
	if len(f.Credentials) == 0 || len(f.Credentials) > MaxCredentials {
		findings.Errorf(t.doc.Place(path+".credentials"), "%d credentials, not 1 to %d", len(f.Credentials), MaxCredentials)
		return c
	}
	for i, text := range f.Credentials {
		digest, err := parseCredential(text)
		if err == nil && slices.Contains(c.Credentials, digest) {
			err = errors.New("the credential is listed twice")
		}
		if err != nil {
			findings.Errorf(t.doc.Place(indexed(path+".credentials", i)), "%v", err)
			continue
		}
		c.Credentials = append(c.Credentials, digest)
	}
	return c
}

// credentialPrefix names the digest algorithm of a credential.
const credentialPrefix = "sha256:"

// CredentialDigest returns the digest of a credential in the form used in team
// files.
func CredentialDigest(credential string) string {
	return credentialPrefix + DigestOf([]byte(credential)).String()
}

// parseCredential parses the digest of a credential. Errors never quote the text,
// since it may be the secret itself by mistake.
func parseCredential(text string) (Digest, error) {
	var digest Digest
	hexadecimal, ok := strings.CutPrefix(text, credentialPrefix)
	if !ok || digest.UnmarshalText([]byte(hexadecimal)) != nil {
		return Digest{}, errors.Errorf("must be %q and the 64 hexadecimal digits of the credential's digest", credentialPrefix)
	}
	if digest == DigestOf(nil) {
		return Digest{}, errors.New("is the digest of the empty string")
	}
	return digest, nil
}

func (t *team) service(path string, f *teamServiceFile, findings *finding.List) teamService {
	t.checkName(path+".name", f.Name, findings)
	t.checkName(path+".template", f.Template, findings)
	return teamService{name: f.Name, template: f.Template, parameters: f.Parameters, place: t.doc.Place(path)}
}

func (t *team) grant(path string, f *grantFile, findings *finding.List) Grant {
	t.checkName(path+".caller", f.Caller, findings)
	t.checkName(path+".service", f.Service, findings)
	g := Grant{
		Caller:  f.Caller,
		Service: f.Service,
		Team:    t.name,
		Routes:  t.grantRoutes(path+".routes", f.Routes, findings),
		Share:   1,
		Place:   t.doc.Place(path),
	}
	if f.Rate == nil {
		findings.Errorf(t.doc.Place(path+".rate"), "must be set")
		return g
	}
	g.Rate = *f.Rate
	g.Burst = defaultBurst(g.Rate)
	if f.Burst != nil {
		g.Burst = *f.Burst
	}
	if f.Share != nil {
		g.Share = *f.Share
	}
	t.checkNumber(path+".rate", g.Rate, minRate, MaxRate, findings)
	t.checkNumber(path+".burst", float64(g.Burst), 1, MaxBurst, findings)
	t.checkNumber(path+".share", g.Share, minShare, MaxShare, findings)
	return g
}

const (
	// minRate is the smallest rate of a grant in calls per second.
	minRate = 0.001
	// minShare is the smallest weight of a grant.
	minShare = 0.001
)

// defaultBurst returns the burst of a grant that sets none: the calls of one second
// at the given rate, at least 1.
func defaultBurst(rate float64) int {
	return int(math.Ceil(min(max(rate, 1), MaxBurst)))
}

// grantRoutes checks the routes of a grant and returns them, nil for all routes. An
// empty list is an error, so that omitting it does not permit anything by accident.
func (t *team) grantRoutes(path string, routes []string, findings *finding.List) []string {
	if len(routes) == 0 {
		findings.Errorf(t.doc.Place(path), "must list routes, or %q for all", allRoutes)
		return nil
	}
	if len(routes) == 1 && routes[0] == allRoutes {
		return nil
	}
	if len(routes) > MaxRoutes {
		findings.Errorf(t.doc.Place(path), "%d routes, more than the limit of %d", len(routes), MaxRoutes)
		return nil
	}
	for i, name := range routes {
		routePath := indexed(path, i)
		t.checkName(routePath, name, findings)
		if slices.Contains(routes[:i], name) {
			findings.Errorf(t.doc.Place(routePath), "route %q is listed twice", name)
		}
	}
	return routes
}

func (t *team) checkNumber(path string, v, lower, upper float64, findings *finding.List) {
	if v < lower || v > upper {
		findings.Errorf(t.doc.Place(path), "%v is not between %v and %v", v, lower, upper)
	}
}

// bind checks a team's values against the template's declarations and adds the
// defaults. A parameter with an invalid value stays unbound.
func (x *expansion) bind(t *team, path string, values map[string]rawValue) {
	declared := x.template.parameters
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, ok := declared[name]; !ok {
			x.findings.Errorf(t.doc.Place(path+".parameters."+name), "template %q declares no parameter %q", x.template.name, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(declared)) {
		p := declared[name]
		raw, given := values[name]
		switch {
		case given:
			x.bindGiven(p, raw, t.doc.Place(path+".parameters."+name))
		case p.defaultValue != nil:
			place := x.place("parameters." + name + ".default")
			x.bindings[name] = binding{value: *p.defaultValue, place: place}
		case p.required:
			x.findings.Errorf(t.doc.Place(path+".parameters"), "parameter %q of template %q is required", name, x.template.name)
		}
	}
}

func (x *expansion) bindGiven(p *parameter, raw rawValue, place finding.Place) {
	if !p.kind.known() || raw.text == nil {
		return // already reported
	}
	v, err := parseValue(p.kind, raw.text)
	if err == nil {
		err = p.validate(v)
	}
	if err != nil {
		x.findings.Errorf(place, "%v", err)
		return
	}
	x.bindings[p.name] = binding{value: v, place: place}
}
