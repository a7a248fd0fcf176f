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
