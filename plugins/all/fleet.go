//go:build !sidecar

package all

import (
	_ "github.com/bronzemast/bronzemast/plugins/admission"    // concurrency, fairness and rates
	_ "github.com/bronzemast/bronzemast/plugins/balancing"    // choice of targets
	_ "github.com/bronzemast/bronzemast/plugins/burn"         // records and service-level burn
	_ "github.com/bronzemast/bronzemast/plugins/distribution" // releases and host lists between nodes
	_ "github.com/bronzemast/bronzemast/plugins/draining"     // leaving service
	_ "github.com/bronzemast/bronzemast/plugins/forwarding"   // calls
	_ "github.com/bronzemast/bronzemast/plugins/membership"   // state of the other hosts
	_ "github.com/bronzemast/bronzemast/plugins/operator"     // operators' pages
	_ "github.com/bronzemast/bronzemast/plugins/source"       // reads of the platform
)
