package config

import "time"

// The limits of templates and team parameters. Every node enforces them, which
// bounds the work and memory that a release can cause.
const (
	// MaxDeadline is the longest deadline of a call. A target-side node keeps its
	// record of attempts for longer than this.
	MaxDeadline = 30 * time.Second
	// MaxSlowStart is the longest time over which a newly started target ramps up to
	// its full share of the load.
	MaxSlowStart = 10 * time.Minute

	// MaxServices, MaxCallers and MaxGrants bound a whole release.
	MaxServices = 4096
	MaxCallers  = 16384
	MaxGrants   = 65536

	// MaxRoutes bounds the routes of one service.
	MaxRoutes = 64
	// MaxParameters bounds the parameters of one template.
	MaxParameters = 64
	// MaxListLength bounds the enum of a parameter and a list of names.
	MaxListLength = 64
	// MaxCredentials bounds the credentials of one caller.
	MaxCredentials = 8
	// MaxTextBytes bounds the length of a string or path prefix.
	MaxTextBytes = 256

	// MaxIngressRoutes bounds the ingress routes of one service, MaxIngressDestinations
	// the services of one of them, and MaxAttempts the targets that one call may be
	// sent to.
	MaxIngressRoutes       = 64
	MaxIngressDestinations = 16
	MaxAttempts            = 16
	// MaxBodyBytes bounds the limit that an ingress route sets for request bodies.
	MaxBodyBytes = 1 << 30

	// MaxSlots and MaxConnections bound the slots and connections of one target.
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxCost bounds the cost of a route.
	MaxCost = 1_000
	// MaxRate bounds the rate of a grant in calls per second, MaxBurst its burst in
	// calls, and MaxShare its weight.
	MaxRate  = 1_000_000
	MaxBurst = 1_000_000
	MaxShare = 1_000_000
)

// MaxNameBytes bounds the length of a name.
const MaxNameBytes = 64

// nameRule describes valid names in findings.
const nameRule = "a name of 1 to 64 characters out of a-z, 0-9, '.', '_' and '-'"

// ValidName reports whether name is valid for a fleet, team, template, service,
// route, caller or parameter. A valid name begins and ends with a letter or digit.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	if !alphanumeric(name[0]) || !alphanumeric(name[len(name)-1]) {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !alphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
}
