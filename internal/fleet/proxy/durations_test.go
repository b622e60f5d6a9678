package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDurationsAreLearnedByRoute(t *testing.T) {
	var d durations
	for range fewestDurations - 1 {
		d.note("reports", 4*time.Second)
	}
	require.Zero(t, d.expect("reports"), "too few to expect anything")
	d.note("reports", 4*time.Second)
	require.InDelta(t, 4, d.expect("reports").Seconds(), 0.01)
	require.Zero(t, d.expect("drafts"))
	for i := range 100 {
		d.note("reports", time.Duration(4+i%3)*time.Second)
	}
	require.InDelta(t, 6.5, d.expect("reports").Seconds(), 0.7, "most take no longer")
}
