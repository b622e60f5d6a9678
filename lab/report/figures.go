package report

import (
	"fmt"
	"html/template"
	"math"
	"slices"
	"strconv"

	"linenwheel.dev/linenwheel/lab/quantiles"
	"linenwheel.dev/linenwheel/lab/report/chart"
)

// Figure is one chart with a line about it.
type Figure struct {
	Title string
	Note  string
	SVG   template.HTML
}

// figure wraps what chart has drawn: all text in it is escaped there.
func figure(title, note, svg string) Figure {
	return Figure{Title: title, Note: note, SVG: template.HTML(svg)}
}

// dayAxis is the time of the day.
func dayAxis(run *Trace) chart.Axis {
	return chart.Axis{Label: "time of the day, m:ss", Scale: chart.Clock, Max: run.end()}
}

// end is the end of what is drawn over time: the day's, or that of what came after it.
func (r *Trace) end() float64 {
	end := r.Day.Length
	if n := len(r.Rows); n > 0 {
		end = max(end, r.Rows[n-1].At+r.Rows[n-1].Length)
	}
	return end
}

func (r *Trace) shades() []chart.Shade {
	var shades []chart.Shade
	for _, t := range r.Day.Troubles {
		shades = append(shades, chart.Shade{From: t.From, To: max(t.To, t.From+r.Day.Length/200), Label: t.Label + " " + t.Kind})
	}
	return shades
}

// serviceLine is the share of the worth asked for that was earned, row by row.
func (r *Trace) serviceLine(name string, color int) chart.Line {
	l := chart.Line{Name: name, Color: color}
	for _, row := range r.Rows {
		share := math.NaN()
		if row.Asked > 0 {
			share = row.Earned / row.Asked
		}
		l.Points = append(l.Points, chart.Point{X: row.At + row.Length/2, Y: share})
	}
	return l
}

const serviceNote = "Share of the worth asked for by what was due in each stretch that was earned: answered within the aim, " +
	"or late at what is left of it. Troubles are shaded."

// service is service over time, of one run or of two.
func service(lines []chart.Line, run *Trace) Figure {
	c := chart.Chart{Title: "Service over time", X: dayAxis(run), Lines: lines, Shades: run.shades(),
		Y: chart.Axis{Label: "worth earned", Scale: chart.Percent, Min: 0, Max: 1}}
	return figure(c.Title, serviceNote, c.SVG())
}

// busiest is how many tries ended in the fullest second.
func (r *Trace) busiest() float64 {
	most := 0.0
	for _, row := range r.Rows {
		most = max(most, float64(row.Served+row.Refused+row.Failed)*1000/row.Length)
	}
	return most
}

// ends is how tries ended over time, up to a number of them a second.
func (r *Trace) ends(width, top float64) Figure {
	layers := []chart.Area{{Name: "served", Color: chart.Good}, {Name: "refused", Color: chart.Warning},
		{Name: "failed", Color: chart.Bad}}
	c := chart.Chart{Title: "How tries ended", X: dayAxis(r), Y: chart.Axis{Label: "tries a second", Max: 1.05 * top}, Shades: r.shades(),
		Width: width}
	for _, row := range r.Rows {
		c.StackX = append(c.StackX, row.At)
		for i, n := range []int{row.Served, row.Refused, row.Failed} {
			layers[i].Y = append(layers[i].Y, float64(n)*1000/row.Length)
		}
	}
	c.Stack = layers
	return figure(c.Title, "Tries by the second in which they ended: clients' own further tries included.", c.SVG())
}

// tailLine is a distribution: the latency within which a share of the requests was answered.
func tailLine(name string, q quantiles.Quantiles, color int) (chart.Line, error) {
	l := chart.Line{Name: fmt.Sprintf("%s (%d)", name, q.Count), Color: color}
	h, err := q.Decode()
	if err != nil || q.Count == 0 {
		return l, err
	}
	// Down to the share that a single request is.
	last := min(1-1/float64(q.Count), chart.TailEnd)
	const steps = 120
	for i := range steps + 1 {
		share := 1 - math.Pow(1-last, float64(i)/steps)
		l.Points = append(l.Points, chart.Point{X: share, Y: max(float64(h.ValueAtQuantile(100*share))/1000, 0.001)})
	}
	return l, nil
}

// latency is the distribution by class. The second report's lines are dashed, if there is one.
func latency(runs []*Trace, names []string) (Figure, error) {
	c := chart.Chart{Title: "Latency by class", X: chart.Axis{Label: "share of the served requests that were answered within",
		Scale: chart.Tail}, Y: chart.Axis{Label: "latency, ms", Scale: chart.Log}, Height: 260}
	for k, run := range runs {
		for i, class := range run.Latency {
			line, err := tailLine(class.Class+names[k], class.Latency, i)
			if err != nil {
				return Figure{}, fmt.Errorf("class %q: %w", class.Class, err)
			}
			line.Dashed = k > 0
			c.Lines = append(c.Lines, line)
		}
	}
	for i, class := range runs[0].Day.Classes {
		c.Levels = append(c.Levels, chart.Level{Y: class.Aim, Name: "aim of " + class.Name, Color: i})
	}
	return figure(c.Title, "From when a first try was due to its served answer, by whichever try.", c.SVG()), nil
}

// slow is the latency over time.
func (r *Trace) slow() Figure {
	c := chart.Chart{Title: "Latency over time", X: dayAxis(r), Y: chart.Axis{Label: "latency, ms", Scale: chart.Log},
		Shades: r.shades()}
	p50, p99 := chart.Line{Name: "p50", Color: 0}, chart.Line{Name: "p99", Color: 1}
	for _, row := range r.Rows {
		at, none := row.At+row.Length/2, math.NaN()
		if row.P50 == 0 {
			row.P50, row.P99 = none, none // nothing was served
		}
		p50.Points = append(p50.Points, chart.Point{X: at, Y: row.P50})
		p99.Points = append(p99.Points, chart.Point{X: at, Y: row.P99})
	}
	c.Lines = []chart.Line{p50, p99}
	return figure(c.Title, "All classes, by when a first try was due.", c.SVG())
}

// totals sums the load over the day: by name the work sent and what could have been done.
func (l Load) totals() (offered, able []float64, allOffered, allAble float64) {
	for i := range l.Names {
		o, a := 0.0, 0.0
		for k := range l.Offered[i] {
			o += l.Offered[i][k]
			a += l.Able[i][k]
		}
		offered, able = append(offered, o), append(able, a)
		allOffered, allAble = allOffered+o, allAble+a
	}
	return offered, able, allOffered, allAble
}

// shares holds the share of the work that each rater was sent against its share of what the fleet could do.
func (r *Trace) shares() Figure {
	offered, able, allOffered, allAble := r.Load.totals()
	work, can := chart.Group{Name: "share of the work sent", Color: 0}, chart.Group{Name: "share of what could be done", Color: 6}
	for i := range r.Load.Names {
		work.Values = append(work.Values, offered[i]/max(allOffered, 1e-9))
		can.Values = append(can.Values, able[i]/max(allAble, 1e-9))
	}
	b := chart.Bars{Title: "Share of each rater", X: chart.Axis{Label: "share of the fleet, over the day", Scale: chart.Percent},
		Names: r.Load.Names, Groups: []chart.Group{work, can}}
	return figure(b.Title, "What could be done is the true capacity while the rater took work: less while it was cold, slow or stood still.",
		b.SVG())
}

// A heat table has so many columns at most, each of so many milliseconds at least: within less, chance shows and no more.
const (
	mostColumns  = 75
	leastStretch = 2000
)

// heat is the load of each rater over time.
func (r *Trace) heat(width float64) Figure {
	l := r.Load
	step := (len(l.Edges) - 1 + mostColumns - 1) / mostColumns
	if len(l.Edges) > 2 {
		step = max(step, int(math.Ceil(leastStretch/(l.Edges[1]-l.Edges[0]))))
	}
	h := chart.Heat{Title: "Load of each rater over time", Width: width, X: dayAxis(r), Rows: l.Names, Top: 1, Scale: chart.Percent, Over: "more than it can do",
		Legend: "work sent, of what could be done", Shades: r.shades()}
	h.X.Max = r.Day.Length
	for i := 0; step > 0 && i < len(l.Edges)-1; i += step {
		h.Edges = append(h.Edges, l.Edges[i])
	}
	h.Edges = append(h.Edges, r.Day.Length)
	for i := range l.Names {
		var cells []float64
		for k := 0; step > 0 && k < len(l.Offered[i]); k += step {
			o, a := 0.0, 0.0
			for at := k; at < min(k+step, len(l.Offered[i])); at++ {
				o += l.Offered[i][at]
				a += l.Able[i][at]
			}
			switch {
			case a > 0:
				cells = append(cells, o/a)
			case o > 0:
				cells = append(cells, 10) // sent to one that can do nothing
			default:
				cells = append(cells, math.NaN())
			}
		}
		h.Cells = append(h.Cells, cells)
	}
	return figure(h.Title, "Grey: it did not run or drained, and nothing was sent. Troubles begin and end at the dashed lines.", h.SVG())
}

// mostNodeLines is how many nodes have a line each; more are drawn as their median with the span of all.
const mostNodeLines = 8

// resources are memory, descriptors and processor time of the nodes. Prefix goes before their names; dashed is for the
// second of two reports.
func resources(run *Trace, prefix string, dashed bool, sets *[3][]chart.Line) {
	of := func(n *NodeTimeline, k int) []float64 { return [][]float64{n.MemoryMB, n.Descriptors, n.Cores}[k] }
	for k := range sets {
		if len(run.Nodes) > mostNodeLines {
			sets[k] = append(sets[k], spanLine(run, prefix+"median and span of "+strconv.Itoa(len(run.Nodes))+" nodes", dashed,
				func(n *NodeTimeline) []float64 { return of(n, k) }))
			continue
		}
		for i := range run.Nodes {
			n := &run.Nodes[i]
			line := chart.Line{Name: prefix + n.Name, Color: i, Dashed: dashed}
			for s, at := range n.At {
				v := of(n, k)[s]
				if v < 0 {
					v = math.NaN()
				}
				line.Points = append(line.Points, chart.Point{X: at, Y: v})
			}
			sets[k] = append(sets[k], line)
		}
	}
}

// spanLine is the median of all nodes over time and the least and most of them.
func spanLine(run *Trace, name string, dashed bool, of func(*NodeTimeline) []float64) chart.Line {
	l := chart.Line{Name: name, Dashed: dashed}
	rows := run.Rows
	for k := range rows {
		var values []float64
		for i := range run.Nodes {
			n := &run.Nodes[i]
			for s, at := range n.At {
				if v := of(n)[s]; at >= rows[k].At && at < rows[k].At+rows[k].Length && v >= 0 {
					values = append(values, v)
				}
			}
		}
		if len(values) == 0 {
			continue
		}
		slices.Sort(values)
		l.Points = append(l.Points, chart.Point{X: rows[k].At + rows[k].Length/2, Y: values[len(values)/2]})
		l.Low, l.High = append(l.Low, values[0]), append(l.High, values[len(values)-1])
	}
	return l
}

// resourceFigures draws what resources has gathered.
func resourceFigures(run *Trace, sets *[3][]chart.Line) []Figure {
	var figures []Figure
	for k, f := range []struct{ title, axis, note string }{
		{"Memory", "MB", "Resident memory of each node's process."},
		{"Descriptors", "open descriptors", "Connections and files that each node holds open."},
		{"Processor time", "cores", "Processor time over time, of the last 4 s each."},
	} {
		c := chart.Chart{Title: f.title, X: dayAxis(run), Y: chart.Axis{Label: f.axis}, Height: 150, Lines: sets[k],
			Shades: run.shades()}
		figures = append(figures, figure(f.title, f.note, c.SVG()))
	}
	return figures
}

// lines draws a table of a matrix as lines with the interval over the seeds.
func (m *Matrix) lines(t *MatrixTable) Figure {
	x := chart.Axis{Label: m.Scale}
	if m.Log {
		x.Scale = chart.Log
	}
	y := chart.Axis{Label: t.axis()}
	if t.Unit == "%" {
		y.Scale = chart.Percent
	}
	c := chart.Chart{Title: t.Name, X: x, Y: y, Height: 280}
	for i, name := range m.Rows {
		l := chart.Line{Name: name, Color: i, Dots: true, Bars: len(m.Rows) > 3}
		for k, at := range m.At {
			in := IntervalOf(t.Cells[i][k])
			if len(t.Cells[i][k]) == 0 {
				in = Interval{math.NaN(), math.NaN(), math.NaN(), false}
			}
			l.Points = append(l.Points, chart.Point{X: at, Y: in.Mean})
			l.Low, l.High = append(l.Low, in.Low), append(l.High, in.High)
		}
		c.Lines = append(c.Lines, l)
	}
	return figure(t.Name, "Mean over the seeds and its interval of 95%.", c.SVG())
}

// table draws a table of a matrix as colours.
func (m *Matrix) table(t *MatrixTable) Figure {
	h := chart.Heat{Title: t.Name, X: chart.Axis{Label: m.Scale}, Rows: m.Rows, Legend: t.axis()}
	if t.Unit == "%" {
		h.Scale = chart.Percent
	}
	for _, at := range m.At {
		h.Columns = append(h.Columns, strconv.FormatFloat(at, 'g', 4, 64))
	}
	for i := range m.Rows {
		var cells []float64
		for k := range m.At {
			v := math.NaN()
			if len(t.Cells[i][k]) > 0 {
				v = IntervalOf(t.Cells[i][k]).Mean
				h.Top = max(h.Top, v)
			}
			cells = append(cells, v)
		}
		h.Cells = append(h.Cells, cells)
	}
	h.Top = orElse(h.Top, 1)
	return figure(t.Name+", table", "Means over the seeds.", h.SVG())
}

func (t *MatrixTable) axis() string {
	if t.Unit == "" || t.Unit == "%" {
		return t.Name
	}
	return t.Name + ", " + t.Unit
}

func orElse(v, other float64) float64 {
	if v == 0 {
		return other
	}
	return v
}
