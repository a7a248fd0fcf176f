package rpc

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/s2"

	"poplarpin.dev/core/search"
)

// MaxBodyBytes bounds a body after decompression.
const MaxBodyBytes = 16 << 20

// Kind classifies an Error.
type Kind string

// BadBody marks a body that cannot be decompressed or decoded.
const BadBody Kind = "badBody"

// Error reports an invalid message.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Pack compresses the JSON of a reply's shards, so that the JSON-RPC layers handle it as one short value.
func Pack(shards json.RawMessage) []byte { return s2.Encode(nil, shards) }

// Unpack decompresses and decodes the shards of a packed body.
func Unpack(body []byte) ([]search.ShardResult, error) {
	size, err := s2.DecodedLen(body)
	if err != nil || size > MaxBodyBytes {
		return nil, &Error{"unpack", BadBody, fmt.Sprintf("%d bytes: %v", size, err)}
	}
	data, err := s2.Decode(nil, body)
	if err != nil {
		return nil, &Error{"unpack", BadBody, err.Error()}
	}
	var shards []search.ShardResult
	if err := json.Unmarshal(data, &shards); err != nil {
		return nil, &Error{"unpack", BadBody, err.Error()}
	}
	return shards, nil
}
