package kernel

import (
	"context"
	"expvar"
	"reflect"
	"runtime/debug"
	"sync"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// Context gives a plug-in access to its settings, the services of the node and
// the values that other plug-ins provide.
type Context struct {
	kernel *Kernel
	name   string
}

// Settings decodes the plug-in's section of the settings over its defaults in
// dst, a pointer to a struct with json tags. The kernel collects decoding errors
// and reports them together with those of all other plug-ins.
func (c *Context) Settings(dst any) *jsonc.Document {
	return c.kernel.settings.decodePlugin(c.name, dst, &c.kernel.findings)
}

// Host returns the host that the node runs on, from its settings.
func (c *Context) Host() model.Host {
	return c.kernel.settings.Host
}

// NodeSettings returns the settings that all plug-ins share.
func (c *Context) NodeSettings() *Settings {
	return c.kernel.settings
}

// Incarnation returns the random number that distinguishes this run of the node
// from earlier ones on the same host. It is never 0.
func (c *Context) Incarnation() model.Incarnation {
	return c.kernel.incarnation
}

// Log returns the event log of the node.
func (c *Context) Log() *event.Log {
	return c.kernel.log
}

// Metrics returns the expvar map of the plug-in. The operator plug-in serves it.
// It is not published globally, so that one process can run several nodes.
func (c *Context) Metrics() *expvar.Map {
	return c.kernel.metricsOf(c.name)
}

// AllMetrics returns the expvar maps of all plug-ins by plug-in name.
func (c *Context) AllMetrics() *expvar.Map {
	return c.kernel.metrics
}

// Hooks returns the fault-injection points of the node.
func (c *Context) Hooks() *Hooks {
	return c.kernel.hooks
}

// Go runs a background task of the node in a goroutine. The task must return when
// its context is canceled. A panic of a task stops the node with an error.
func (c *Context) Go(task string, run func(ctx context.Context)) {
	c.kernel.run(c.name+"/"+task, run)
}

// Provide makes value available under its type T to plug-ins that are provisioned
// later. T is usually an interface of package model.
func Provide[T any](c *Context, value T) {
	c.kernel.provide(reflect.TypeFor[T](), value)
}

// Lookup returns the value that an earlier plug-in provided under type T, or an
// error if there is none.
func Lookup[T any](c *Context) (T, error) {
	value, ok := c.kernel.lookup(reflect.TypeFor[T]())
	if !ok {
		var zero T
		return zero, errors.Errorf("plug-in %s: no plug-in provides %s", c.name, reflect.TypeFor[T]())
	}
	return value.(T), nil
}

// Kernel holds the plug-ins of one node.
type Kernel struct {
	settings    *Settings
	incarnation model.Incarnation
	log         *event.Log
	hooks       *Hooks
	metrics     *expvar.Map
	findings    finding.List

	// replaced holds the constructors that WithPlugin has set, by plug-in name.
	replaced map[string]func() Plugin
	plugins  []loadedPlugin
	values   map[reflect.Type]any

	tasks     sync.WaitGroup
	taskCtx   context.Context
	stopTasks context.CancelFunc
	failed    chan error
}

type loadedPlugin struct {
	name   string
	plugin Plugin
}

func (k *Kernel) metricsOf(name string) *expvar.Map {
	if existing, ok := k.metrics.Get(name).(*expvar.Map); ok {
		return existing
	}
	m := new(expvar.Map).Init()
	k.metrics.Set(name, m)
	return m
}

func (k *Kernel) provide(t reflect.Type, value any) {
	k.values[t] = value
}

func (k *Kernel) lookup(t reflect.Type) (any, bool) {
	value, ok := k.values[t]
	return value, ok
}

func (k *Kernel) run(name string, task func(ctx context.Context)) {
	k.tasks.Add(1)
	go func() {
		defer k.tasks.Done()
		defer k.recoverTask(name)
		task(k.taskCtx)
	}()
}

// recoverTask reports the panic of a task on k.failed. A panic is dropped while an
// earlier one is still unread.
func (k *Kernel) recoverTask(name string) {
	cause := recover()
	if cause == nil {
		return
	}
	err := errors.Errorf("task %s panicked: %v\n%s", name, cause, debug.Stack())
	select {
	case k.failed <- err:
	default:
	}
}
