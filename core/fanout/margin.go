package fanout

import "time"

const (
	// handlingMargin covers reading a request before its run starts and writing its response, on a VM with a fraction of a core.
	handlingMargin = 3 * time.Millisecond
	// defaultNetworkMargin replaces the network time of clients whose round trip is unknown.
	defaultNetworkMargin = 6 * time.Millisecond
)

// ClientPath describes the network between a client and this VM.
type ClientPath struct {
	RoundTrip     time.Duration // smoothed, as the kernel measures it on the client's connection; 0 if unknown
	NewConnection bool          // the request is the first on its connection, which took a further round trip to open
}

// Margin returns how much of the objective passes outside of a run: clients count the objective from when they open a connection or, on
// an open one, send the request, until they have the response.
func (path ClientPath) Margin() time.Duration {
	if path.RoundTrip <= 0 {
		return handlingMargin + defaultNetworkMargin
	}
	if path.NewConnection {
		return handlingMargin + 2*path.RoundTrip
	}
	return handlingMargin + path.RoundTrip
}
