package buffer

// Budget limits the memory that all responses on a VM hold together, so that targets that send without end cannot use it up.
type Budget struct {
	limit   int64 // bytes
	held    int64
	reading map[*Response]bool
}

// Response is the memory that one response holds.
type Response struct {
	priority int // of its request, 0 is the highest
	held     int64
	ended    bool // by the budget; it holds nothing more
}

// Ended reports whether the budget has ended a response.
func (response *Response) Ended() bool { return response.ended }

// New returns a budget that allows this number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, reading: map[*Response]bool{}}
}

// Begin registers a response that is about to be read, for a request of this priority.
func (budget *Budget) Begin(priority int) *Response {
	response := &Response{priority: priority}
	budget.reading[response] = true
	return response
}

// Grow lets a response hold more bytes and returns the responses that must end for it, possibly the response itself: the largest of
// those that are being read and, among equally large ones, the least urgent. Responses that have been read completely are kept, as
// their requests need nothing more to be answered.
func (budget *Budget) Grow(response *Response, bytes int64) (ended []*Response) {
	if response.ended {
		return []*Response{response}
	}
	response.held += bytes
	budget.held += bytes
	for budget.held > budget.limit {
		victim := budget.largest()
		if victim == nil {
			break // only complete responses hold memory
		}
		victim.ended = true
		budget.Release(victim)
		ended = append(ended, victim)
	}
	return ended
}

// largest returns the largest response that is being read, the least urgent one among equals.
func (budget *Budget) largest() *Response {
	var largest *Response
	for response := range budget.reading {
		if response.held == 0 {
			continue
		}
		if largest == nil || response.held > largest.held || response.held == largest.held && response.priority > largest.priority {
			largest = response
		}
	}
	return largest
}

// Complete records that a response has been read. It holds its memory until Release.
func (budget *Budget) Complete(response *Response) { delete(budget.reading, response) }

// Release records that the memory of a response is no longer referenced.
func (budget *Budget) Release(response *Response) {
	delete(budget.reading, response)
	budget.held -= response.held
	response.held = 0
}

// Held returns the bytes that all responses hold.
func (budget *Budget) Held() int64 { return budget.held }
