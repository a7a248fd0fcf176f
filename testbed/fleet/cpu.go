package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc on Linux (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from the field after the command name. The name is cut off first, as it may hold spaces.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// CPUTime returns the total CPU time of all running entry VMs so far.
func (fleet *Fleet) CPUTime() time.Duration {
	var sum time.Duration
	for _, vm := range fleet.VMs {
		sum += cpuTime(vm.PID())
	}
	return sum
}

// cpuTime returns the CPU time of a process so far, 0 if it has ended.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0
	}
	userTicks, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	systemTicks, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(userTicks+systemTicks) * clockTick
}

// ResidentBytes returns the total resident memory of all running entry VMs in bytes.
func (fleet *Fleet) ResidentBytes() int64 {
	var sum int64
	for _, vm := range fleet.VMs {
		sum += residentBytes(vm.PID())
	}
	return sum
}

// residentBytes returns the resident memory of a process in bytes, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
