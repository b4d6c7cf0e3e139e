package procfleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// clockTick is the unit of processor times in /proc/PID/stat, 1/100 s on Linux.
	clockTick = 10 * time.Millisecond
	// The indices of the fields of /proc/PID/stat that follow the command name.
	userTimeField   = 11
	kernelTimeField = 12
	residentField   = 21
)

// readUsage reads the resource usage of a process from /proc/PID/stat.
func readUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "process usage")
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= residentField {
		return Usage{}, errors.Errorf("process usage: unexpected format %q", data)
	}
	var numbers [3]uint64
	for i, field := range []int{userTimeField, kernelTimeField, residentField} {
		numbers[i], err = strconv.ParseUint(fields[field], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "process usage")
		}
	}
	return Usage{
		CPU:           time.Duration(numbers[0]+numbers[1]) * clockTick,
		ResidentBytes: numbers[2] * uint64(os.Getpagesize()),
	}, nil
}
