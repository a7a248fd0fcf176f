package poison

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	InvalidFingerprint Kind = "invalid fingerprint"
	InvalidReport      Kind = "invalid report"
)

// Error is an error of this package.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

func (err *Error) Error() string {
	return "poison: " + err.Op + ": " + string(err.Kind) + ": " + err.Detail
}
