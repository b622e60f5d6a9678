package removalguard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed: the same sequences in every run
)

// Guards against a guard that allows more or fewer departures than its settings say, that counts a host twice,
// after it has returned or beyond the window, or that holds a single drain. The model keeps every departure.
func TestEvaluate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Share: float64(rapid.IntRange(1, 4).Draw(t, "quarters")) / 4, Window: 1000, Floor: rapid.IntRange(0, 3).Draw(t, "floor")}
		g, err := New(set)
		require.NoError(t, err)
		now, departed := 0.0, map[string]departure{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += 250 * float64(rapid.IntRange(0, 2).Draw(t, "quarter seconds"))
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "host"))
			if rapid.Bool().Draw(t, "departs") {
				moved := rapid.Bool().Draw(t, "moved")
				g.RecordDeparture(now, name, moved)
				departed[name] = departure{name, now, moved}
			} else {
				g.RecordReturn(name)
				delete(departed, name)
			}
			used, moved := 0, 0
			for _, d := range departed {
				if d.at >= now-set.Window {
					used++
					if d.moved {
						moved++
					}
				}
			}
			c := Change{Serving: moved + rapid.IntRange(0, 20).Draw(t, "serving"), Arrives: rapid.IntRange(0, 2).Draw(t, "arrives")}
			c.Drains = rapid.IntRange(0, c.Serving).Draw(t, "drains")
			c.Leaves = rapid.IntRange(0, c.Serving-c.Drains).Draw(t, "leaves")
			n, want := c.Drains+c.Leaves, Accept
			switch allowed := int(set.Share * float64(c.Serving+used-moved)); {
			case n == 0, n == 1 && c.Drains == 1:
			case c.Serving-n+c.Arrives < set.Floor:
				want = BelowFloor
			case used+n > allowed && used+n > 1:
				want = Reread
			}
			require.Equal(t, want, g.Evaluate(now, c), "%+v after %d", c, used)
		}
	})
}

// Guards against invalid settings that are accepted, and against unbounded memory use when hosts come and go under
// new names.
func TestBounds(t *testing.T) {
	for _, bad := range []Settings{{}, {Share: 1.1}, {Share: 1, Window: -1}, {Share: 1, Floor: -1}} {
		_, err := New(bad)
		assert.Error(t, err)
	}
	g, err := New(Settings{Share: 1, Window: 1e9})
	require.NoError(t, err)
	for i := range 3 * maxNames {
		g.RecordDeparture(float64(i), fmt.Sprint(i), i%5 == 0)
		if i%3 == 0 {
			g.RecordReturn(fmt.Sprint(i))
		}
	}
	assert.LessOrEqual(t, g.Departed(1e6), maxNames)
	assert.LessOrEqual(t, len(g.log), 5*maxNames)
	assert.Zero(t, g.Departed(2e9))
}
