package fleetscale

import (
	"fmt"
	"math"
	"strings"

	"linenwheel.dev/linenwheel/lab/report/chart"
)

// column is one figure of a result.
type column struct {
	Name   string
	Format string
	Value  func(*Result) float64
}

var columns = []column{
	{"all whole ms", "%.0f", func(r *Result) float64 { return r.ReadyMs }},
	{"in force 50% ms", "%.1f", func(r *Result) float64 { return r.InForceMs.P50 }},
	{"99%", "%.1f", func(r *Result) float64 { return r.InForceMs.P99 }},
	{"last", "%.1f", func(r *Result) float64 { return r.InForceMs.Max }},
	{"without one of three 99% ms", "%.1f", func(r *Result) float64 { return r.LostMs.P99 }},
	{"last", "%.1f", func(r *Result) float64 { return r.LostMs.Max }},
	{"all return ms", "%.0f", func(r *Result) float64 { return r.ReturnMs }},
	{"bytes/s a node", "%.0f", func(r *Result) float64 { return r.NodeBytes }},
	{"bytes a change a node", "%.0f", func(r *Result) float64 { return r.StormBytes }},
	{"core a node", "%.5f", func(r *Result) float64 { return r.NodeCPU }},
	{"cores of control", "%.3f", func(r *Result) float64 { return r.ControlCPU }},
	{"control MB", "%.1f", func(r *Result) float64 { return r.ControlMemory }},
	{"KB a node", "%.0f", func(r *Result) float64 { return r.NodeMemory }},
}

// Table gives the results as a table, with the power of the number of nodes by which each figure grows.
func Table(results []Result) string {
	var text strings.Builder
	text.WriteString("| nodes | raters |")
	for _, c := range columns {
		text.WriteString(" " + c.Name + " |")
	}
	text.WriteString("\n|" + strings.Repeat(" --- |", len(columns)+2) + "\n")
	for i := range results {
		r := &results[i]
		fmt.Fprintf(&text, "| %d | %d |", r.Nodes, r.Raters)
		for _, c := range columns {
			fmt.Fprintf(&text, " "+c.Format+" |", c.Value(r))
		}
		text.WriteString("\n")
	}
	text.WriteString("| grows as | |")
	for _, c := range columns {
		slope, deviation := Growth(results, c.Value)
		fmt.Fprintf(&text, " %.2f ± %.2f |", slope, deviation)
	}
	text.WriteString("\n")
	return text.String()
}

// Growth fits figure = a * nodes^slope and gives the slope with its standard error.
func Growth(results []Result, value func(*Result) float64) (slope, deviation float64) {
	var xs, ys []float64
	for i := range results {
		if v := value(&results[i]); v > 0 {
			xs, ys = append(xs, math.Log(float64(results[i].Nodes))), append(ys, math.Log(v))
		}
	}
	n := float64(len(xs))
	if n < 3 {
		return math.NaN(), math.NaN()
	}
	meanX, meanY := mean(xs), mean(ys)
	sxx, sxy := 0.0, 0.0
	for i := range xs {
		sxx += (xs[i] - meanX) * (xs[i] - meanX)
		sxy += (xs[i] - meanX) * (ys[i] - meanY)
	}
	slope = sxy / sxx
	rest := 0.0
	for i := range xs {
		off := ys[i] - meanY - slope*(xs[i]-meanX)
		rest += off * off
	}
	return slope, math.Sqrt(rest / (n - 2) / sxx)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Charts gives the plots of the results as SVG, by file name.
func Charts(results []Result) map[string]string {
	line := func(name string, color int, value func(*Result) float64) chart.Line {
		l := chart.Line{Name: name, Color: color, Dots: true}
		for i := range results {
			l.Points = append(l.Points, chart.Point{X: float64(results[i].Nodes), Y: value(&results[i])})
		}
		return l
	}
	draw := func(title, unit string, lines ...chart.Line) string {
		c := chart.Chart{Title: title, X: chart.Axis{Label: "nodes", Scale: chart.Log}, Y: chart.Axis{Label: unit}, Lines: lines, Height: 300}
		return c.SVG()
	}
	return map[string]string{
		"fleet-scale-time.svg": draw("From acknowledged to in force", "ms",
			line("50%", 0, func(r *Result) float64 { return r.InForceMs.P50 }), line("99%", 1, func(r *Result) float64 { return r.InForceMs.P99 }),
			line("99%, one of three lost", 2, func(r *Result) float64 { return r.LostMs.P99 })),
		"fleet-scale-control.svg": draw("Control processes at rest", "cores", line("all three", 0, func(r *Result) float64 { return r.ControlCPU })),
		"fleet-scale-bytes.svg":   draw("Bytes a node", "bytes a second", line("at rest", 0, func(r *Result) float64 { return r.NodeBytes })),
	}
}
