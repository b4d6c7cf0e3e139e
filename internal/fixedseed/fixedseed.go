// Package fixedseed makes property tests use the same random seed in each run.
package fixedseed

import (
	"flag"
	"os"
)

// Set sets the flags of the property-test library rapid, which the test binary must
// import. It must be called from TestMain; flags of the command line override it.
func Set() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the test binary does not import rapid
		}
	}
}

// Main implements TestMain for a package whose property tests use the fixed seed. m is
// its *testing.M.
func Main(m interface{ Run() int }) {
	Set()
	os.Exit(m.Run())
}
