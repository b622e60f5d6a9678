package registry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawRecord draws a record of one instance: of a heartbeat, whose number decides everything but the state, or of the ID only.
func drawRecord() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		if rapid.Bool().Draw(t, "only the ID") {
			return Record{ID: "a", State: Removed}
		}
		sequence := rapid.Int64Range(0, 4).Draw(t, "sequence")
		state := State(rapid.IntRange(int(Ready), int(Removed)).Draw(t, "state"))
		return Record{ID: "a", Backend: "llm", Address: "10.0.0.1:1", Revision: fmt.Sprint(sequence), Slots: int(sequence), State: state, Sequence: sequence}
	})
}

// Guards against replicas and nodes that end up with different records of a backend, as they were told in different orders.
func TestJoinDoesNotDependOnTheOrderOfTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord().Draw(t, "a"), drawRecord().Draw(t, "b"), drawRecord().Draw(t, "c")
		require.Equal(t, a, Join(a, a), "idempotent")
		require.Equal(t, Join(a, b), Join(b, a), "commutative")
		require.Equal(t, Join(Join(a, b), c), Join(a, Join(b, c)), "associative")
		for _, one := range []Record{a, b} {
			require.GreaterOrEqual(t, Join(a, b).State, one.State, "the lifecycle never moves backward")
			require.GreaterOrEqual(t, Join(a, b).Sequence, one.Sequence)
		}
	})
}
