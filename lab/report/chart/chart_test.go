package chart

import (
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// texts gives all text of an SVG, which must be well-formed XML.
func texts(t *testing.T, svg string) string {
	var all strings.Builder
	for d := xml.NewDecoder(strings.NewReader(svg)); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return all.String()
		}
		require.NoError(t, err)
		if c, ok := token.(xml.CharData); ok {
			all.Write(c)
			all.WriteByte('\n')
		}
	}
}

// Guards every kind of chart against names that are markup or bytes that XML cannot hold, against values that are no
// numbers, and against bytes that differ from one time to the next.
func TestChartsAreWellFormed(t *testing.T) {
	evil, nan := "<script>alert('x')</script>&\x00\xff\"", math.NaN()
	line := Line{Name: evil, Points: []Point{{0, 1}, {1000, nan}, {2000, math.Inf(1)}, {3000, 5}}, Low: []float64{0, nan, nan, 4},
		High: []float64{2, nan, nan, 6}}
	barred := line
	barred.Bars, barred.Dots, barred.Dashed, barred.Color = true, true, true, 99
	for name, draw := range map[string]func() string{
		"lines": Chart{Title: evil, X: Axis{Label: "t", Scale: Clock}, Y: Axis{Label: "y"}, Lines: []Line{line, barred},
			Shades: []Shade{{500, 2500, evil}, {600, 9e9, "B"}}, Levels: []Level{{3, evil, 1}}}.SVG,
		"stack": Chart{StackX: []float64{0, 1, 2}, Stack: []Area{{"a", []float64{1, 2, 3}, 0}, {"b", []float64{3, 2, 1}, 1}}}.SVG,
		"tail":  Chart{X: Axis{Scale: Tail}, Y: Axis{Scale: Log}, Lines: []Line{{Name: "l", Points: []Point{{0, 1}, {0.99, 900}}}}}.SVG,
		"empty": Chart{}.SVG,
		"one":   Chart{Lines: []Line{{Points: []Point{{1, 1}}}}}.SVG,
		"bars":  Bars{Names: []string{evil}, Groups: []Group{{evil, []float64{0.5}, 0}}}.SVG,
		"heat": Heat{Rows: []string{evil}, Edges: []float64{0, 1, 2}, Cells: [][]float64{{nan, 9}}, Top: 1, Over: "o",
			Shades: []Shade{{0.5, 1, "A"}}}.SVG,
		"named heat": Heat{Rows: []string{"r"}, Columns: []string{evil}, Cells: [][]float64{{0.25}}, Top: 1, Scale: Percent}.SVG,
	} {
		svg := draw()
		require.Equal(t, svg, draw(), name)
		require.NotContains(t, svg, "<script", name)
		require.NotContains(t, svg, "NaN", name)
		require.NotContains(t, svg, "Inf", name)
		all := texts(t, svg)
		if name == "lines" {
			require.Contains(t, all, "<script>alert('x')</script>&??")
		}
		if name == "named heat" {
			require.Contains(t, all, "25%")
		}
	}
}

// Guards axes against marks that are missing, crowded, out of place or cannot be told apart.
func TestTicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Axis{Scale: rapid.SampledFrom([]Scale{Linear, Log, Clock, Percent, Tail}).Draw(t, "scale")}
		from, length := 0.0, rapid.Float64Range(1, 1e8).Draw(t, "length")
		switch a.Scale {
		case Log:
			from, length = rapid.Float64Range(-3, 6).Draw(t, "from"), rapid.Float64Range(0.4, 8).Draw(t, "decades")
		case Tail:
			length = rapid.Float64Range(0.4, 5).Draw(t, "nines")
		}
		last, labels := math.Inf(-1), map[string]bool{}
		for _, m := range a.ticks(from, from+length) {
			require.Greater(t, m.Value, last)
			require.True(t, m.Value >= from-1e-9 && m.Value <= from+length+1e-6*length)
			if last = m.Value; m.Label != "" {
				require.False(t, labels[m.Label], m.Label)
				labels[m.Label] = true
			}
		}
		require.NotEmpty(t, labels)
		require.LessOrEqual(t, len(labels), 14)
	})
	require.Equal(t, "1:30", clock(90_000, 10_000))
	require.Equal(t, "2:05 h", clock(7_500_000, 3_600_000))
}
