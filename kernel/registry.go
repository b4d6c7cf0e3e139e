// Package kernel assembles a node from plug-ins. Plug-ins register themselves
// in init; the kernel provisions, validates, starts and stops them in the order
// of their dependencies.
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

// Plugin is a part of a node. Provision decodes the settings of the plug-in,
// looks up what it requires and provides what it offers; it starts nothing.
type Plugin interface {
	Provision(ctx *Context) error
}

// Validator is implemented by plug-ins that check their settings.
type Validator interface {
	Validate(findings *finding.List)
}

// Starter is implemented by plug-ins that run duties. Start returns once the
// plug-in serves; the context ends when the node stops for good.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by plug-ins that have work in flight. Stop returns
// when that work is done or ctx ends. Plug-ins stop in reverse order.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Profile is a kind of node: a set of plug-ins that work together.
type Profile string

// The profiles.
const (
	// ProfileFleet nodes spread releases of templates and team parameters among
	// one another, and callers may reach any of them.
	ProfileFleet Profile = "fleet"
	// ProfileSidecar nodes each serve the callers on their own host, and read one
	// configuration document and the list of targets from the platform's store.
	ProfileSidecar Profile = "sidecar"
)

// Valid reports whether the profile is a known one.
func (p Profile) Valid() bool {
	return p == ProfileFleet || p == ProfileSidecar
}

// includes reports whether nodes of the profile have the registered plug-in.
func (p Profile) includes(r Registration) bool {
	return r.Profile == "" || r.Profile == p
}

// Registration describes a plug-in to the kernel.
type Registration struct {
	// Name is unique and is the plug-in's key in the settings.
	Name string
	// Profile is the kind of node that the plug-in belongs to; empty means that
	// nodes of all profiles have it.
	Profile Profile
	// Requires names the plug-ins that must be provisioned and started first.
	Requires []string
	// New returns a plug-in with its default settings.
	New func() Plugin
}

var (
	registryMu sync.Mutex
	registry   = map[string]Registration{}
)

// Register adds a plug-in. It is called from init and panics when the name is
// taken, which is a mistake of the program.
func Register(r Registration) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[r.Name]; taken {
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

// RegisteredFor returns the registrations of a profile sorted by name.
func RegisteredFor(profile Profile) []Registration {
	return slices.DeleteFunc(Registered(), func(r Registration) bool { return !profile.includes(r) })
}

// order sorts registrations so that each comes after all that it requires.
func order(all []Registration) ([]Registration, error) {
	byName := map[string]Registration{}
	for _, r := range all {
		byName[r.Name] = r
	}
	s := sorter{byName: byName, state: map[string]visit{}}
	for _, r := range all {
		if err := s.visit(r.Name, "settings"); err != nil {
			return nil, err
		}
	}
	return s.sorted, nil
}

type visit uint8

const (
	unvisited visit = iota
	visiting
	visited
)

type sorter struct {
	byName map[string]Registration
	state  map[string]visit
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
