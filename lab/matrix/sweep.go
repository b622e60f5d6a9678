package matrix

import (
	"slices"

	"linenwheel.dev/linenwheel/lab/report"
)

// scales are what a cell may change, by name.
var scales = []struct {
	name string
	of   func(Cell) float64
}{
	{"nodes", func(c Cell) float64 { return float64(c.Nodes) }},
	{"raters", func(c Cell) float64 { return float64(c.Raters) }},
	{"load", func(c Cell) float64 { return c.Load }},
	{"rate", func(c Cell) float64 { return c.Rate }},
	{"delay", func(c Cell) float64 { return c.Delay }},
	{"part", func(c Cell) float64 { return c.Part }},
}

// Sweeps gives, for each experiment of which exactly one scale was swept, the policies over that scale. texts are those of
// the experiments; play is the command line that plays it again.
func Sweeps(texts map[string]string, results []Result, play []string) (sweeps []*report.Matrix, err error) {
	var names []string
	of := map[string][]*Result{}
	for i := range results {
		n := results[i].Cell.Experiment
		if of[n] == nil {
			names = append(names, n)
		}
		of[n] = append(of[n], &results[i])
	}
	for _, n := range names {
		swept := -1
		for k, s := range scales {
			if first := s.of(of[n][0].Cell); slices.ContainsFunc(of[n], func(r *Result) bool { return s.of(r.Cell) != first }) {
				if swept >= 0 {
					swept = len(scales) // more than one
					break
				}
				swept = k
			}
		}
		if swept < 0 || swept == len(scales) {
			continue
		}
		m, err := sweep(n, swept, of[n])
		if err != nil {
			return nil, err
		}
		m.Text, m.Play = texts[n], play
		sweeps = append(sweeps, m)
	}
	return sweeps, nil
}

func sweep(name string, scale int, results []*Result) (*report.Matrix, error) {
	s := scales[scale]
	m := report.Matrix{Name: name, Scale: s.name, Log: scale < 2, About: "G and more over " + s.name}
	for _, r := range results {
		if at := s.of(r.Cell); !slices.Contains(m.At, at) {
			m.At = append(m.At, at)
		}
		if !slices.Contains(m.Rows, r.Cell.Policy) {
			m.Rows = append(m.Rows, r.Cell.Policy)
		}
	}
	slices.Sort(m.At)
	for _, r := range results[0].Runs {
		m.Seeds = append(m.Seeds, r.Seed)
	}
	for _, t := range []struct {
		name   string
		higher bool
		of     func(*Run) float64
	}{
		{"G", true, func(r *Run) float64 { return r.G }},
		{"rules broken", false, func(r *Run) float64 { return float64(r.BrokenRules()) }},
		{"attempts a request", false, func(r *Run) float64 { return float64(r.Attempts) / float64(max(r.Arrivals, 1)) }},
		{"unevenness of the raters' load", false, func(r *Run) float64 { return r.Uneven }},
	} {
		table := report.MatrixTable{Name: t.name, Higher: t.higher}
		for range m.Rows {
			table.Cells = append(table.Cells, make([][]float64, len(m.At)))
		}
		for _, r := range results {
			table.Cells[slices.Index(m.Rows, r.Cell.Policy)][slices.Index(m.At, s.of(r.Cell))] = r.Values(t.of)
		}
		m.Metrics = append(m.Metrics, table)
	}
	return report.NewMatrix(m)
}
