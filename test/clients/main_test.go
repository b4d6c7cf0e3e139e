// Package clients tests that real node processes bear clients that do not behave: ones that send
// more than the limits, stop in the middle of a request, keep connections open or do not read
// their answers. The tests check that the process lives, that its memory and its descriptors stay
// under those of the smallest host, and that an ordinary request is answered while the other
// clients are still connected. They check no times.
//
// CI runs this package apart from all others.
package clients

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/internal/procfleet"
	"github.com/bronzemast/bronzemast/platform/standin/sidecarfleet"
)

const (
	// maxMemoryKB is the memory of the smallest host, in kB.
	maxMemoryKB = 184_000
	// maxDescriptors is the number of descriptors of a process on the smallest host, without
	// those that are reserved for files.
	maxDescriptors = 3_900
	// gcPercent is the setting of the garbage collector with which nodes are deployed.
	gcPercent = "40"
	// eventualTimeout bounds the wait for a condition; it leaves room for a busy machine.
	eventualTimeout = 60 * time.Second
	pollInterval    = 50 * time.Millisecond
	// workTime is short, so that the crowd gets many answers.
	workTime = time.Millisecond
	// sampleInterval is the time between two counts of a process's descriptors.
	sampleInterval = 20 * time.Millisecond
)

// binary is the path of the node program.
var binary string

func TestMain(m *testing.M) {
	if err := os.Setenv("BRONZEMAST_GC_PERCENT", gcPercent); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(procfleet.WithBinary(m, &binary))
}

// fleet is two hosts with a worker each, of the same service, so that requests pass through one
// node and through two.
type fleet struct {
	*sidecarfleet.Fleet
	t *testing.T
	// mostDescriptors holds the largest number of descriptors that each host's process had.
	mostDescriptors []int
	stopSampling    func()
}

// startFleet starts a fleet whose workers answer with bodies of the given length, 0 for a short
// text, and waits until it is ready.
func startFleet(t *testing.T, answerBytes int) *fleet {
	t.Helper()
	g := NewWithT(t)
	shared, err := sidecarfleet.New(sidecarfleet.Options{Binary: binary, Dir: t.TempDir(), Services: []string{"alpha", "alpha"}})
	g.Expect(err).NotTo(HaveOccurred())
	f := &fleet{Fleet: shared, t: t, mostDescriptors: make([]int, len(shared.Hosts))}
	t.Cleanup(shared.Close)
	t.Cleanup(f.showLogs)
	for _, h := range f.Hosts {
		g.Expect(h.StartWorker(nil)).To(Succeed())
		h.Worker.SetAnswerBytes(answerBytes)
		h.Worker.ServiceTime = workTime // the worker has got no request yet
	}
	f.Configure(1,
		sidecarfleet.Route{Prefix: "/look/", Kind: "safe", Service: "alpha"},
		sidecarfleet.Route{Prefix: "/file/", Kind: "unsafe", Service: "alpha"},
	)
	for _, h := range f.Hosts {
		g.Expect(h.Start()).To(Succeed())
	}
	for _, h := range f.Hosts {
		g.Eventually(h.Ready, eventualTimeout, pollInterval).Should(BeTrue(), "node %s", h.Host.ID)
	}
	f.sampleDescriptors()
	return f
}

// maxLogBytes bounds what is printed of the log of a node.
const maxLogBytes = 2 << 10

// showLogs prints the end of the logs of all nodes if the test failed.
func (f *fleet) showLogs() {
	if !f.t.Failed() {
		return
	}
	for _, h := range f.Hosts {
		log := h.Log()
		f.t.Logf("%s: ...%s", h.Host.ID, log[max(0, len(log)-maxLogBytes):])
	}
}

// sampleDescriptors counts the descriptors of all processes until the fleet is checked.
func (f *fleet) sampleDescriptors() {
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			for i, h := range f.Hosts {
				f.mostDescriptors[i] = max(f.mostDescriptors[i], descriptors(h.PID()))
			}
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	f.stopSampling = sync.OnceFunc(func() {
		close(stop)
		sampler.Wait()
	})
	f.t.Cleanup(f.stopSampling)
}

// descriptors returns the number of open descriptors of a process, 0 if it has ended.
func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // a process that has ended has none
	return len(entries)
}

// mostMemoryKB returns the largest resident memory that a process has had, in kB.
func mostMemoryKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("the status of process %d has no peak memory", pid)
	}
	return strconv.Atoi(strings.Fields(rest)[0])
}

// expectServing checks that an ordinary request is answered, that all processes live, and that
// none has had more memory or descriptors than the smallest host.
func (f *fleet) expectServing() {
	f.t.Helper()
	g := NewWithT(f.t)
	g.Eventually(func() int {
		client := &http.Client{Timeout: sidecarfleet.RequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		return f.Hosts[0].Send(client, http.MethodGet, "/look/ordinary", "").Status
	}, eventualTimeout, pollInterval).Should(Equal(http.StatusOK), "an ordinary request must be answered")
	f.stopSampling()
	for i, h := range f.Hosts {
		g.Expect(h.Running()).To(BeTrue(), "node %s must live", h.Host.ID)
		memory, err := mostMemoryKB(h.PID())
		g.Expect(err).NotTo(HaveOccurred())
		f.t.Logf("%s: at most %d kB, %d descriptors", h.Host.ID, memory, f.mostDescriptors[i])
		g.Expect(memory).To(BeNumerically("<", maxMemoryKB), "memory of %s in kB", h.Host.ID)
		g.Expect(f.mostDescriptors[i]).To(BeNumerically("<", maxDescriptors), "descriptors of %s", h.Host.ID)
	}
}
