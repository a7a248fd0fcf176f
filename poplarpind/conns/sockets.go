package conns

import (
	"math"

	"golang.org/x/sys/unix"
)

const reservedDescriptors = 200 // for files

// Sockets returns how many of a process's descriptors are for sockets; maxDescriptors is 0 if no setting limits them.
func Sockets(maxDescriptors int) int {
	if maxDescriptors <= 0 {
		maxDescriptors = math.MaxInt32
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(maxDescriptors) {
		maxDescriptors = int(limit.Cur)
	}
	return max(maxDescriptors-reservedDescriptors, maxDescriptors/2)
}
