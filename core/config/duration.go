package config

import "time"

// MaxDeadline is the longest deadline that a request or a service may have.
const MaxDeadline = time.Minute

// Duration is a time.Duration that is encoded as text, such as 40ms.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (duration Duration) Std() time.Duration { return time.Duration(duration) }

// String implements fmt.Stringer.
func (duration Duration) String() string { return duration.Std().String() }

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.Std().String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}
