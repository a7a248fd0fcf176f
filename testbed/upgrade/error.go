package upgrade

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	UnknownCommit Kind = "unknownCommit" // the repository's history does not have the commit
	BuildFailed   Kind = "buildFailed"
	FleetFailed   Kind = "fleetFailed" // the fleet could not be started or changed as planned
	RuleBroken    Kind = "ruleBroken"
)

// Error reports why an upgrade could not be played, or that it broke a rule.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }
