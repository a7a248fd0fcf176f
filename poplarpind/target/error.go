package target

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	TooLong       Kind = "tooLong"       // the response does not fit into the memory for responses
	InvalidStatus Kind = "invalidStatus" // no target may respond with this status
)

// Error reports why a target's response is unusable.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }
