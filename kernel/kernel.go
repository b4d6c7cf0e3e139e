package kernel

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	"reflect"
	"strconv"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// Option changes how a kernel is assembled.
type Option func(k *Kernel)

// WithPlugin replaces the registered plug-in with the given name by the one that
// create returns. Tests use it to replace plug-ins that open sockets.
func WithPlugin(name string, create func() Plugin) Option {
	return func(k *Kernel) { k.replaced[name] = create }
}

// New provisions and validates the registered plug-ins of the profile with the
// settings. Errors in the settings are returned together as a *finding.Errors.
func New(settings *Settings, log *event.Log, options ...Option) (*Kernel, error) {
	taskCtx, stopTasks := context.WithCancel(context.Background())
	k := &Kernel{
		settings:    settings,
		incarnation: newIncarnation(),
		log:         log,
		hooks:       NewHooks(),
		metrics:     new(expvar.Map).Init(),
		values:      map[reflect.Type]any{},
		taskCtx:     taskCtx,
		stopTasks:   stopTasks,
		failed:      make(chan error, 1),
		replaced:    map[string]func() Plugin{},
	}
	for _, option := range options {
		option(k)
	}
	if err := k.load(); err != nil {
		stopTasks()
		return nil, err
	}
	return k, nil
}

func (k *Kernel) load() error {
	sorted, err := sortByDependencies(RegisteredFor(k.settings.profile()))
	if err != nil {
		return err
	}
	k.settings.checkPluginNames(sorted, &k.findings)
	for _, r := range sorted {
		plugin := k.create(r)
		if err := plugin.Provision(&Context{kernel: k, name: r.Name}); err != nil {
			return errors.Wrapf(err, "provision plug-in %s", r.Name)
		}
		if v, ok := plugin.(Validator); ok {
			v.Validate(&k.findings)
		}
		k.plugins = append(k.plugins, loadedPlugin{name: r.Name, plugin: plugin})
	}
	return k.findings.Err()
}

func (k *Kernel) create(r Registration) Plugin {
	if create, ok := k.replaced[r.Name]; ok {
		return create()
	}
	return r.New()
}

// Start starts the plug-ins in dependency order. If it returns an error, the
// caller must call Stop.
func (k *Kernel) Start(ctx context.Context) error {
	for _, l := range k.plugins {
		s, ok := l.plugin.(Starter)
		if !ok {
			continue
		}
		if err := s.Start(ctx); err != nil {
			return errors.Wrapf(err, "start plug-in %s", l.name)
		}
	}
	k.emit(eventStarted, event.Fields{
		"profile":        k.settings.profile(),
		"incarnation":    strconv.FormatUint(uint64(k.incarnation), 16),
		"failure_domain": k.settings.Host.Domain,
		"service":        k.settings.Host.Service,
	})
	return nil
}

// Failed returns a channel that receives the error of the first background task
// that panics.
func (k *Kernel) Failed() <-chan error {
	return k.failed
}

// Stop stops the plug-ins in reverse order, then cancels all background tasks and
// waits for them. It stops the remaining plug-ins even after an error, and returns
// the first one.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.plugins) - 1; i >= 0; i-- {
		s, ok := k.plugins[i].plugin.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop plug-in %s", k.plugins[i].name)
		}
	}
	k.stopTasks()
	k.tasks.Wait()
	message := ""
	if first != nil {
		message = first.Error()
	}
	k.emit(eventStopped, event.Fields{"error": message})
	return first
}

// Value returns the value that a plug-in provided under type T, for code that is
// not itself a plug-in.
func Value[T any](k *Kernel) (T, bool) {
	value, ok := k.lookup(reflect.TypeFor[T]())
	if !ok {
		var zero T
		return zero, false
	}
	return value.(T), true
}

// Metrics returns the expvar maps of all plug-ins by plug-in name.
func (k *Kernel) Metrics() *expvar.Map {
	return k.metrics
}

// Hooks returns the fault-injection points of the node.
func (k *Kernel) Hooks() *Hooks {
	return k.hooks
}

// Incarnation returns the random number that identifies this run of the node. It
// is never 0.
func (k *Kernel) Incarnation() model.Incarnation {
	return k.incarnation
}

// newIncarnation returns a random number other than 0.
func newIncarnation() model.Incarnation {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return model.Incarnation(n)
		}
	}
}
