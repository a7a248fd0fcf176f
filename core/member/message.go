package member

import (
	"encoding/json"
	"fmt"
)

// State is the state of a member as others see it.
type State int

// The states of a member; within one incarnation the higher state supersedes the lower.
const (
	Alive State = iota
	Suspect
	Leaving // finishes its requests and no longer counts as an owner of targets
	Dead
	Left
)

var stateNames = []string{"alive", "suspect", "leaving", "dead", "left"}

// String implements fmt.Stringer.
func (state State) String() string {
	if state < 0 || int(state) >= len(stateNames) {
		return fmt.Sprintf("State(%d)", int(state))
	}
	return stateNames[state]
}

// Member describes one entry VM.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Address       string `json:"address"`
	Incarnation   int64  `json:"incarnation"`
	State         State  `json:"state"`
}

// supersedes reports whether the member's incarnation and state are newer than the known ones.
func (member Member) supersedes(known Member) bool {
	if member.Incarnation != known.Incarnation {
		return member.Incarnation > known.Incarnation
	}
	return member.State > known.State
}

// Kind is the kind of a message.
type Kind string

// The kinds of messages.
const (
	Ping      Kind = "ping"
	Ack       Kind = "ack"
	Indirect  Kind = "indirect" // asks the receiver to ping Subject on behalf of the sender
	Sync      Kind = "sync"     // carries the sender's member list and requests the receiver's
	SyncReply Kind = "syncBack" // answers a Sync with the member list of the Sync's receiver
	Announce  Kind = "announce" // announces the release in force at the sender
)

// MaxUpdates is the maximum number of members in one message.
const MaxUpdates = 4096

// Message is a protocol message between members.
type Message struct {
	Kind     Kind     `json:"kind"`
	From     Member   `json:"from"`
	Sequence int64    `json:"sequence,omitempty"` // of the probe, so that an ack is matched to it
	Subject  string   `json:"about,omitempty"`    // the probed member, in an Indirect or an Ack
	Origin   string   `json:"origin,omitempty"`   // the member that requested an indirect ping and receives its ack
	Updates  []Member `json:"updates,omitempty"`
	Release  int64    `json:"release,omitempty"` // in force at the sender
}

// UnmarshalJSON decodes and validates the message; later builds may add fields.
func (message *Message) UnmarshalJSON(data []byte) error {
	type plain Message
	if err := json.Unmarshal(data, (*plain)(message)); err != nil {
		return err
	}
	if message.From.Name == "" || len(message.Updates) > MaxUpdates || message.Release < 0 {
		return &Error{Op: "decode", Kind: BadMessage, Detail: fmt.Sprintf("invalid message: %d updates, release %d", len(message.Updates), message.Release)}
	}
	for _, update := range append(message.Updates, message.From) {
		if update.State < Alive || update.State > Left || update.Name == "" {
			return &Error{Op: "decode", Kind: BadMessage, Detail: "invalid member: name " + update.Name + ", state " + update.State.String()}
		}
	}
	return nil
}

// ErrorKind classifies an Error.
type ErrorKind string

// BadMessage marks a message that fails validation.
const BadMessage ErrorKind = "badMessage"

// Error reports an invalid message.
type Error struct {
	Op     string
	Kind   ErrorKind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Outgoing is a message and its recipient.
type Outgoing struct {
	To      Member
	Message Message
}
