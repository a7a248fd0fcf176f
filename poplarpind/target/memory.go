package target

import (
	"bytes"
	"io"
	"sync"

	"poplarpin.dev/core/buffer"
)

const (
	maxResponseBytes   = 8 << 20   // a response's body is this long at most
	maxResponsesBytes  = 24 << 20  // the bodies that are being read take up this much at most, an eighth of the process's memory limit
	maxHeadBytes       = 64 << 10  // a response's header fields, and its trailers, take up this much at most
	maxHealthBytes     = 64 << 10  // the answer to a health check is this long at most
	maxStreamBuffer    = 256 << 10 // the connection holds this much of a response at most before it is read
	maxConnBuffer      = 512 << 10 // the connection holds this much of all its responses at most before they are read
	responseChunkBytes = 4 << 10   // a body is read in pieces of this size
)

// memory bounds the bodies of all targets' responses together, so that targets that send without end do not use up the VM's memory.
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
