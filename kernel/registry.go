// Package kernel assembles a node from plug-ins. Plug-ins register themselves in
// init; the kernel provisions, validates and starts them in dependency order and
// stops them in reverse order.
package kernel

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/pkg/errors"
)

// Plugin is a component of a node. Provision decodes the settings of the plug-in,
// looks up the values it depends on and provides its own. It must not start
// anything.
type Plugin interface {
	Provision(ctx *Context) error
}

// Validator is implemented by plug-ins that check their settings.
type Validator interface {
	Validate(findings *finding.List)
}

// Starter is implemented by plug-ins that run background tasks or listeners. Start
// returns once the plug-in is ready; ctx ends when the node stops.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by plug-ins that must finish or cancel work in progress.
// Stop returns when that work has ended or ctx is done.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Profile is a kind of node: a set of plug-ins that work together.
type Profile string

// The profiles.
const (
	// ProfileFleet nodes distribute releases of templates and team parameters to
	// one another and accept callers from any host.
	ProfileFleet Profile = "fleet"
	// ProfileSidecar nodes serve only the callers on their own host. They read a
	// configuration document and the list of targets from the platform's store.
	ProfileSidecar Profile = "sidecar"
)

// Valid reports whether p is one of the defined profiles.
func (p Profile) Valid() bool {
	return p == ProfileFleet || p == ProfileSidecar
}

// includes reports whether nodes of the profile run the plug-in.
func (p Profile) includes(r Registration) bool {
	return r.Profile == "" || r.Profile == p
}

// Registration describes a plug-in to the kernel.
type Registration struct {
	// Name identifies the plug-in. It must be unique and is the key of the
	// plug-in's section in the settings.
	Name string
	// Profile limits the plug-in to nodes of one profile. If it is empty, nodes of
	// all profiles run the plug-in.
	Profile Profile
	// Requires names the plug-ins that must be provisioned and started before this
	// one.
	Requires []string
	// New returns a plug-in with its default settings.
	New func() Plugin
}

var (
	registryMu sync.Mutex
	registry   = map[string]Registration{}
)

// Register adds a plug-in. It is called from init and panics if the name is
// already registered, which is a programming error.
func Register(r Registration) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, exists := registry[r.Name]; exists {
		panic(fmt.Sprintf("plug-in %q registered twice", r.Name))
	}
	registry[r.Name] = r
}

// Registered returns all registrations sorted by name.
func Registered() []Registration {
	registryMu.Lock()
	defer registryMu.Unlock()
	all := make([]Registration, 0, len(registry))
	for _, r := range registry {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// RegisteredFor returns the registrations that apply to a profile, sorted by name.
func RegisteredFor(profile Profile) []Registration {
	return slices.DeleteFunc(Registered(), func(r Registration) bool { return !profile.includes(r) })
}

// sortByDependencies sorts registrations topologically: each one follows all that
// it requires. It returns an error for a cycle or an unknown requirement.
func sortByDependencies(all []Registration) ([]Registration, error) {
	byName := map[string]Registration{}
	for _, r := range all {
		byName[r.Name] = r
	}
	s := sorter{byName: byName, state: map[string]visitState{}}
	for _, r := range all {
		if err := s.visit(r.Name, "settings"); err != nil {
			return nil, err
		}
	}
	return s.sorted, nil
}

// visitState is the state of a plug-in in the depth-first search.
type visitState uint8

const (
	unvisited visitState = iota
	visiting
	visited
)

type sorter struct {
	byName map[string]Registration
	state  map[string]visitState
	sorted []Registration
}

func (s *sorter) visit(name, requiredBy string) error {
	r, known := s.byName[name]
	if !known {
		return errors.Errorf("plug-in %q, required by %s, is not registered", name, requiredBy)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return errors.Errorf("plug-in %q requires itself through %s", name, requiredBy)
	}
	s.state[name] = visiting
	for _, required := range r.Requires {
		if err := s.visit(required, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.sorted = append(s.sorted, r)
	return nil
}
