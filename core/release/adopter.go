package release

import "poplarpin.dev/core/config"

// Adopter holds the release in force on one VM and only ever moves to a higher one.
type Adopter struct {
	head          Head
	parts         map[Digest][]byte
	configuration *config.Configuration
}

// NewAdopter returns an Adopter without a release in force.
func NewAdopter() *Adopter { return &Adopter{parts: map[Digest][]byte{}} }

// Release returns the number of the release in force, 0 for none.
func (adopter *Adopter) Release() int64 { return adopter.head.Release }

// Head returns the head of the release in force.
func (adopter *Adopter) Head() Head { return adopter.head }

// Configuration returns the configuration in force, nil for none.
func (adopter *Adopter) Configuration() *config.Configuration { return adopter.configuration }

// Parts returns the parts of the release in force.
func (adopter *Adopter) Parts() map[Digest][]byte { return adopter.parts }

// Missing returns the parts of a head that the adopter lacks.
func (adopter *Adopter) Missing(head Head) []Digest {
	acceptor := Acceptor{head: head, parts: adopter.parts}
	return acceptor.missing()
}

// Adopt puts a higher release in force whole, or changes nothing; it reports whether it did.
func (adopter *Adopter) Adopt(head Head, fetched map[Digest][]byte) (bool, error) {
	if head.Release <= adopter.head.Release {
		return false, nil
	}
	parts := map[Digest][]byte{}
	for _, digest := range head.Parts {
		if part, ok := fetched[digest]; ok {
			parts[digest] = part
		} else if part, ok := adopter.parts[digest]; ok {
			parts[digest] = part
		}
	}
	state, err := Load(head, parts)
	if err != nil {
		return false, err
	}
	configuration, err := state.Configuration()
	if err != nil {
		return false, err
	}
	adopter.head, adopter.parts, adopter.configuration = head, parts, configuration
	return true, nil
}
