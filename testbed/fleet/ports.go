package fleet

import (
	"fmt"
	"net"
)

// addressPool hands out free loopback addresses. All are bound at once before any is handed out, as the kernel could otherwise give
// the same port twice.
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
		listener, err := net.Listen("tcp", "127.0.0.1:0")
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
