package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Masked stands in a Value for what is not to be shown.
const Masked = "***"

// Value is one field of what a node works with.
type Value struct {
	Field  string `json:"field"`
	Value  any    `json:"value"`
	Source string `json:"source"`          // default, file, environment or flag
	Where  string `json:"where,omitempty"` // the place in the file, or the variable
}

// Values gives each field that the node reads, in the order of the file's form, once Check finds no fault. The seed is
// masked, for it foretells the node's choices.
func Values(getenv func(string) string) ([]Value, error) {
	s, faults := read(getenv, false)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	known, err := json.Marshal(fmt.Sprintf("%d hosts, index %d", len(s.conf.Known.Hosts), s.conf.Known.Index))
	if err != nil {
		return nil, err
	}
	s.file.Known = known
	text, err := json.Marshal(&s.file)
	if err != nil {
		return nil, err
	}
	told, all := spans(s.text), spans(text)
	paths := []string{}
	for path, where := range all {
		if leaf := text[where.start]; leaf != '{' && leaf != '[' {
			paths = append(paths, path)
		}
	}
	slices.SortFunc(paths, func(a, b string) int { return all[a].start - all[b].start })
	values := []Value{}
	for _, path := range paths {
		v := Value{Field: path, Value: json.RawMessage(text[all[path].start:all[path].end]), Source: "default"}
		if path == "seed" {
			v.Value = Masked
		}
		if where, ok := told[path]; ok {
			v.Source, v.Where = "file", fmt.Sprintf("%s:%d", s.path, PlaceOf(s.text, where.start).Line)
		}
		if variable, ok := s.from[path]; ok {
			v.Source, v.Where = "environment", variable
		}
		values = append(values, v)
	}
	return values, nil
}
