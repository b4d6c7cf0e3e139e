// Package bronzemast is a node of a configuration distribution system for a
// service mesh. A program creates a Node from settings, starts it and shuts it
// down; everything else is done by the plug-ins.
package bronzemast

import (
	"context"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	_ "github.com/bronzemast/bronzemast/plugins/all" // registers the plug-ins
	"github.com/pkg/errors"
)

// Node is one node of the fleet.
type Node struct {
	kernel *kernel.Kernel
}

// New checks the settings and assembles a node. Mistakes in the settings are
// returned together as a *finding.Errors.
func New(settings *kernel.Settings, log *event.Log, options ...kernel.Option) (*Node, error) {
	k, err := kernel.New(settings, log, options...)
	if err != nil {
		return nil, err
	}
	return &Node{kernel: k}, nil
}

// Start opens the listeners and starts all duties.
func (n *Node) Start(ctx context.Context) error {
	return n.kernel.Start(ctx)
}

// Run starts the node, serves until ctx ends or the node has drained, and stops
// it. Shutdown must not be called as well. The stop is bounded by the deadlines
// of the calls in flight.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Start(ctx); err != nil {
		_ = n.Shutdown(context.WithoutCancel(ctx)) // the error of Start tells more
		return err
	}
	var drained <-chan struct{}
	if drainer, ok := kernel.Value[model.Drainer](n.kernel); ok {
		drained = drainer.Done()
	}
	select {
	case <-ctx.Done():
	case <-drained:
	case err := <-n.kernel.Failed():
		_ = n.Shutdown(context.WithoutCancel(ctx)) // the panic tells more
		return errors.Wrap(err, "node failed")
	}
	return n.Shutdown(context.WithoutCancel(ctx))
}

// Reload puts new settings in force while the node runs, all of them or none.
// Mistakes are returned together as a *finding.Errors.
func (n *Node) Reload(settings *kernel.Settings) error {
	return n.kernel.Reload(settings)
}

// Shutdown finishes the calls in flight and stops the node. It returns when that
// is done or ctx ends.
func (n *Node) Shutdown(ctx context.Context) error {
	return n.kernel.Stop(ctx)
}

// Kernel gives access to what the plug-ins provide, by kernel.Value.
func (n *Node) Kernel() *kernel.Kernel {
	return n.kernel
}
