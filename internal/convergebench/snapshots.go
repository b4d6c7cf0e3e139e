package convergebench

import (
	"slices"

	"github.com/bronzemast/bronzemast/internal/procfleet"
)

// allRoutes stands for every route of a service in a grant.
const allRoutes = "*"

// snapshotPage holds the names and references of a node's snapshot page.
type snapshotPage struct {
	Release  uint64 `json:"release"`
	Services []struct {
		Name   string `json:"name"`
		Routes []struct {
			Name string `json:"name"`
		} `json:"routes"`
	} `json:"services"`
	Callers []struct {
		Name string `json:"name"`
	} `json:"callers"`
	Grants []struct {
		Caller  string   `json:"caller"`
		Service string   `json:"service"`
		Routes  []string `json:"routes"`
	} `json:"grants"`
}

// dangling returns the references of grants that the snapshot does not define.
func (s *snapshotPage) dangling() []string {
	names := map[string]bool{}
	for _, caller := range s.Callers {
		names["caller "+caller.Name] = true
	}
	for _, service := range s.Services {
		names["service "+service.Name] = true
		for _, route := range service.Routes {
			names["route "+service.Name+" "+route.Name] = true
		}
	}
	var unresolved []string
	for _, grant := range s.Grants {
		references := []string{"caller " + grant.Caller, "service " + grant.Service}
		for _, route := range grant.Routes {
			if route != allRoutes {
				references = append(references, "route "+grant.Service+" "+route)
			}
		}
		unresolved = append(unresolved, slices.DeleteFunc(references, func(name string) bool { return names[name] })...)
	}
	return unresolved
}

// checkSnapshots reports the dangling references on all running nodes.
func (r *run) checkSnapshots() {
	for _, p := range r.procs {
		r.checkSnapshot(p)
	}
}

func (r *run) checkSnapshot(p *procfleet.Proc) {
	var page snapshotPage
	if p.Get("/v1/snapshot", &page) != nil {
		return
	}
	r.stats.snapshots++
	for _, reference := range page.dangling() {
		r.checker.DanglingRoute(p.Host.ID, page.Release, reference)
	}
}
