package callbench

import (
	"strings"
	"sync"
	"time"

	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/model"
)

// executionLog keeps the executions at all targets until the end of the run. They
// cannot be reported at once, since an execution can be observed before the checker
// knows the call that caused it.
type executionLog struct {
	mu         sync.Mutex
	executions []invariant.Execution
	nested     int
}

func newExecutionLog() *executionLog {
	return &executionLog{}
}

// nestedSeparator separates the ID of a call from the number of a nested call.
const nestedSeparator = "."

// add records the start of an execution. Nested calls are only counted, and direct
// calls are ignored.
func (l *executionLog) add(id string, host model.HostID, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(id, nestedSeparator) {
		l.nested++
		return
	}
	if strings.HasPrefix(id, directPrefix) {
		return
	}
	l.executions = append(l.executions, invariant.Execution{CallID: id, Host: host, At: at})
}

// reportTo reports all executions to the checker.
func (l *executionLog) reportTo(c *invariant.Checker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.executions {
		c.Executed(e)
	}
}

// counts returns the numbers of executions of calls and of nested calls.
func (l *executionLog) counts() (calls, nested int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.executions), l.nested
}

// countBetween returns the number of executions at a host that began after from
// and before to.
func (l *executionLog) countBetween(host model.HostID, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.executions {
		if e.Host == host && e.At.After(from) && e.At.Before(to) {
			n++
		}
	}
	return n
}
