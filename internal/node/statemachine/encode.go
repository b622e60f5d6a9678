package statemachine

import (
	"encoding/json"
	"maps"
	"slices"
)

// sortedValues returns the values of a map in ascending order of their keys.
func sortedValues[K ~string | ~uint64, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// encode encodes a value of one of this package's types, whose encoding cannot fail.
func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
