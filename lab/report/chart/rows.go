package chart

import (
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Bars is horizontal bars: for each name one of every group, under each other.
type Bars struct {
	Title  string
	X      Axis
	Names  []string
	Groups []Group
	Width  float64 // points; 0 = 720
}

// Group is the bars of one colour, a value for each name.
type Group struct {
	Name   string
	Values []float64
	Color  int
}

const (
	barThick  = 8.0
	barGap    = 5.0
	axisRoom  = 34.0
	mostNames = 24 // characters of a row's name
)

// SVG draws it.
func (b Bars) SVG() string {
	high := newSpan()
	high.add(0)
	var entries []entry
	for _, g := range b.Groups {
		entries = append(entries, entry{g.Name, hue(g.Color), block})
		for _, v := range g.Values {
			high.add(v)
		}
	}
	p := rowsPlot(b.X, b.Names)
	p.X.Min, p.X.Max = high.ends(b.X)
	p.X.Tick.Marker = plot.TickerFunc(b.X.ticks)
	p.Add(bars{b})
	height := axisRoom + float64(len(b.Names))*(float64(len(b.Groups))*barThick+barGap)
	return render(b.Title, orElse(b.Width, 720), height, p, entries, 0)
}

// rowsPlot has a name for each row, the first at the top.
func rowsPlot(x Axis, names []string) *plot.Plot {
	p := newPlot(x, Axis{})
	p.Y.Min, p.Y.Max = -0.5, max(float64(len(names)), 1)-0.5
	var marks plot.ConstantTicks
	for i, n := range names {
		marks = append(marks, plot.Tick{Value: float64(len(names) - 1 - i), Label: short(Printable(n), mostNames)})
	}
	p.Y.Tick.Marker = marks
	p.Y.Tick.Length = 0
	p.Y.LineStyle.Width = 0
	return p
}

// bars draws them.
type bars struct{ Bars }

// Plot draws on the data's part of the canvas.
func (b bars) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	for _, m := range b.X.ticks(p.X.Min, p.X.Max) {
		c.StrokeLine2(draw.LineStyle{Color: faint, Width: 0.5}, toX(m.Value), c.Min.Y, toX(m.Value), c.Max.Y)
	}
	row := toY(1) - toY(0)
	thick := row * barThick / (vg.Length(len(b.Groups))*barThick + barGap)
	for i := range b.Names {
		y := toY(float64(len(b.Names)-1-i)) + thick*vg.Length(len(b.Groups))/2
		for _, g := range b.Groups {
			if v := g.Values[i]; v > 0 {
				end := min(toX(b.X.place(v)), c.Max.X)
				c.FillPolygon(pale(hue(g.Color), 0.8), rectangle(toX(0), y-thick+0.5, end, y-0.5))
			}
			y -= thick
		}
	}
}

func rectangle(x0, y0, x1, y1 vg.Length) []vg.Point {
	return []vg.Point{{X: x0, Y: y0}, {X: x1, Y: y0}, {X: x1, Y: y1}, {X: x0, Y: y1}}
}

// Heat is a table of colours: rows by name, columns along X. A NaN is grey: nothing there.
type Heat struct {
	Title  string
	X      Axis // of Edges; with Columns, only its label counts
	Rows   []string
	Edges  []float64 // of the columns, one more than there are
	Cells  [][]float64
	Top    float64 // the value of the darkest colour; above it is Over's
	Scale  Scale   // how values are written
	Legend string
	Over   string // what it means to lie above Top; empty: nothing does
	// Columns names columns that lie at no place of an axis. Their cells are wide and hold their values.
	Columns []string
	Shades  []Shade
	Width   float64 // points; 0 = 720
}

const (
	heatRow   = 13.0
	scaleRoom = 18.0
)

// SVG draws it.
func (h Heat) SVG() string {
	named := len(h.Columns) > 0
	edges, x := h.Edges, h.X
	if named {
		edges = make([]float64, len(h.Columns)+1)
		for i := range edges {
			edges[i] = float64(i)
		}
	}
	p := rowsPlot(x, h.Rows)
	p.X.Min, p.X.Max = 0, 1
	if len(edges) > 1 {
		p.X.Min, p.X.Max = x.place(edges[0]), x.place(edges[len(edges)-1])
	}
	p.X.Tick.Marker = plot.TickerFunc(x.ticks)
	if named {
		var marks plot.ConstantTicks
		for i, n := range h.Columns {
			marks = append(marks, plot.Tick{Value: float64(i) + 0.5, Label: short(Printable(n), mostNames)})
		}
		p.X.Tick.Marker, p.X.Tick.Length = marks, 0
	}
	p.Add(cells{h, edges, named})
	tall := heatRow
	if named {
		tall = 1.5 * heatRow
	}
	height := axisRoom + tall*float64(len(h.Rows))
	return renderUnder(h.Title, orElse(h.Width, 720), height, p, scaleRoom, h.scale)
}

// cells draws the table.
type cells struct {
	Heat
	edges []float64
	named bool
}

// Plot draws on the data's part of the canvas.
func (h cells) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	label := style(smallSize)
	label.XAlign, label.YAlign = text.XCenter, text.YCenter
	half := (toY(1) - toY(0)) / 2
	for i := range h.Rows {
		y := toY(float64(len(h.Rows) - 1 - i))
		for k := 0; k+1 < len(h.edges); k++ {
			v := h.Cells[i][k]
			x0, x1 := toX(h.X.place(h.edges[k])), toX(h.X.place(h.edges[k+1]))
			fill := h.color(v)
			c.FillPolygon(fill, rectangle(x0, y-half+0.25, x1, y+half-0.25))
			if h.named && !math.IsNaN(v) {
				label.Color = ink
				if luminance(fill) < 0.5 {
					label.Color = color.White
				}
				c.FillText(label, vg.Point{X: (x0 + x1) / 2, Y: y}, h.write(v))
			}
		}
	}
	layers{Chart{X: h.X, Shades: h.Shades}}.marks(c, toX)
}

// marks draws the shades' borders over a table that would hide them.
func (l layers) marks(c draw.Canvas, toX func(float64) vg.Length) {
	for _, s := range l.Shades {
		for _, x := range []float64{s.From, s.To} {
			if at := toX(l.X.place(x)); at > c.Min.X && at < c.Max.X {
				c.StrokeLine2(draw.LineStyle{Color: shadeInk, Width: 0.6, Dashes: []vg.Length{2, 2}}, at, c.Min.Y, at, c.Max.Y)
			}
		}
	}
}

func (h Heat) write(v float64) string {
	if h.Scale == Percent {
		return number(math.Round(1000*v)/10) + "%"
	}
	return number(v)
}

// The colours of a table from nothing to Top, and above.
var (
	ramp = []color.NRGBA{{0xf7, 0xfb, 0xff, 0xff}, {0xc6, 0xdb, 0xef, 0xff}, {0x6b, 0xae, 0xd6, 0xff},
		{0x21, 0x71, 0xb5, 0xff}, {0x08, 0x30, 0x6b, 0xff}}
	above = color.NRGBA{0xd9, 0x48, 0x01, 0xff}
)

func (h Heat) color(v float64) color.NRGBA {
	if math.IsNaN(v) {
		return nothing
	}
	if v > h.Top*(1+1e-9) && h.Over != "" {
		return above
	}
	return shadeOf(v / h.Top)
}

// shadeOf is the colour of a share of the ramp.
func shadeOf(share float64) color.NRGBA {
	at := max(0, min(share, 1)) * float64(len(ramp)-1)
	i := min(int(at), len(ramp)-2)
	part := at - float64(i)
	mix := func(a, b uint8) uint8 { return uint8(math.Round(float64(a)*(1-part) + float64(b)*part)) }
	a, b := ramp[i], ramp[i+1]
	return color.NRGBA{mix(a.R, b.R), mix(a.G, b.G), mix(a.B, b.B), 0xff}
}

func luminance(c color.NRGBA) float64 {
	return (0.2126*float64(c.R) + 0.7152*float64(c.G) + 0.0722*float64(c.B)) / 255
}

// scale draws what the colours mean, above the table: as much of it as has room.
func (h Heat) scale(c draw.Canvas) {
	sty := style(smallSize)
	sty.YAlign = text.YCenter
	x, y := c.Min.X+8, c.Max.Y-scaleRoom/2
	steps := 20
	if c.Max.X-c.Min.X < 500 {
		steps = 8
	}
	write := func(s string) {
		c.FillText(sty, vg.Point{X: x, Y: y}, s)
		x += sty.Width(s) + 5
	}
	swatch := func(fill color.NRGBA, width vg.Length) {
		c.FillPolygon(fill, rectangle(x, y-4, x+width, y+4))
		x += width
	}
	write(h.Legend + ":  " + h.write(0))
	for i := range steps {
		swatch(shadeOf((float64(i)+0.5)/float64(steps)), 6)
	}
	x += 5
	write(h.write(h.Top))
	for _, more := range []struct {
		name string
		fill color.NRGBA
	}{{h.Over, above}, {"nothing", nothing}} {
		if more.name == "" || x+25+sty.Width(more.name) > c.Max.X {
			continue
		}
		x += 8
		swatch(more.fill, 12)
		x += 5
		write(more.name)
	}
}
