package release

import (
	"encoding/json"

	"poplarpin.dev/core/api"
)

// Diff lists the changes that a note would make to the state.
func (state State) Diff(note Note) []api.Change {
	var changes []api.Change
	for _, object := range note.Add.List() {
		changes = append(changes, api.Change{Key: object.Key(), Action: "add", After: jsonText(object)})
	}
	for _, object := range note.Change.List() {
		before := string(state.Entries[object.Key()].Object)
		changes = append(changes, api.Change{Key: object.Key(), Action: "change", Before: before, After: jsonText(object)})
	}
	for _, key := range note.Withdraw {
		changes = append(changes, api.Change{Key: key, Action: "withdraw", Before: string(state.Entries[key].Object)})
	}
	return changes
}

func jsonText(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
