package fanout

import "time"

const (
	// handlingCPUTime is the time of one core for reading a request before its run starts and writing its response, while calls of the same
	// request wait for the processor too.
	handlingCPUTime   = 1200 * time.Microsecond
	minHandlingMargin = 1500 * time.Microsecond
	maxHandlingMargin = 7 * time.Millisecond
	// unknownHandlingMargin applies where the number of cores is unknown.
	unknownHandlingMargin = 3 * time.Millisecond
	// defaultNetworkMargin replaces the network time of clients whose round trip is unknown.
	defaultNetworkMargin = 6 * time.Millisecond
)

// ClientPath describes the network between a client and this VM.
type ClientPath struct {
	RoundTrip     time.Duration // smoothed, as the kernel measures it on the client's connection; 0 if unknown
	NewConnection bool          // the request is the first on its connection, which took a further round trip to open
}

// Margin returns how much of the objective passes outside of a run on a VM with this number of cores, 0 if unknown: clients count the
// objective from when they open a connection or, on an open one, send the request, until they have the response.
func (path ClientPath) Margin(cores float64) time.Duration {
	handling := unknownHandlingMargin
	if cores > 0 {
		handling = min(max(time.Duration(float64(handlingCPUTime)/cores), minHandlingMargin), maxHandlingMargin)
	}
	switch {
	case path.RoundTrip <= 0:
		return handling + defaultNetworkMargin
	case path.NewConnection:
		return handling + 2*path.RoundTrip
	}
	return handling + path.RoundTrip
}
