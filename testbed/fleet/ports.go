package fleet

import (
	"fmt"
	"net"

	"poplarpin.dev/platform/platformtest"
)

// addressPool hands out free loopback addresses, on ports that no outgoing connection takes before the process that is to listen there has started.
type addressPool struct {
	free []string
}

const addressPoolSize = 220

func newAddressPool() (*addressPool, error) {
	pool := &addressPool{}
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range addressPoolSize {
		listener, err := platformtest.Listen()
		if err != nil {
			return nil, fmt.Errorf("reserve loopback ports: %w", err)
		}
		listeners = append(listeners, listener)
		pool.free = append(pool.free, listener.Addr().String())
	}
	return pool, nil
}

func (pool *addressPool) next() string {
	address := pool.free[0]
	pool.free = pool.free[1:]
	return address
}
