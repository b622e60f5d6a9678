package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ComponentRegister is the name of the register's part.
const ComponentRegister = "register"

// Bounds of the register.
const (
	MaxNames      = 1024
	MaxValueBytes = 4096 // bytes; a name has 128 at the most
)

// Value is what the register holds under a name.
type Value struct {
	Name   string  `json:"name"`
	Value  string  `json:"value"`
	Number uint64  `json:"number"` // index of the entry that set it; 0 = nothing is held
	At     float64 `json:"at"`     // ms of the group's time
}

// Set is a command for the register: hold a value. An empty one takes the name out.
type Set struct {
	Name  string  `json:"name"`
	Value string  `json:"value"`
	Was   *uint64 `json:"was,omitempty"` // carry it out only if this is the number that holds
}

// Get is a question to the register: one name, or all where there is none.
type Get struct {
	Name string `json:"name,omitempty"`
}

// register holds small values under names, for operators and tests to see that the log works.
type register struct{ values map[string]Value }

func newRegister() *register { return &register{values: map[string]Value{}} }

func (r *register) Apply(index uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var s Set
	if err := json.Unmarshal(body, &s); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	have := r.values[s.Name]
	have.Name = s.Name
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes || len(s.Value) > MaxValueBytes:
		return Reply{Code: Faulty, Text: fmt.Sprintf("a name has 1 to %d bytes, a value %d at the most", maxNameBytes, MaxValueBytes)}
	case s.Was != nil && *s.Was != have.Number:
		return Reply{Code: Conflict, Text: fmt.Sprintf("number %d holds", have.Number), Body: encode(have)}
	case s.Value != "" && have.Number == 0 && len(r.values) >= MaxNames:
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

func (r *register) Query(body json.RawMessage) Reply {
	var g Get
	if err := json.Unmarshal(body, &g); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	if g.Name != "" {
		v := r.values[g.Name]
		v.Name = g.Name
		return Reply{Code: OK, Body: encode(v)}
	}
	return Reply{Code: OK, Body: encode(list(r.values))}
}

func (r *register) Freeze() func() (json.RawMessage, error) {
	held := maps.Clone(r.values)
	return func() (json.RawMessage, error) { return json.Marshal(list(held)) }
}

func (r *register) Load(image json.RawMessage) error {
	var held []Value
	err := json.Unmarshal(image, &held)
	for _, v := range held {
		r.values[v.Name] = v
	}
	return err
}

// list gives values in the order of their keys.
func list[K ~string | ~uint64, V any](m map[K]V) []V {
	l := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		l = append(l, m[k])
	}
	return l
}

// encode writes one of this package's own types, which cannot fail.
func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
