//go:build !sidecar

package all

import (
	_ "github.com/bronzemast/bronzemast/plugins/admission"    // concurrency limits, fair shares and rate limits
	_ "github.com/bronzemast/bronzemast/plugins/balancing"    // load balancing
	_ "github.com/bronzemast/bronzemast/plugins/burn"         // call records and error budgets
	_ "github.com/bronzemast/bronzemast/plugins/distribution" // releases and host lists between nodes
	_ "github.com/bronzemast/bronzemast/plugins/draining"     // graceful shutdown
	_ "github.com/bronzemast/bronzemast/plugins/forwarding"   // forwarding of calls
	_ "github.com/bronzemast/bronzemast/plugins/membership"   // failure detection of other hosts
	_ "github.com/bronzemast/bronzemast/plugins/operator"     // pages for operators
	_ "github.com/bronzemast/bronzemast/plugins/source"       // reads of the platform
)
