// Package chart draws the charts of reports as SVG that stands alone: lines with bands or error bars, stacked areas,
// horizontal bars, heat tables, with stretches of time shaded and levels marked.
//
// Charts are described, not drawn step by step; gonum.org/v1/plot draws axes and text, this package the rest. The same
// chart gives the same bytes. Names may hold anything: all text is escaped. No I/O. A chart is as large as what it is
// handed; callers bound that.
package chart

import (
	"bytes"
	"fmt"
	"html"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Point is one value. A NaN in Y leaves a gap.
type Point struct{ X, Y float64 }

// Line is values over X.
type Line struct {
	Name   string
	Points []Point
	// Low and High, if set, hold an interval for each point: a band, or bars where Bars is set.
	Low, High []float64
	Bars      bool
	Dots      bool
	Dashed    bool
	Color     int // place in the palette
}

// Area is one layer of a stack, a value for each X of the chart's Stack. Layers lie on each other in order.
type Area struct {
	Name  string
	Y     []float64
	Color int
}

// Shade marks a stretch of X.
type Shade struct {
	From, To float64
	Label    string // a letter or two
}

// Level is a horizontal line at a value.
type Level struct {
	Y     float64
	Name  string
	Color int
}

// Chart is one chart. All lengths are points of a 1/72 inch.
type Chart struct {
	Title         string
	X, Y          Axis
	Width, Height float64 // 0 = 720 by 230

	Lines  []Line
	StackX []float64 // where the layers of Stack have their values; each lasts until the next
	Stack  []Area
	Shades []Shade
	Levels []Level
}

// Palette is what Color counts in: colours that stay apart for most colour-blind eyes (Okabe and Ito), the darker first.
// It begins again at its end.
var Palette = []color.NRGBA{
	{0x00, 0x72, 0xb2, 0xff}, {0xd5, 0x5e, 0x00, 0xff}, {0x00, 0x9e, 0x73, 0xff}, {0xcc, 0x79, 0xa7, 0xff},
	{0xe6, 0x9f, 0x00, 0xff}, {0x56, 0xb4, 0xe9, 0xff}, {0x55, 0x55, 0x55, 0xff}, {0x8c, 0x56, 0x4b, 0xff},
}

// The colours of what charts say again and again.
const (
	Good    = 2
	Warning = 4
	Bad     = 1
)

var (
	ink      = color.NRGBA{0x22, 0x22, 0x22, 0xff}
	faint    = color.NRGBA{0xe4, 0xe4, 0xe4, 0xff}
	shadeInk = color.NRGBA{0x99, 0x33, 0x00, 0xff}
	shadeFil = color.NRGBA{0xf2, 0xd9, 0xc4, 0xff}
	nothing  = color.NRGBA{0xd0, 0xd0, 0xd0, 0xff}
)

func hue(i int) color.NRGBA { return Palette[i%len(Palette)] }

// pale is a colour on white, nearly all of it white; no transparency, so that overlaps stay readable in print.
func pale(c color.NRGBA, share float64) color.NRGBA {
	mix := func(v uint8) uint8 { return uint8(math.Round(255 - (255-float64(v))*share)) }
	return color.NRGBA{mix(c.R), mix(c.G), mix(c.B), 0xff}
}

// style is text of a size.
func style(size float64) text.Style {
	return text.Style{Color: ink, Font: font.From(font.Font{Typeface: "Liberation", Variant: "Sans"}, vg.Length(size)),
		Handler: plot.DefaultTextHandler}
}

const (
	textSize   = 9
	smallSize  = 8
	legendRow  = 14
	shadeRow   = 11
	mostLevels = 3 // rows of labels of shades
)

// newPlot has the house style.
func newPlot(x, y Axis) *plot.Plot {
	p := plot.New()
	p.BackgroundColor = color.White
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Label.TextStyle = with(style(textSize), a.Label.TextStyle)
		a.Tick.Label = with(style(smallSize), a.Tick.Label)
		a.LineStyle.Width, a.LineStyle.Color = 0.7, ink
		a.Tick.LineStyle = a.LineStyle
		a.Tick.Length = 3
		a.Padding = 0
	}
	p.X.Label.Text, p.Y.Label.Text = x.Label, y.Label
	return p
}

// with takes font and colour from one style and the rest (rotation, alignment) from another.
func with(looks, rest text.Style) text.Style {
	rest.Font, rest.Color, rest.Handler = looks.Font, looks.Color, looks.Handler
	return rest
}

// SVG draws it.
func (c Chart) SVG() string {
	width, height := orElse(c.Width, 720), orElse(c.Height, 230)
	p := newPlot(c.X, c.Y)
	c.setRange(p)
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.TickerFunc(c.X.ticks), plot.TickerFunc(c.Y.ticks)
	var entries []entry
	for _, a := range c.Stack {
		entries = append(entries, entry{a.Name, hue(a.Color), block})
	}
	for _, l := range c.Lines {
		how := stroke
		if l.Dashed {
			how = dashes
		}
		entries = append(entries, entry{l.Name, hue(l.Color), how})
	}
	for _, l := range c.Levels {
		entries = append(entries, entry{l.Name, hue(l.Color), dots})
	}
	p.Add(layers{c})
	return render(c.Title, width, height, p, entries, c.shadeRows())
}

// setRange makes the axes hold all that is drawn.
func (c Chart) setRange(p *plot.Plot) {
	x, y := newSpan(), newSpan()
	for _, l := range c.Lines {
		for i, pt := range l.Points {
			x.add(c.X.place(pt.X))
			y.add(c.Y.place(pt.Y))
			if l.Low != nil {
				y.add(c.Y.place(l.Low[i]))
				y.add(c.Y.place(l.High[i]))
			}
		}
	}
	sums := c.sums()
	for _, v := range c.StackX {
		x.add(c.X.place(v))
	}
	if len(sums) > 0 {
		y.add(c.Y.place(0))
		for _, v := range sums[len(sums)-1] {
			y.add(c.Y.place(v))
		}
	}
	for _, l := range c.Levels {
		y.add(c.Y.place(l.Y))
	}
	p.X.Min, p.X.Max = x.ends(c.X)
	p.Y.Min, p.Y.Max = y.ends(c.Y)
}

// sums is the upper edge of each layer of the stack.
func (c Chart) sums() [][]float64 {
	var sums [][]float64
	for i, a := range c.Stack {
		sum := make([]float64, len(c.StackX))
		for k := range sum {
			sum[k] = a.Y[k]
			if i > 0 {
				sum[k] += sums[i-1][k]
			}
		}
		sums = append(sums, sum)
	}
	return sums
}

// span is the range of what is drawn along an axis.
type span struct{ low, high float64 }

func newSpan() *span { return &span{math.Inf(1), math.Inf(-1)} }

func (s *span) add(v float64) {
	if !math.IsNaN(v) && !math.IsInf(v, 0) {
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
}

// ends is the range of the axis: the one that it names, or the data's with some room above.
func (s *span) ends(a Axis) (low, high float64) {
	if a.Min != a.Max {
		return a.place(a.Min), a.place(a.Max)
	}
	low, high = s.low, s.high
	switch {
	case low > high:
		return 0, 1
	case a.Scale == Log:
		return math.Floor(low*5) / 5, math.Ceil(high*5+1e-9) / 5
	case a.Scale == Clock || a.Scale == Tail:
	case low >= 0 && low < high/2:
		low, high = 0, high*1.05
	case low != high:
		low, high = low-(high-low)*0.05, high+(high-low)*0.05
	}
	if low == high {
		return low - 0.5, high + 0.5
	}
	return low, high
}

// layers draws what a chart holds.
type layers struct{ Chart }

// Plot draws on the data's part of the canvas.
func (l layers) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	at := func(x, y float64) vg.Point { return vg.Point{X: toX(l.X.place(x)), Y: toY(l.Y.place(y))} }
	l.shades(c, toX)
	grid(c, toY, l.Y.ticks(p.Y.Min, p.Y.Max))
	sums := l.sums()
	for i := range sums {
		l.layer(c, at, sums, i)
	}
	for _, v := range l.Levels {
		y := at(0, v.Y).Y
		c.StrokeLines(draw.LineStyle{Color: hue(v.Color), Width: 0.8, Dashes: []vg.Length{1, 2}},
			c.ClipLinesXY([]vg.Point{{X: c.Min.X, Y: y}, {X: c.Max.X, Y: y}})...)
	}
	for _, line := range l.Lines {
		line.band(c, at)
	}
	for _, line := range l.Lines {
		line.draw(c, at)
	}
}

// grid marks the ticks of Y across the chart.
func grid(c draw.Canvas, toY func(float64) vg.Length, marks []plot.Tick) {
	for _, m := range marks {
		c.StrokeLine2(draw.LineStyle{Color: faint, Width: 0.5}, c.Min.X, toY(m.Value), c.Max.X, toY(m.Value))
	}
}

// layer fills one layer of the stack, in steps.
func (l layers) layer(c draw.Canvas, at func(x, y float64) vg.Point, sums [][]float64, i int) {
	edge := func(of int) []vg.Point {
		var points []vg.Point
		for k, x := range l.StackX {
			end := x
			if k+1 < len(l.StackX) {
				end = l.StackX[k+1]
			} else if k > 0 {
				end = x + x - l.StackX[k-1]
			}
			y := 0.0
			if of >= 0 {
				y = sums[of][k]
			}
			points = append(points, at(x, y), at(end, y))
		}
		return points
	}
	outline := edge(i)
	for below := edge(i - 1); len(below) > 0; below = below[:len(below)-1] {
		outline = append(outline, below[len(below)-1])
	}
	c.FillPolygon(pale(hue(l.Stack[i].Color), 0.75), c.ClipPolygonXY(outline))
}

// runs splits a line at its gaps.
func (l Line) runs() [][]int {
	var runs [][]int
	var run []int
	for i, p := range l.Points {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) {
			if run != nil {
				runs, run = append(runs, run), nil
			}
			continue
		}
		run = append(run, i)
	}
	if run != nil {
		runs = append(runs, run)
	}
	return runs
}

// band fills the interval of a line, or draws it as bars.
func (l Line) band(c draw.Canvas, at func(x, y float64) vg.Point) {
	if l.Low == nil {
		return
	}
	for _, run := range l.runs() {
		var outline []vg.Point
		for _, i := range run {
			x := l.Points[i].X
			outline = append(outline, at(x, l.High[i]))
			if l.Bars {
				low, high := at(x, l.Low[i]), at(x, l.High[i])
				sty := draw.LineStyle{Color: hue(l.Color), Width: 1}
				c.StrokeLines(sty, c.ClipLinesXY([]vg.Point{low, high})...)
				for _, end := range []vg.Point{low, high} {
					c.StrokeLines(sty, c.ClipLinesXY([]vg.Point{{X: end.X - 2.5, Y: end.Y}, {X: end.X + 2.5, Y: end.Y}})...)
				}
			}
		}
		if l.Bars {
			continue
		}
		for k := len(run) - 1; k >= 0; k-- {
			outline = append(outline, at(l.Points[run[k]].X, l.Low[run[k]]))
		}
		c.FillPolygon(pale(hue(l.Color), 0.25), c.ClipPolygonXY(outline))
	}
}

func (l Line) draw(c draw.Canvas, at func(x, y float64) vg.Point) {
	sty := draw.LineStyle{Color: hue(l.Color), Width: 1.3}
	if l.Dashed {
		sty.Dashes = []vg.Length{4, 2}
	}
	for _, run := range l.runs() {
		var points []vg.Point
		for _, i := range run {
			points = append(points, at(l.Points[i].X, l.Points[i].Y))
		}
		c.StrokeLines(sty, c.ClipLinesXY(points)...)
		for _, pt := range points {
			if (l.Dots || len(points) == 1) && c.Contains(pt) {
				c.DrawGlyphNoClip(draw.GlyphStyle{Color: sty.Color, Radius: 2.2, Shape: draw.CircleGlyph{}}, pt)
			}
		}
	}
}

// shadeRows is how many rows of labels the shades need above the chart.
func (c Chart) shadeRows() int {
	rows := 0
	for _, row := range c.shadePlaces() {
		rows = max(rows, row+1)
	}
	return rows
}

// shadePlaces gives each shade's row of labels: the first one that is free where it begins.
func (c Chart) shadePlaces() []int {
	places := make([]int, len(c.Shades))
	var ends []float64
	for i, s := range c.Shades {
		row := 0
		for row < len(ends) && ends[row] > s.From {
			row++
		}
		if row == len(ends) {
			ends = append(ends, 0)
		}
		ends[row] = s.To
		places[i] = min(row, mostLevels-1)
	}
	return places
}

// shades marks stretches of X. Above the chart, each has a bar with its label, in a row of its own where they overlap.
func (l layers) shades(c draw.Canvas, toX func(float64) vg.Length) {
	places := l.shadePlaces()
	sty := style(smallSize)
	sty.Color, sty.YAlign = shadeInk, text.YCenter
	for i, s := range l.Shades {
		s.Label = Printable(s.Label)
		from, to := max(toX(l.X.place(s.From)), c.Min.X), min(toX(l.X.place(s.To)), c.Max.X)
		if to <= from {
			continue
		}
		c.FillPolygon(pale(shadeFil, 0.55), []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y},
			{X: from, Y: c.Max.Y}})
		bottom := c.Max.Y + 1 + vg.Length(places[i]*shadeRow)
		top := bottom + shadeRow - 1
		c.FillPolygon(shadeFil, []vg.Point{{X: from, Y: bottom}, {X: to, Y: bottom}, {X: to, Y: top}, {X: from, Y: top}})
		if room := to - from; sty.Width(s.Label)+3 > room {
			continue // too short for its label
		}
		c.FillText(sty, vg.Point{X: from + 2, Y: (bottom + top) / 2}, s.Label)
	}
}

// entry is one name of a legend.
type entry struct {
	name  string
	color color.NRGBA
	how   int
}

// How an entry's sample is drawn.
const (
	stroke = iota
	dashes
	dots
	block
)

// render draws a plot under its legend and gives the SVG.
func render(title string, width, height float64, p *plot.Plot, entries []entry, shadeRows int) string {
	rows := legendRows(entries, vg.Length(width))
	return renderUnder(title, width, height, p, float64(len(rows)*legendRow+shadeRows*shadeRow+4),
		func(c draw.Canvas) { legend(c, rows) })
}

// renderUnder draws a plot under a head of its own height.
func renderUnder(title string, width, height float64, p *plot.Plot, room float64, head func(draw.Canvas)) string {
	top := vg.Length(room)
	canvas := vgsvg.New(vg.Length(width), vg.Length(height)+top)
	whole := draw.New(canvas)
	whole.SetColor(color.White)
	whole.Fill(whole.Rectangle.Path())
	head(whole)
	// Ticks at the ends of the axes reach beyond the plot: some room for them.
	p.Draw(draw.Crop(whole, 2, -14, 2, -top))
	return finish(canvas, title)
}

// finish gives the SVG element of a canvas, fit to stand within HTML.
func finish(canvas *vgsvg.Canvas, title string) string {
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		panic(err) // a bytes.Buffer takes all
	}
	svg := b.String()
	svg = svg[max(0, strings.Index(svg, "<svg ")):]
	head, rest, _ := strings.Cut(svg, ">")
	// Where the font is missing, these have the same widths.
	rest = strings.ReplaceAll(rest, "font-family:Liberation Sans;font-variant:normal;font-weight:normal;font-style:normal;",
		"font-family:Liberation Sans,Arimo,Arial,Helvetica,sans-serif;")
	head = strings.ReplaceAll(head, "\n\t", " ")
	head = strings.Replace(head, ` xmlns:xlink="http://www.w3.org/1999/xlink"`, "", 1)
	return fmt.Sprintf("%s role=\"img\"><title>%s</title>%s", head, html.EscapeString(Printable(title)), rest)
}

// Printable drops what XML cannot hold.
func Printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' && r != '\t' && r != '\n' || r == 0xfffe || r == 0xffff || r == 0xfffd {
			return '?'
		}
		return r
	}, strings.ToValidUTF8(s, "?"))
}

const sampleWidth = 16

// legendRows lays the entries out in rows.
func legendRows(entries []entry, width vg.Length) [][]entry {
	var rows [][]entry
	x := width
	for _, e := range entries {
		if e.name == "" {
			continue
		}
		e.name = short(Printable(e.name), 40)
		w := entryWidth(e)
		if x+w > width-12 {
			rows, x = append(rows, nil), 0
		}
		rows[len(rows)-1] = append(rows[len(rows)-1], e)
		x += w
	}
	return rows
}

func entryWidth(e entry) vg.Length {
	sty := style(textSize)
	return sampleWidth + 4 + sty.Width(e.name) + 14
}

// short cuts a name that is too long for its place.
func short(s string, most int) string {
	if r := []rune(s); len(r) > most {
		return string(r[:most-1]) + "…"
	}
	return s
}

func legend(c draw.Canvas, rows [][]entry) {
	sty := style(textSize)
	sty.YAlign = text.YCenter
	for i, row := range rows {
		x, y := c.Min.X+8, c.Max.Y-vg.Length(i*legendRow)-legendRow/2-1
		for _, e := range row {
			switch e.how {
			case block:
				c.FillPolygon(pale(e.color, 0.75), []vg.Point{{X: x, Y: y - 4}, {X: x + sampleWidth, Y: y - 4},
					{X: x + sampleWidth, Y: y + 4}, {X: x, Y: y + 4}})
			default:
				line := draw.LineStyle{Color: e.color, Width: 1.6}
				switch e.how {
				case dashes:
					line.Dashes = []vg.Length{4, 2}
				case dots:
					line.Dashes = []vg.Length{1, 2}
				}
				c.StrokeLine2(line, x, y, x+sampleWidth, y)
			}
			c.FillText(sty, vg.Point{X: x + sampleWidth + 4, Y: y}, e.name)
			x += entryWidth(e)
		}
	}
}

func orElse(v, other float64) float64 {
	if v == 0 {
		return other
	}
	return v
}
