// Package all links every plug-in of the node into a program.
package all

import (
	_ "github.com/bronzemast/bronzemast/platform"             // the Clearplate platform
	_ "github.com/bronzemast/bronzemast/plugins/admission"    // concurrency, fairness and rates
	_ "github.com/bronzemast/bronzemast/plugins/balancing"    // choice of targets
	_ "github.com/bronzemast/bronzemast/plugins/burn"         // records and service-level burn
	_ "github.com/bronzemast/bronzemast/plugins/distribution" // releases and host lists between nodes
	_ "github.com/bronzemast/bronzemast/plugins/draining"     // leaving service
	_ "github.com/bronzemast/bronzemast/plugins/forwarding"   // calls
	_ "github.com/bronzemast/bronzemast/plugins/membership"   // state of the other hosts
	_ "github.com/bronzemast/bronzemast/plugins/operator"     // operators' pages
	_ "github.com/bronzemast/bronzemast/plugins/replica"      // copy of the platform's store
	_ "github.com/bronzemast/bronzemast/plugins/sidecar"      // requests of the host's callers
	_ "github.com/bronzemast/bronzemast/plugins/source"       // reads of the platform
	_ "github.com/bronzemast/bronzemast/plugins/transport"    // listeners and peer connections
)
