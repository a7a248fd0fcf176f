package tally

import (
	"cmp"
	"maps"
	"slices"
)

// Counts holds numbers of events by outcome.
type Counts map[string]int64

// Total returns the number of events of all outcomes.
func (counts Counts) Total() int64 {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	return total
}

func (counts Counts) add(other Counts) {
	for outcome, count := range other {
		counts[outcome] += count
	}
}

// View shows the names with most events, and the others together.
type View struct {
	Top        map[string]Counts `json:"top"`
	Rest       Counts            `json:"rest"`
	OtherNames int               `json:"otherNames"` // in Rest, without those that are no longer tracked
}

// Tally counts events by name and outcome.
type Tally struct {
	shown   int
	tracked int
	byName  map[string]Counts
	rest    Counts // of names that are no longer tracked
}

// New returns a tally that shows some names and tracks a larger number of them, at least one.
func New(shown, tracked int) *Tally {
	return &Tally{shown: shown, tracked: max(tracked, 1), byName: map[string]Counts{}, rest: Counts{}}
}

// Add counts an event. A name above the number of tracked ones displaces half of them, those with fewest events.
func (tally *Tally) Add(name, outcome string) {
	counts, ok := tally.byName[name]
	if !ok {
		if len(tally.byName) >= tally.tracked {
			tally.dropFewest()
		}
		counts = Counts{}
		tally.byName[name] = counts
	}
	counts[outcome]++
}

// dropFewest moves the half of the names with fewest events to the rest.
func (tally *Tally) dropFewest() {
	for _, name := range tally.byTotal()[tally.tracked/2:] {
		tally.rest.add(tally.byName[name])
		delete(tally.byName, name)
	}
}

// byTotal returns the tracked names, those with most events first.
func (tally *Tally) byTotal() []string {
	return slices.SortedFunc(maps.Keys(tally.byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(tally.byName[b].Total(), tally.byName[a].Total()), cmp.Compare(a, b))
	})
}

// View returns a copy of the counts.
func (tally *Tally) View() View {
	view := View{Top: map[string]Counts{}, Rest: maps.Clone(tally.rest)}
	for i, name := range tally.byTotal() {
		if i < tally.shown {
			view.Top[name] = maps.Clone(tally.byName[name])
			continue
		}
		view.Rest.add(tally.byName[name])
		view.OtherNames++
	}
	return view
}
