package matrix

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

const (
	// fatalTime is the duration of the fault fatal-call, in which a fatal call is sent at each
	// fatalInterval.
	fatalTime     = 10 * time.Second
	fatalInterval = 150 * time.Millisecond
	// targetRestart is the time from the crash of a target to its next start.
	targetRestart = time.Second
	// crashesAllowed is the number of crashes under a call after which all nodes have to keep it
	// from targets, fatalSettling the time that they have for that, and lateRunsAllowed the
	// number of its runs that may start later.
	crashesAllowed  = 3
	fatalSettling   = 3 * time.Second
	lateRunsAllowed = 3
	// fatalPrefix is the prefix of the IDs of calls that crash the targets that run them.
	fatalPrefix = "fatal-"
)

// fatalFlow is the flow of fatal calls.
var fatalFlow = observe.Flow{
	Caller: "proprietors-portal", Service: "renewals", Method: http.MethodGet, Path: "/certificates/fatal",
	Deadline: 2 * time.Second, Idempotent: true, Permitted: true,
}

// fatalCalls records the runs of fatal calls and the crashes that they cause, guarded by the
// mutex of the env.
type fatalCalls struct {
	sent    int
	runs    []time.Time
	crashes []time.Time
}

// observeFatal is called at the start of each run. It crashes the target of a fatal call.
func (e *env) observeFatal(call string, id model.HostID, at time.Time) {
	if !strings.HasPrefix(call, fatalPrefix) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fatal.runs = append(e.fatal.runs, at)
	e.background(func() { e.crashTarget(id) })
}

// crashTarget ends the target of a host and starts it again after a while.
func (e *env) crashTarget(id model.HostID) {
	e.mu.Lock()
	e.fatal.crashes = append(e.fatal.crashes, time.Now())
	e.mu.Unlock()
	e.fleet.StopTarget(id)
	time.Sleep(targetRestart)
	e.recordFailure(e.fleet.StartTarget(id))
}

// beginFatalCalls begins to send a fatal call at all hosts in turn.
func beginFatalCalls(in *injection) error {
	e := in.env
	hosts := e.fleet.Hosts()
	e.background(func() {
		for i := range int(fatalTime / fatalInterval) {
			e.mu.Lock()
			e.fatal.sent++
			id := fmt.Sprint(fatalPrefix, e.fatal.sent)
			e.mu.Unlock()
			e.background(func() { e.callers.CallWithID(id, hosts[i%len(hosts)], fatalFlow) })
			time.Sleep(fatalInterval)
		}
	})
	return nil
}

// endFatalCalls fails if too many runs began after all nodes should have known of the crashes.
// Beside another fault, which may take nodes or their evidence away, it only waits for the end.
func endFatalCalls(in *injection) error {
	e := in.env
	e.settleBackground()
	e.mu.Lock()
	defer e.mu.Unlock()
	crashes, runs := e.fatal.crashes, e.fatal.runs
	if len(e.injector.cell.faults) > 1 || len(crashes) < crashesAllowed {
		return nil
	}
	late := 0
	for _, at := range runs {
		if at.Sub(crashes[crashesAllowed-1]) > fatalSettling {
			late++
		}
	}
	if late > lateRunsAllowed {
		return errors.Errorf("a call was run %d times later than %s after it had crashed %d targets", late, fatalSettling, crashesAllowed)
	}
	return nil
}
