package member

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// State is the state of a member.
type State int

// The states of members; of one incarnation the higher state wins.
const (
	Alive State = iota
	Suspect
	Leaving // finishes its work and takes no new targets
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

// Member is one entry VM.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Address       string `json:"address"`
	Incarnation   int64  `json:"incarnation"`
	State         State  `json:"state"`
}

// supersedes reports whether the member's news is newer than what is known.
func (member Member) supersedes(known Member) bool {
	if member.Incarnation != known.Incarnation {
		return member.Incarnation > known.Incarnation
	}
	return member.State > known.State
}

// Kind says what a message is for.
type Kind string

// The kinds of messages.
const (
	Ping      Kind = "ping"
	Ack       Kind = "ack"
	Indirect  Kind = "indirect" // asks the receiver to ping About for the sender
	Sync      Kind = "sync"     // carries the sender's list and asks for the receiver's
	SyncReply Kind = "syncBack" // carries the receiver's list
	Announce  Kind = "announce" // tells of a release that the sender has in force
)

// MaxUpdates bounds the members that one message carries.
const MaxUpdates = 4096

// Message is what members send each other.
type Message struct {
	Kind     Kind     `json:"kind"`
	From     Member   `json:"from"`
	Sequence int64    `json:"sequence,omitempty"`
	Subject  string   `json:"about,omitempty"`
	Origin   string   `json:"origin,omitempty"` // who asked for an indirect ping, and is to get the ack
	Updates  []Member `json:"updates,omitempty"`
	Release  int64    `json:"release,omitempty"` // in force at the sender
}

// UnmarshalJSON decodes strictly and validates.
func (message *Message) UnmarshalJSON(data []byte) error {
	type plain Message
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(message)); err != nil {
		return err
	}
	if message.From.Name == "" || len(message.Updates) > MaxUpdates || message.Release < 0 {
		return &Error{Op: "decode", Kind: BadMessage, Detail: fmt.Sprintf("%d updates, release %d", len(message.Updates), message.Release)}
	}
	for _, update := range append(message.Updates, message.From) {
		if update.State < Alive || update.State > Left || update.Name == "" {
			return &Error{Op: "decode", Kind: BadMessage, Detail: "member " + update.Name + " has " + update.State.String()}
		}
	}
	return nil
}

// ErrorKind classifies an Error.
type ErrorKind string

// BadMessage marks a message that breaks a rule.
const BadMessage ErrorKind = "badMessage"

// Error reports a message that cannot be used.
type Error struct {
	Op     string
	Kind   ErrorKind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Outgoing is a message and the member that it goes to.
type Outgoing struct {
	To      Member
	Message Message
}
