package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAKeptPartCountsOnlyWithThoseBeforeIt(t *testing.T) {
	c := newCache(1000)
	missing, kept := c.use([]Part{{"a", 100}, {"b", 200}})
	require.Equal(t, 300, missing)
	require.Zero(t, kept)
	missing, kept = c.use([]Part{{"a", 100}, {"b", 200}, {"c", 50}})
	require.Equal(t, 50, missing)
	require.Equal(t, 300, kept)
	missing, _ = c.use([]Part{{"x", 100}, {"b", 200}})
	require.Equal(t, 300, missing, "another part stands before it")
}

func TestPartsUnusedForLongestGiveWay(t *testing.T) {
	c := newCache(300)
	c.use([]Part{{"a", 200}})
	c.use([]Part{{"b", 100}})
	c.use([]Part{{"a", 200}})
	c.use([]Part{{"c", 100}})
	_, kept := c.use([]Part{{"a", 200}})
	require.Equal(t, 200, kept)
	missing, _ := c.use([]Part{{"b", 100}})
	require.Equal(t, 100, missing)
}

func TestAFullEngineTurnsAway(t *testing.T) {
	model := DefaultModel()
	model.Slots, model.Queue, model.First = 1, 0, time.Microsecond
	e := New(model)
	require.True(t, e.Begin(nil))
	require.False(t, e.Begin(nil))
	e.End()
	require.True(t, e.Begin(nil))
}
