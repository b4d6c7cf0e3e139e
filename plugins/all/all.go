// Package all imports the plug-ins of a node for their registration: those of all
// profiles, or with the build tag "sidecar" only those of the sidecar profile.
package all

import (
	_ "github.com/bronzemast/bronzemast/platform"           // client of the Clearplate platform
	_ "github.com/bronzemast/bronzemast/plugins/metrics"    // metrics as text
	_ "github.com/bronzemast/bronzemast/plugins/quarantine" // requests that crash targets
	_ "github.com/bronzemast/bronzemast/plugins/replica"    // local copy of the platform's store
	_ "github.com/bronzemast/bronzemast/plugins/sidecar"    // forwarding for the host's callers
	_ "github.com/bronzemast/bronzemast/plugins/transport"  // listeners and peer connections
)
