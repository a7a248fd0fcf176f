package target

import (
	"bytes"
	"io"
	"sync"

	"poplarpin.dev/core/buffer"
)

const (
	maxResponseBytes   = 8 << 20
	maxResponsesBytes  = 24 << 20 // of all responses that are being read: an eighth of the process's memory limit
	maxHeadBytes       = 64 << 10 // header fields and trailers of a response
	maxHealthBytes     = 64 << 10
	responseChunkBytes = 32 << 10
	maxStreamBuffer    = 256 << 10 // of a response, before it is read
	maxConnBuffer      = 512 << 10 // of all responses on a connection, before they are read
)

// memory bounds what the responses of all targets hold together, so that targets that send without end do not use it up.
type memory struct {
	mu      sync.Mutex
	budget  *buffer.Budget
	reading map[*buffer.Response]io.Closer // bodies
}

func newMemory() *memory {
	return &memory{budget: buffer.New(maxResponsesBytes), reading: map[*buffer.Response]io.Closer{}}
}

// read reads a response's body for a class of this priority; the caller calls release once it does not need the bytes any more. If all responses
// together are too long, the largest ones fail. The body must permit Close during a Read.
func (memory *memory) read(body io.ReadCloser, priority int) (data []byte, release func(), err error) {
	memory.mu.Lock()
	held := memory.budget.Begin(priority)
	memory.reading[held] = body
	memory.mu.Unlock()
	release = func() {
		memory.mu.Lock()
		defer memory.mu.Unlock()
		delete(memory.reading, held)
		memory.budget.Release(held)
	}
	var read bytes.Buffer
	chunk := make([]byte, responseChunkBytes)
	for {
		count, err := body.Read(chunk)
		if !memory.grow(held, int64(count)) || read.Len()+count > maxResponseBytes {
			return nil, release, &Error{"read", TooLong, "the target's response, or those of all targets together"}
		}
		read.Write(chunk[:count])
		switch err {
		case nil:
		case io.EOF:
			return read.Bytes(), release, nil
		default:
			return nil, release, err
		}
	}
}

// grow lets a response hold more bytes and reports whether it may be read on; others may be ended for it.
func (memory *memory) grow(held *buffer.Response, count int64) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	for _, ended := range memory.budget.Grow(held, count) {
		if body, ok := memory.reading[ended]; ok && ended != held {
			go func() { _ = body.Close() }() // ends the Read that may be waiting
		}
	}
	return !held.Ended()
}
