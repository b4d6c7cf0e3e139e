// Package bronzemast implements a node that distributes configuration in a service
// mesh and forwards calls. A program creates a Node from settings, starts it and shuts
// it down; the plug-ins implement all other functions.
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

// New validates the settings and creates a node. Invalid settings are reported
// together as a *finding.Errors.
func New(settings *kernel.Settings, log *event.Log, options ...kernel.Option) (*Node, error) {
	k, err := kernel.New(settings, log, options...)
	if err != nil {
		return nil, err
	}
	return &Node{kernel: k}, nil
}

// Start opens the listeners and starts the background tasks of all plug-ins.
func (n *Node) Start(ctx context.Context) error {
	return n.kernel.Start(ctx)
}

// Run starts the node, serves until ctx ends or the node has drained, and stops
// it. Shutdown must not be called in addition. The duration of the stop is bounded by
// the deadlines of the calls in flight.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Start(ctx); err != nil {
		_ = n.Shutdown(context.WithoutCancel(ctx)) // the error of Start is the cause
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
		_ = n.Shutdown(context.WithoutCancel(ctx)) // the panic is the cause
		return errors.Wrap(err, "node failed")
	}
	return n.Shutdown(context.WithoutCancel(ctx))
}

// Reload applies new settings to the running node, either all of them or none.
// Invalid settings are reported together as a *finding.Errors.
func (n *Node) Reload(settings *kernel.Settings) error {
	return n.kernel.Reload(settings)
}

// Shutdown waits for the calls in flight and stops the node. It returns when the node
// has stopped or ctx ends.
func (n *Node) Shutdown(ctx context.Context) error {
	return n.kernel.Stop(ctx)
}

// Kernel returns the node's kernel. kernel.Value looks up in it the interfaces that the
// plug-ins provide.
func (n *Node) Kernel() *kernel.Kernel {
	return n.kernel
}
