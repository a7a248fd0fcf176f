package config

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	OutOfRange   Kind = "outOfRange"
	Duplicate    Kind = "duplicate"
	Overlap      Kind = "overlap"
	BadReference Kind = "badReference"
	BadName      Kind = "badName"
)

// Error reports an invalid declared object, or an invalid reference from it.
type Error struct {
	Op     string
	Kind   Kind
	Key    Key
	Field  string
	Detail string
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: %s %s: %s: %s", err.Op, err.Key, err.Field, err.Kind, err.Detail)
}
