package release

import "poplarpin.dev/core/config"

// Adopter holds the release in force on one VM and replaces it only by a higher one.
type Adopter struct {
	head          Head
	parts         map[Digest][]byte
	objects       map[Digest][]config.Object // decoded objects of the parts in force, so that a new release decodes only changed parts
	configuration *config.Configuration
}

// NewAdopter returns an Adopter that has no release in force yet.
func NewAdopter() *Adopter { return &Adopter{parts: map[Digest][]byte{}} }

// Release returns the number of the release in force, or 0 if there is none.
func (adopter *Adopter) Release() int64 { return adopter.head.Release }

// Head returns the head of the release in force.
func (adopter *Adopter) Head() Head { return adopter.head }

// Configuration returns the configuration in force, or nil if there is none.
func (adopter *Adopter) Configuration() *config.Configuration { return adopter.configuration }

// Parts returns the parts of the release in force.
func (adopter *Adopter) Parts() map[Digest][]byte { return adopter.parts }

// Missing returns the digests of a head's parts that the adopter does not hold.
func (adopter *Adopter) Missing(head Head) []Digest {
	acceptor := Acceptor{head: head, parts: adopter.parts}
	return acceptor.missing()
}

// Adopt puts a higher release in force atomically and reports whether it did; on an error or a release that is not higher, nothing changes.
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
		part, decoded, err := adopter.partAndObjects(digest, fetched)
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

// partAndObjects returns a part and its decoded objects, reusing those of the release in force where possible.
func (adopter *Adopter) partAndObjects(digest Digest, fetched map[Digest][]byte) ([]byte, []config.Object, error) {
	if current, ok := adopter.parts[digest]; ok {
		return current, adopter.objects[digest], nil
	}
	entries, err := decodePart(digest, fetched[digest])
	if err != nil {
		return nil, nil, err
	}
	objects, err := decodeObjects(entries)
	return fetched[digest], objects, err
}
