package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
)

// ComponentRegister is the name of the component that holds the register.
const ComponentRegister = "register"

// Bounds of the register.
const (
	MaxNames      = 1024
	MaxValueBytes = 4096
)

// Value is a name with its value.
type Value struct {
	Name   string  `json:"name"`
	Value  string  `json:"value"`
	Number uint64  `json:"number"` // index of the entry that set the value; 0 = the name has no value
	At     float64 `json:"at"`     // cluster time, ms
}

// Set is the body of a command that sets a value. An empty value deletes the name.
type Set struct {
	Name           string  `json:"name"`
	Value          string  `json:"value"`
	ExpectedNumber *uint64 `json:"was,omitempty"` // compare and set: apply only if the current value has this number
}

// Get is the body of a query for one name, or for all names if Name is empty.
type Get struct {
	Name string `json:"name,omitempty"`
}

// register maps names to small values. Operators and tests use it to verify that the log works.
type register struct{ values map[string]Value }

func newRegister() *register { return &register{values: map[string]Value{}} }

// Apply applies a Set.
func (r *register) Apply(index uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var s Set
	if err := json.Unmarshal(body, &s); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	current := r.values[s.Name]
	current.Name = s.Name
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes || len(s.Value) > MaxValueBytes:
		return Reply{Code: Invalid, Text: fmt.Sprintf("a name has 1 to %d bytes, a value %d at the most", maxNameBytes, MaxValueBytes)}
	case s.ExpectedNumber != nil && *s.ExpectedNumber != current.Number:
		return Reply{Code: Conflict, Text: fmt.Sprintf("number %d holds", current.Number), Body: encode(current)}
	case s.Value != "" && current.Number == 0 && len(r.values) >= MaxNames:
		return Reply{Code: Full, Text: fmt.Sprintf("%d names are held", len(r.values))}
	}
	v := Value{Name: s.Name, Value: s.Value, Number: index, At: now}
	if s.Value == "" {
		delete(r.values, s.Name)
		v.Number = 0
	} else {
		r.values[s.Name] = v
	}
	return Reply{Code: OK, Body: encode(v)}
}

// Query answers a Get.
func (r *register) Query(body json.RawMessage) Reply {
	var g Get
	if err := json.Unmarshal(body, &g); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	if g.Name != "" {
		v := r.values[g.Name]
		v.Name = g.Name
		return Reply{Code: OK, Body: encode(v)}
	}
	return Reply{Code: OK, Body: encode(sortedValues(r.values))}
}

// Freeze captures the values for an image.
func (r *register) Freeze() func() (json.RawMessage, error) {
	snapshot := maps.Clone(r.values)
	return func() (json.RawMessage, error) { return json.Marshal(sortedValues(snapshot)) }
}

// Load restores an image.
func (r *register) Load(image json.RawMessage) error {
	var loaded []Value
	err := json.Unmarshal(image, &loaded)
	for _, v := range loaded {
		r.values[v.Name] = v
	}
	return err
}
