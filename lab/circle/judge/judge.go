// Package judge holds what clients of the agreed register were told against one register a name that changes at one moment
// within each ask: https://en.wikipedia.org/wiki/Linearizability, by the porcupine library.
package judge

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Ask is one thing that a client asked for, and what it was told.
type Ask struct {
	Client int
	Name   string
	Read   bool
	Value  string  // that was to be set, or was read
	Based  bool    // the set was to be carried out only
	Was    uint64  // on this number
	Clash  bool    // it was told that another number holds
	Number uint64  // that it was told
	Called float64 // ms
	Told   float64 // ms, +Inf = nobody knows what became of it
}

// mostTime bounds the look at one name: a history that takes longer is told as not judged, never as sound.
const mostTime = 20 * time.Second

// Judge gives what is wrong with a history.
func Judge(history []Ask) (faults []string) {
	names := map[string][]porcupine.Operation{}
	for _, a := range history {
		end := int64(math.MaxInt64)
		if !math.IsInf(a.Told, 1) {
			end = int64(a.Told * 1e6)
		}
		names[a.Name] = append(names[a.Name], porcupine.Operation{ClientId: a.Client, Input: a, Call: int64(a.Called * 1e6), Output: a,
			Return: end})
	}
	model := porcupine.Model{Init: func() any { return state{} }, Step: func(s, in, _ any) (bool, any) { return step(s.(state), in.(Ask)) }}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		switch porcupine.CheckOperationsTimeout(model, names[name], mostTime) {
		case porcupine.Illegal:
			faults = append(faults, fmt.Sprintf("no order of the asks for %s explains what was told", name))
		case porcupine.Unknown:
			faults = append(faults, fmt.Sprintf("the asks for %s could not be judged in %v", name, mostTime))
		}
	}
	return faults
}

// state of one name. Numbers are not known beforehand: a set that was told says which it got; one whose answer never came
// leaves the number open.
type state struct {
	value  string
	number uint64 // 0 = not known, or nothing held
	held   bool
}

func step(s state, a Ask) (bool, any) {
	unknown := math.IsInf(a.Told, 1)
	switch {
	case unknown && a.Read:
		return true, s
	case unknown: // it may have been based on a number that does not hold, and changed nothing
		if a.Based && (s.number != 0 && s.number != a.Was || !s.held && a.Was != 0) {
			return true, s
		}
		return true, state{value: a.Value, held: true}
	case a.Read:
		return s.value == a.Value && (s.number == 0 || s.number == a.Number), s
	case a.Clash:
		return s.number == 0 && s.held || s.number == a.Number && a.Number != a.Was, s
	case a.Based && s.number != a.Was && (s.number != 0 || !s.held):
		return false, s
	}
	return true, state{value: a.Value, number: a.Number, held: true}
}
