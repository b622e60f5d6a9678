package days

import (
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

func TestADayIsDrawnFromItsSeed(t *testing.T) {
	require.Equal(t, Draw(3, 12), Draw(3, 12))
	require.NotEqual(t, Draw(3, 12).Entries, Draw(4, 12).Entries)
}

func TestEveryKindIsDrawnAndCanBeRead(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(200) {
		day := Draw(seed, 12, "health", "pool")
		require.Len(t, day.Entries, 12)
		var read struct {
			Name         string
			Plan, Faults []struct {
				At   float64
				Kind string
			}
		}
		err := toml.Unmarshal([]byte(day.TOML()), &read)
		require.NoError(t, err, day.TOML())
		require.Equal(t, 12, len(read.Plan)+len(read.Faults))
		for _, entry := range append(read.Plan, read.Faults...) {
			drawn[entry.Kind] = true
			require.GreaterOrEqual(t, entry.At, firstAt)
			require.LessOrEqual(t, entry.At, lastAt)
		}
	}
	require.Len(t, drawn, len(kinds))
}

func TestKindsOfContractsThatAreNotInForceAreLeftOut(t *testing.T) {
	for seed := range uint64(100) {
		for _, entry := range Draw(seed, 12).Entries {
			require.NotContains(t, []string{"srv_grey", "srv_flap", "idle_race"}, entry.Kind)
		}
	}
}

func TestShrinkingKeepsWhatBreaks(t *testing.T) {
	day := Draw(5, 16)
	guilty := []Entry{day.Entries[3], day.Entries[11]}
	plays := 0
	small := Shrink(day, func(d Day) bool {
		plays++
		for _, one := range guilty {
			if !slices.ContainsFunc(d.Entries, func(e Entry) bool { return e.At == one.At && e.Kind == one.Kind }) {
				return false
			}
		}
		return true
	})
	require.Equal(t, guilty, small.Entries)
	require.Empty(t, small.Closing)
	require.Less(t, plays, 50)
}

func TestADayThatNeedsEverythingStaysWhole(t *testing.T) {
	day := Draw(6, 5)
	day.Closing = closings[1]
	require.Equal(t, day, Shrink(day, func(d Day) bool { return len(d.Entries) == 5 && d.Closing != "" }))
}
