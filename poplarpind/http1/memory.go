package http1

import (
	"sync"

	"poplarpin.dev/core/buffer"
)

// memory shares the budget for the bodies of responses among the exchanges of a pool.
type memory struct {
	mu        sync.Mutex // guards the fields below and the memory fields of all exchanges
	budget    *buffer.Budget
	exchanges map[*buffer.Response]*Exchange // whose responses are being read
}

func newMemory(budgetBytes int64) *memory {
	return &memory{budget: buffer.New(budgetBytes), exchanges: map[*buffer.Response]*Exchange{}}
}

// grow lets the body of an exchange take up more bytes and reports whether it may be read on. Other exchanges may be ended for it.
func (memory *memory) grow(exchange *Exchange, bytes int64) bool {
	memory.mu.Lock()
	if exchange.buffered == nil {
		exchange.buffered = memory.budget.Begin(exchange.call.Priority)
		memory.exchanges[exchange.buffered] = exchange
	}
	var others []*Exchange
	fits := true
	for _, ended := range memory.budget.Grow(exchange.buffered, bytes) {
		if ended == exchange.buffered {
			fits = false
		} else {
			others = append(others, memory.exchanges[ended])
		}
		delete(memory.exchanges, ended)
	}
	memory.mu.Unlock()
	for _, other := range others {
		other.closeConn()
	}
	return fits
}

// readingEnded records that the response of an exchange was read or has failed, and reports whether the budget has not ended it meanwhile:
// its last bytes may arrive while its connection is being closed. The memory of one that was read is kept until release.
func (memory *memory) readingEnded(exchange *Exchange, read bool) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if exchange.buffered == nil {
		return true
	}
	delete(memory.exchanges, exchange.buffered)
	if exchange.buffered.Ended() {
		return false
	}
	if read && !exchange.released {
		memory.budget.Complete(exchange.buffered)
	} else {
		memory.budget.Release(exchange.buffered)
	}
	return true
}

// release records that the body of an exchange is no longer referenced, or will not be used once it has been read.
func (memory *memory) release(exchange *Exchange) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	exchange.released = true
	if exchange.buffered != nil && memory.exchanges[exchange.buffered] == nil {
		memory.budget.Release(exchange.buffered)
	}
}

func (memory *memory) held() int64 {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.budget.Held()
}
