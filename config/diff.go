package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/bronzemast/bronzemast/config/ingress"
)

// Subject is the kind of object that a change affects.
type Subject string

// The subjects of changes.
const (
	SubjectService Subject = "service"
	SubjectRoute   Subject = "route"
	SubjectIngress Subject = "ingress"
	SubjectCaller  Subject = "caller"
	SubjectGrant   Subject = "grant"
)

// Action is the kind of change to the subject.
type Action string

// The actions of changes.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Change is one difference between two snapshots.
type Change struct {
	Subject Subject `json:"subject"`
	Action  Action  `json:"action"`
	// Service, Route and Caller identify the subject; those that do not apply are
	// empty.
	Service string `json:"service,omitempty"`
	Route   string `json:"route,omitempty"`
	Caller  string `json:"caller,omitempty"`
	// Field is the changed field; it is empty if the subject was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values of the field, or summaries of the whole subject.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	name := string(c.Subject) + " " + c.name()
	switch c.Action {
	case ActionAdded:
		return "+ " + name + ": " + c.New
	case ActionRemoved:
		return "- " + name + ": " + c.Old
	default:
		return "~ " + name + ": " + c.Field + " " + c.Old + " -> " + c.New
	}
}

func (c Change) name() string {
	switch c.Subject {
	case SubjectRoute:
		return c.Service + "/" + c.Route
	case SubjectIngress:
		return c.Route
	case SubjectCaller:
		return c.Caller
	case SubjectGrant:
		return c.Caller + " to " + c.Service
	default:
		return c.Service
	}
}

// Diff returns the differences between two snapshots in services, routes, ingress
// routes, callers and grants, in a stable order. A nil snapshot counts as empty.
func Diff(before, after *Snapshot) []Change {
	var changes []Change
	changes = append(changes, diffItems(serviceItems(before), serviceItems(after))...)
	changes = append(changes, diffItems(routeItems(before), routeItems(after))...)
	changes = append(changes, diffItems(ingressItems(before), ingressItems(after))...)
	changes = append(changes, diffItems(callerItems(before), callerItems(after))...)
	changes = append(changes, diffItems(grantItems(before), grantItems(after))...)
	return changes
}

// item is an object of a snapshot with its fields formatted for comparison.
type item struct {
	subject                Subject
	service, route, caller string
	fields                 []itemField
}

type itemField struct {
	name, text string
}

func (i *item) key() string {
	return strings.Join([]string{i.service, i.route, i.caller}, "\x00")
}

func (i *item) summary() string {
	texts := make([]string, 0, len(i.fields))
	for _, f := range i.fields {
		texts = append(texts, f.name+" "+f.text)
	}
	return strings.Join(texts, ", ")
}

func (i *item) change(action Action) Change {
	return Change{Subject: i.subject, Action: action, Service: i.service, Route: i.route, Caller: i.caller}
}

// diffItems merges two lists of items of one subject, each sorted by key.
func diffItems(before, after []item) []Change {
	var changes []Change
	for len(before) > 0 || len(after) > 0 {
		switch order := compareHeads(before, after); {
		case order < 0:
			change := before[0].change(ActionRemoved)
			change.Old = before[0].summary()
			changes = append(changes, change)
			before = before[1:]
		case order > 0:
			change := after[0].change(ActionAdded)
			change.New = after[0].summary()
			changes = append(changes, change)
			after = after[1:]
		default:
			changes = append(changes, diffFields(&before[0], &after[0])...)
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

func compareHeads(before, after []item) int {
	if len(before) == 0 {
		return 1
	}
	if len(after) == 0 {
		return -1
	}
	return strings.Compare(before[0].key(), after[0].key())
}

// diffFields compares two items of one subject, which have the same fields.
func diffFields(before, after *item) []Change {
	var changes []Change
	for i := range before.fields {
		if before.fields[i].text == after.fields[i].text {
			continue
		}
		change := after.change(ActionChanged)
		change.Field = before.fields[i].name
		change.Old = before.fields[i].text
		change.New = after.fields[i].text
		changes = append(changes, change)
	}
	return changes
}

func sortItems(items []item) []item {
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.key(), b.key()) })
	return items
}

func serviceItems(s *Snapshot) []item {
	if s == nil {
		return nil
	}
	items := make([]item, 0, len(s.Services()))
	for _, service := range s.Services() {
		items = append(items, item{subject: SubjectService, service: service.Name, fields: []itemField{
			{"team", service.Team},
			{"slots", strconv.Itoa(service.Slots)},
			{"connections", strconv.Itoa(service.Connections)},
			{"deadline", service.Deadline.String()},
			{"slow start", service.SlowStart.String()},
			{"retry ratio", formatNumber(service.RetryRatio)},
			{"health path", orNone(service.HealthPath)},
			{"availability", formatNumber(service.Objective.Availability)},
			{"latency", service.Objective.Latency.String()},
		}})
	}
	return sortItems(items)
}

func routeItems(s *Snapshot) []item {
	if s == nil {
		return nil
	}
	var items []item
	for _, service := range s.Services() {
		for _, route := range service.Routes {
			items = append(items, item{subject: SubjectRoute, service: service.Name, route: route.Name, fields: []itemField{
				{"method", orAny(route.Method)},
				{"path", route.PathPrefix},
				{"idempotent", strconv.FormatBool(route.Idempotent)},
				{"deadline", route.Deadline.String()},
				{"cost", formatNumber(route.Cost)},
			}})
		}
	}
	return sortItems(items)
}

func ingressItems(s *Snapshot) []item {
	if s == nil || s.Ingress() == nil {
		return nil
	}
	var items []item
	for _, route := range s.Ingress().Routes() {
		items = append(items, item{subject: SubjectIngress, route: route.Name, fields: []itemField{
			{"authority", route.Authority},
			{"prefix", route.Prefix},
			{"services", destinationsText(route.Destinations)},
			{"timeout", route.Timeout.String()},
			{"attempts", strconv.Itoa(route.Attempts)},
			{"max body", bytesText(route.MaxBodyBytes)},
		}})
	}
	return sortItems(items)
}

// destinationsText lists the services of an ingress route with their weights.
func destinationsText(destinations []ingress.Destination) string {
	texts := make([]string, 0, len(destinations))
	for _, d := range destinations {
		texts = append(texts, d.Service+":"+strconv.Itoa(d.Weight))
	}
	return "[" + strings.Join(texts, " ") + "]"
}

func bytesText(n int64) string {
	if n == 0 {
		return "none"
	}
	return strconv.FormatInt(n, 10) + " bytes"
}

func callerItems(s *Snapshot) []item {
	if s == nil {
		return nil
	}
	items := make([]item, 0, len(s.Callers()))
	for _, caller := range s.Callers() {
		items = append(items, item{subject: SubjectCaller, caller: caller.Name, fields: []itemField{
			{"team", caller.Team},
			{"credentials", credentialText(caller.Credentials)},
		}})
	}
	return sortItems(items)
}

func grantItems(s *Snapshot) []item {
	if s == nil {
		return nil
	}
	items := make([]item, 0, len(s.Grants()))
	for _, grant := range s.Grants() {
		items = append(items, item{subject: SubjectGrant, service: grant.Service, caller: grant.Caller, fields: []itemField{
			{"routes", routesText(grant.Routes)},
			{"rate", formatNumber(grant.Rate) + "/s"},
			{"burst", strconv.Itoa(grant.Burst)},
			{"share", formatNumber(grant.Share)},
		}})
	}
	return sortItems(items)
}

// credentialText lists credentials by the first digits of their digests.
func credentialText(credentials []Digest) string {
	texts := make([]string, 0, len(credentials))
	for _, digest := range credentials {
		texts = append(texts, digest.Short())
	}
	slices.Sort(texts)
	return "[" + strings.Join(texts, " ") + "]"
}

func routesText(routes []string) string {
	if len(routes) == 0 {
		return "all"
	}
	return "[" + strings.Join(slices.Sorted(slices.Values(routes)), " ") + "]"
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func orAny(text string) string {
	if text == "" {
		return "any"
	}
	return text
}

// Interface guards.
var _ fmt.Stringer = Change{}
