package release

import "poplarpin.dev/core/config"

// Adopter holds the release in force on one VM and only ever moves to a higher one.
type Adopter struct {
	head          Head
	parts         map[Digest][]byte
	objects       map[Digest][]config.Object // of the parts in force, decoded once
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
	parts, objects := map[Digest][]byte{}, map[Digest][]config.Object{}
	var all []config.Object
	for _, digest := range head.Parts {
		if digest == "" {
			continue
		}
		part, decoded, err := adopter.part(digest, fetched)
		if err != nil {
			return false, err
		}
		parts[digest], objects[digest] = part, decoded
		all = append(all, decoded...)
	}
	configuration, err := config.NewValidated(head.Release, all)
	if err != nil {
		return false, err
	}
	adopter.head, adopter.parts, adopter.objects, adopter.configuration = head, parts, objects, configuration
	return true, nil
}

// part returns a part and its objects, from the release in force if it has them.
func (adopter *Adopter) part(digest Digest, fetched map[Digest][]byte) ([]byte, []config.Object, error) {
	if held, ok := adopter.parts[digest]; ok {
		return held, adopter.objects[digest], nil
	}
	entries, err := decodePart(digest, fetched[digest])
	if err != nil {
		return nil, nil, err
	}
	objects, err := decodeObjects(entries)
	return fetched[digest], objects, err
}
