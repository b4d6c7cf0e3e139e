package observe

import (
	"time"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// ReportReleases reports each release that a node applies to a checker. It must be
// called before the node is started, so that no release is missed.
func ReportReleases(node *bronzemast.Node, id model.HostID, c *invariant.Checker) error {
	configuration, ok := kernel.Value[model.Configuration](node.Kernel())
	if !ok {
		return errors.New("the node has no configuration plug-in")
	}
	configuration.Subscribe(func(s *config.Snapshot) {
		c.Applied(id, s.Number, s.Digest, time.Now())
		c.Snapshot(id, s)
	})
	return nil
}

// ReleaseInForce returns the number of the release in force on a node, 0 if there is none.
func ReleaseInForce(node *bronzemast.Node) uint64 {
	configuration, ok := kernel.Value[model.Configuration](node.Kernel())
	if !ok {
		return 0
	}
	if s := configuration.Current(); s != nil {
		return s.Number
	}
	return 0
}
