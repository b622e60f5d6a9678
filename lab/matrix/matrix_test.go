package matrix_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/matrix"
)

func open(name string) (*experiments.Experiment, error) {
	return experiments.Parse(name+".toml", `
site = "rating"
length = "5s"
[load]
level = 0.5
[[trouble]]
kind = "slow"
at = "1s"
length = "3s"
`, nil)
}

// Guards against figures that hang on how many days are played at once, and on what was played before.
func TestWorkersChangeNothing(t *testing.T) {
	cells := []matrix.Cell{{Experiment: "x", Policy: "linenwheel"}, {Experiment: "x", Policy: "two", Nodes: 3, Part: 0.5, Delay: 2},
		{Experiment: "x", Policy: "bound", Raters: 20, Load: 0.8}}
	o := matrix.Options{Seeds: []uint64{3, 4, 5}, Workers: 1}
	one, err := matrix.Play(context.Background(), open, cells, o)
	require.NoError(t, err)
	o.Workers = 5
	five, err := matrix.Play(context.Background(), open, cells, o)
	require.NoError(t, err)
	require.Equal(t, one, five)
	require.NotEqual(t, one[0].Runs[0].Digest, one[0].Runs[1].Digest)
}

// Guards the pairing: policies that are compared play the same day, and what a cell changes it changes alone.
func TestCellsChangeWhatTheySay(t *testing.T) {
	base, err := matrix.Cell{Experiment: "x"}.Day(open, 7)
	require.NoError(t, err)
	more, err := matrix.Cell{Experiment: "x", Nodes: 50}.Day(open, 7)
	require.NoError(t, err)
	require.Equal(t, 50, more.Nodes)
	require.Equal(t, base.Raters, more.Raters)
	require.Equal(t, base.Rate, more.Rate)
	require.Equal(t, base.Troubles, more.Troubles)
	late, err := matrix.Cell{Experiment: "x", Delay: 3, Part: 1}.Day(open, 7)
	require.NoError(t, err)
	require.InDelta(t, 3*base.Lateness.Notice, late.Lateness.Notice, 1e-6)
	require.Len(t, late.Troubles[0].Raters, late.AtStart)
	_, err = matrix.Cell{Experiment: "x", Policy: "none"}.Play(open, 7, matrix.Options{})
	require.ErrorContains(t, err, "no policy")
}

// Guards the comparison: differences are taken seed by seed, and the bound is the best of its kinds on each seed.
func TestPairs(t *testing.T) {
	a := &matrix.Result{Runs: []matrix.Run{{G: 0.5}, {G: 0.9}}}
	b := &matrix.Result{Runs: []matrix.Run{{G: 0.4}, {G: 0.8}}}
	d := a.Against(b, func(r *matrix.Run) float64 { return r.G })
	require.InDelta(t, 0.1, d.Mean, 1e-12)
	require.InDelta(t, 0.1, d.High, 1e-9)
	best := matrix.Bound([]matrix.Result{{Cell: matrix.Cell{Policy: "two"}, Runs: []matrix.Run{{G: 1}, {G: 1}}},
		{Cell: matrix.Cell{Policy: "bound"}, Runs: []matrix.Run{{G: 0.7}, {G: 0.2}}},
		{Cell: matrix.Cell{Policy: "bound-aim"}, Runs: []matrix.Run{{G: 0.6}, {G: 0.4}}}})
	require.Equal(t, []float64{0.7, 0.4}, best)
}

// Guards sweeps against cells in the wrong place: rows are policies, columns the scale that changes, in rising order.
func TestSweep(t *testing.T) {
	run := func(g float64) []matrix.Run { return []matrix.Run{{Seed: 3, G: g}} }
	cells := func(nodes int, policy string, g float64) matrix.Result {
		return matrix.Result{Cell: matrix.Cell{Experiment: "x", Nodes: nodes, Policy: policy}, Runs: run(g)}
	}
	m, err := matrix.Sweeps(map[string]string{"x": "text"},
		[]matrix.Result{cells(10, "a", 0.1), cells(10, "b", 0.2), cells(2, "a", 0.3), cells(2, "b", 0.4)}, nil)
	require.NoError(t, err)
	require.Len(t, m, 1)
	require.Equal(t, []string{"a", "b"}, m[0].Rows)
	require.Equal(t, []float64{2, 10}, m[0].At)
	require.Equal(t, "nodes", m[0].Scale)
	require.Equal(t, [][][]float64{{{0.3}, {0.1}}, {{0.4}, {0.2}}}, m[0].Metrics[0].Cells)
	none, err := matrix.Sweeps(nil, []matrix.Result{cells(2, "a", 0.3)}, nil)
	require.NoError(t, err)
	require.Empty(t, none)
}
