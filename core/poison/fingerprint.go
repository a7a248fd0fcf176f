package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint identifies a request over all its attempts: a truncated SHA-256, so that no caller can make a request that
// counts as another one.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of the parts of a request.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal digits.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// MarshalText implements encoding.TextMarshaler.
func (fingerprint Fingerprint) MarshalText() ([]byte, error) {
	return []byte(fingerprint.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (fingerprint *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(fingerprint) {
		return &Error{"decode", InvalidFingerprint, fmt.Sprintf("%d digits", len(text))}
	}
	if _, err := hex.Decode(fingerprint[:], text); err != nil {
		return &Error{"decode", InvalidFingerprint, err.Error()}
	}
	return nil
}
