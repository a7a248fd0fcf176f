package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/core/config"
)

// MaxNoteBytes is the maximum size of a release note.
const MaxNoteBytes = 8 << 20

var noteIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Objects holds declared objects, grouped by kind.
type Objects struct {
	Classes  []config.Class   `json:"classes,omitempty" yaml:"classes"`
	Targets  []config.Target  `json:"targets,omitempty" yaml:"targets"`
	Services []config.Service `json:"services,omitempty" yaml:"services"`
	Indexes  []config.Index   `json:"indexes,omitempty" yaml:"indexes"`
}

// Note is a release note: the objects to add, change and withdraw relative to a base release.
type Note struct {
	ID       string       `json:"id" yaml:"id"`
	Base     int64        `json:"base" yaml:"base"`
	Add      Objects      `json:"add,omitzero" yaml:"add"`
	Change   Objects      `json:"change,omitzero" yaml:"change"`
	Withdraw []config.Key `json:"withdraw,omitempty" yaml:"withdraw"`
	Author   string       `json:"author,omitempty" yaml:"-"` // set by the entry VM that accepts the note
}

// List returns all objects, ordered by kind: classes, targets, services, indexes.
func (objects Objects) List() []config.Object {
	var list []config.Object
	for _, class := range objects.Classes {
		list = append(list, class)
	}
	for _, target := range objects.Targets {
		list = append(list, target)
	}
	for _, service := range objects.Services {
		list = append(list, service)
	}
	for _, index := range objects.Indexes {
		list = append(list, index)
	}
	return list
}

// Digest returns the digest of the note's content without its author, so that a note has the same digest regardless of who submits it.
func (note Note) Digest() Digest {
	note.Author = ""
	data, err := json.Marshal(note)
	if err != nil {
		return ""
	}
	return DigestOf(data)
}

// UnmarshalJSON decodes the note, rejects unknown fields and validates the result.
func (note *Note) UnmarshalJSON(data []byte) error {
	type plain Note
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(note)); err != nil {
		return err
	}
	return note.Validate()
}

// Validate checks the note by itself, without the configuration that it applies to.
func (note *Note) Validate() error {
	if !noteIDPattern.MatchString(note.ID) {
		return errorf("note", Invalid, "id %.140q must match %s", note.ID, noteIDPattern)
	}
	if note.Base < 0 || note.Base > config.MaxVersion {
		return errorf("note", Invalid, "base %d is out of range", note.Base)
	}
	seen := map[config.Key]bool{}
	for _, object := range append(note.Add.List(), note.Change.List()...) {
		if err := object.Validate(); err != nil {
			return errorf("note", Invalid, "%s", err)
		}
		if seen[object.Key()] {
			return errorf("note", Invalid, "%s is listed twice", object.Key())
		}
		seen[object.Key()] = true
	}
	for _, key := range note.Withdraw {
		if seen[key] {
			return errorf("note", Invalid, "%s is listed twice", key)
		}
		seen[key] = true
	}
	if len(seen) == 0 {
		return errorf("note", Invalid, "the note contains nothing to add, change or withdraw")
	}
	return nil
}

// ParseNote decodes and validates a YAML note; errors name the file, line and field.
func ParseNote(file string, data []byte) (Note, error) {
	var note Note
	if len(data) > MaxNoteBytes {
		return note, errorf(file, Invalid, "note size of %d bytes exceeds the limit of %d bytes", len(data), MaxNoteBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&note); err != nil {
		return note, errorf(file, Invalid, "%s", strings.ReplaceAll(err.Error(), "\n", ""))
	}
	if err := decoder.Decode(&yaml.Node{}); err != io.EOF {
		return note, errorf(file, Invalid, "the file contains more than one document")
	}
	if err := validateObjects(file, data, note); err != nil {
		return note, err
	}
	if err := note.Validate(); err != nil {
		return note, errorf(file, Invalid, "%s", err)
	}
	return note, nil
}

// validateObjects validates the added and changed objects of a note; its error names the line of the first invalid one.
func validateObjects(file string, data []byte, note Note) error {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return errorf(file, Invalid, "%s", err)
	}
	seen := map[config.Key]int{}
	sections := []struct {
		name    string
		objects Objects
	}{{"add", note.Add}, {"change", note.Change}}
	for _, section := range sections {
		nodes := objectNodes(mappingValue(&root, section.name))
		for i, object := range section.objects.List() {
			if i >= len(nodes) {
				break
			}
			if err := validateNode(file, nodes[i], object, seen); err != nil {
				return err
			}
		}
	}
	return nil
}

// validateNode validates one object and rejects it if its key is already in seen, which maps keys to their lines.
func validateNode(file string, node *yaml.Node, object config.Object, seen map[config.Key]int) error {
	if err := object.Validate(); err != nil {
		line := node.Line
		if invalid, ok := err.(*config.Error); ok {
			line = fieldLine(node, invalid.Field)
		}
		return errorf(fmt.Sprintf("%s:%d", file, line), Invalid, "%s", err)
	}
	if first, ok := seen[object.Key()]; ok {
		return errorf(fmt.Sprintf("%s:%d", file, node.Line), Invalid, "%s is already listed in line %d", object.Key(), first)
	}
	seen[object.Key()] = node.Line
	return nil
}

// fieldLine returns the line of an object's field, or the object's own line if the field is absent.
func fieldLine(node *yaml.Node, field string) int {
	name, _, _ := strings.Cut(field, " ")
	name, _, _ = strings.Cut(name, ".")
	if value := mappingValue(node, name); value != nil {
		return value.Line
	}
	return node.Line
}

// objectNodes returns the YAML nodes of a section's objects in the order of Objects.List.
func objectNodes(section *yaml.Node) []*yaml.Node {
	var nodes []*yaml.Node
	for _, kind := range []string{"classes", "targets", "services", "indexes"} {
		if list := mappingValue(section, kind); list != nil {
			nodes = append(nodes, list.Content...)
		}
	}
	return nodes
}

// mappingValue returns the value of a key in a YAML mapping, or nil if there is none.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	if node == nil {
		return nil
	}
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}
