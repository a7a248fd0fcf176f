package release

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Invalid     Kind = "invalid"     // the note cannot be read or breaks a rule
	Conflict    Kind = "conflict"    // another note touched the same object since the base release
	TooOld      Kind = "tooOld"      // the base release is older than the kept history
	Missing     Kind = "missing"     // the note changes or withdraws what is not in force
	Exists      Kind = "exists"      // the note adds what is in force
	Corrupt     Kind = "corrupt"     // a part does not match its digest
	Unavailable Kind = "unavailable" // the platform did not answer; nothing was accepted
	Unknown     Kind = "unknown"     // the platform did not say whether the release was accepted
)

// Error reports why a note or a release was refused.
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

func fail(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Detail: fmt.Sprintf(format, args...)}
}
