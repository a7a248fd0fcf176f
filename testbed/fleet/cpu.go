package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Positions of fields in /proc/PID/stat behind the command's name.
const (
	userField   = 11
	systemField = 12
)

// CPU returns the processor time of all running entry VMs so far.
func (fleet *Fleet) CPU() time.Duration {
	var sum time.Duration
	for _, vm := range fleet.VMs {
		sum += CPU(vm.PID())
	}
	return sum
}

// CPU returns the processor time of a process so far, 0 if it has ended.
func CPU(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// Memory returns the resident bytes of all running entry VMs.
func (fleet *Fleet) Memory() int64 {
	var sum int64
	for _, vm := range fleet.VMs {
		sum += memory(vm.PID())
	}
	return sum
}

// memory returns the resident bytes of a process, 0 if it has ended.
func memory(pid int) int64 {
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
