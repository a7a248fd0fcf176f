package release

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Invalid     Kind = "invalid"     // the note cannot be decoded or fails validation
	Conflict    Kind = "conflict"    // another note modified the same object after the base release, or used the same id
	TooOld      Kind = "tooOld"      // the base release is older than the retained history
	Missing     Kind = "missing"     // the note changes or withdraws an object that is not in force
	Exists      Kind = "exists"      // the note adds an object that is already in force
	Corrupt     Kind = "corrupt"     // a part is missing, malformed or does not match its digest, or the head exceeds its limits
	Unavailable Kind = "unavailable" // the platform did not answer; the note was not accepted
	Unknown     Kind = "unknown"     // the platform did not confirm whether the note was accepted
)

// Error reports why a note or a release was rejected.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
	Winner string // the note that won a conflict
}

// Error implements error.
func (err *Error) Error() string {
	text := fmt.Sprintf("%s: %s: %s", err.Op, err.Kind, err.Detail)
	if err.Winner != "" {
		text += " (note " + err.Winner + " won)"
	}
	return text
}

func errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Detail: fmt.Sprintf(format, args...)}
}
