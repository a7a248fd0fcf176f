package target

// Kind classifies an Error.
type Kind string

// TooLong marks a response that does not fit into the memory for responses.
const TooLong Kind = "tooLong"

// Error reports why a target's response is unusable.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }
