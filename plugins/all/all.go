// Package all links the plug-ins of the node into a program: those of every profile,
// or with the build tag "sidecar" only what nodes of that profile have.
package all

import (
	_ "github.com/bronzemast/bronzemast/platform"          // the Clearplate platform
	_ "github.com/bronzemast/bronzemast/plugins/metrics"   // metrics as text
	_ "github.com/bronzemast/bronzemast/plugins/replica"   // copy of the platform's store
	_ "github.com/bronzemast/bronzemast/plugins/sidecar"   // requests of the host's callers
	_ "github.com/bronzemast/bronzemast/plugins/transport" // listeners and peer connections
)
