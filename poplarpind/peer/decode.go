package peer

import (
	"encoding/json"
	"fmt"
)

// Decode decodes a message and validates it if it has a Validate method.
func Decode[T any](params json.RawMessage) (T, error) {
	var message T
	if err := json.Unmarshal(params, &message); err != nil {
		return message, &Error{Op: "decode", Kind: Rejected, Detail: fmt.Sprintf("%T: %s", message, err)}
	}
	if checked, ok := any(message).(interface{ Validate() error }); ok {
		return message, checked.Validate()
	}
	return message, nil
}

// Handle decodes and validates a message and passes it to do.
func Handle[T any](params json.RawMessage, do func(T)) error {
	message, err := Decode[T](params)
	if err == nil {
		do(message)
	}
	return err
}
