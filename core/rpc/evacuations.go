package rpc

// Evacuations is the whole set of failure domains whose targets must get no calls, with the revision of its last change.
type Evacuations struct {
	Era            int64    `json:"era,omitempty"`
	Revision       int64    `json:"revision"`
	FailureDomains []string `json:"domains,omitempty"`
	Kept           []string `json:"kept,omitempty"`    // missing since the store was restored, still in force for a time
	Ignored        []string `json:"ignored,omitempty"` // withdrawn before the store was restored, not in force for a time
}

// NewerThan reports whether the set follows another in the order of eras and revisions.
func (evacuations Evacuations) NewerThan(era, revision int64) bool {
	return IsAfter(evacuations.Era, evacuations.Revision, era, revision)
}

// Validate checks a decoded set.
func (evacuations Evacuations) Validate() error {
	if evacuations.Era < 0 || evacuations.Revision < 0 {
		return invalid("news", "era %d and revision %d of the evacuations must not be negative", evacuations.Era, evacuations.Revision)
	}
	for _, names := range [][]string{evacuations.FailureDomains, evacuations.Kept, evacuations.Ignored} {
		for _, name := range names {
			if name == "" {
				return invalid("news", "an evacuation has no failure domain")
			}
		}
	}
	return nil
}

// IsAfter reports whether a position in the store's history follows another. Revisions are issued again in each era, so that they are
// compared within one era only.
func IsAfter(era, revision, otherEra, otherRevision int64) bool {
	return era > otherEra || era == otherEra && revision > otherRevision
}
