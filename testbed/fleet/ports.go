package fleet

import (
	"fmt"
	"net"
)

// ports hands out free loopback addresses; each stays bound until all are found, so that none is given twice.
type ports struct {
	free []string
}

const portsNeeded = 220

func newPorts() (*ports, error) {
	ports := &ports{}
	var held []net.Listener
	defer func() {
		for _, listener := range held {
			_ = listener.Close()
		}
	}()
	for range portsNeeded {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("ports: %w", err)
		}
		held = append(held, listener)
		ports.free = append(ports.free, listener.Addr().String())
	}
	return ports, nil
}

func (ports *ports) next() string {
	address := ports.free[0]
	ports.free = ports.free[1:]
	return address
}
