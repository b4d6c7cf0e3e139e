// Package soak runs short soak tests of the real node program with fixed seeds. The
// command bronzemast-bench soak runs longer ones with any seed.
package soak

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/internal/soak"
)

// binary is the path of the node program.
var binary string

func TestMain(m *testing.M) {
	os.Exit(procfleet.WithBinary(m, &binary))
}

// run runs a soak test and fails t if a promise was broken, another problem was found or
// no request was served.
func run(t *testing.T, o soak.Options) {
	t.Helper()
	o.Binary, o.Dir = binary, t.TempDir()
	result, err := soak.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	g := NewWithT(t)
	g.Expect(result.Write(&text)).To(Succeed())
	t.Logf("\n%s", text.String())
	g.Expect(result.Held()).To(BeTrue())
	g.Expect(result.Served).To(BeNumerically(">", 0))
}

// Guards, among others, against a peer that sends a changed configuration as a delta from
// a version that the requesting node does not have.
func TestPromisesHoldUnderPlannedWork(t *testing.T) {
	run(t, soak.Options{Seed: 1, Hosts: 6, Duration: 6 * time.Second, PlannedOnly: true})
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	run(t, soak.Options{Seed: 2, Hosts: 6, Duration: 8 * time.Second})
}

// Evacuations beside faults: the domain is empty in time, and its workers come back cold.
func TestPromisesHoldUnderEvacuations(t *testing.T) {
	run(t, soak.Options{Seed: 5003, Hosts: 9, Duration: 12 * time.Second})
}
