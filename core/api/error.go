package api

import "poplarpin.dev/core/config"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	BadRequest   Kind = "badRequest"
	TooLarge     Kind = "tooLarge"
	NotFound     Kind = "notFound"
	Forbidden    Kind = "forbidden"
	ConflictKind Kind = "conflict"
	Overloaded   Kind = "overloaded"
	NoRelease    Kind = "noRelease"
	Unavailable  Kind = "unavailable"
	Stopping     Kind = "stopping"
	UnknownKind  Kind = "unknown"
)

// Error is the body of every response that is not an Answer.
type Error struct {
	Op         string          `json:"op"`
	Kind       Kind            `json:"kind"`
	Field      string          `json:"field,omitempty"`
	Message    string          `json:"message"`
	Outcome    Outcome         `json:"outcome,omitempty"`
	RetryAfter config.Duration `json:"retryAfter,omitzero"`
	Winner     string          `json:"winner,omitempty"` // the release note that won a conflict
}

// Error implements error.
func (err *Error) Error() string {
	text := err.Op + ": " + string(err.Kind) + ": "
	if err.Field != "" {
		text += err.Field + " "
	}
	return text + err.Message
}

func invalid(field, message string) *Error {
	return &Error{Op: "request", Kind: BadRequest, Field: field, Message: message, Outcome: NotRun}
}
