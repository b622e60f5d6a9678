package report

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/report/chart"
)

//go:embed page.html
var files embed.FS

// pages makes HTML that is also well-formed XML. All that varies is escaped but the charts, which escape their own text.
var pages = template.Must(template.New("").Funcs(template.FuncMap{
	"num": number, "pct": percent, "ms": millis, "clock": clock, "rfc": func(t time.Time) string { return t.Format(time.RFC3339) },
	"join": func(words []string) string { return strings.Join(words, " ") }, "clean": chart.Printable, "value": value,
	"cell": func(v float64, unit string) string { return strings.TrimSuffix(value(v, unit), " "+unit) },
	"inc":  func(n int) int { return n + 1 },
}).ParseFS(files, "page.html"))

// number writes a figure with as many places as tell something.
func number(v float64) string {
	if size := math.Abs(v); size < 1000 && v != math.Trunc(v) {
		places := 1
		if size < 10 {
			places = 4
		} else if size < 100 {
			places = 2
		}
		return strconv.FormatFloat(v, 'f', places, 64)
	}
	s := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	if v < 0 {
		s = "-" + s
	}
	return s
}

func percent(v float64) string { return strconv.FormatFloat(100*v, 'f', 1, 64) + "%" }

// millis writes a time in milliseconds.
func millis(v float64) string {
	if v >= 100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', 1, 64)
}

// clock writes a time of the day.
func clock(ms float64) string {
	s := ms / 1000
	return fmt.Sprintf("%d:%04.1f", int(s)/60, s-float64(int(s)/60*60))
}

// value writes a figure of a unit.
func value(v float64, unit string) string {
	switch unit {
	case "%":
		return percent(v)
	case "":
		return number(v)
	}
	return number(v) + " " + unit
}

// runPage is one run as the page shows it.
type runPage struct {
	*run
	Charts     struct{ Service, Latency, Raters, Resources []Figure }
	RaterRows  []raterRow
	MoreRaters int
	NodeRows   []nodeRow
	MoreNodes  int
	Rules      []ruleRow
	Dropped    int // verdicts that are counted and not listed
}

type raterRow struct {
	referee.RaterFigures
	Share, Able float64 // of the work sent, and of what could be done; -1 where they are not known by rater
}

// MeanLatency is that of its answers; none is 0.
func (r raterRow) MeanLatency() float64 {
	return r.Latency / float64(max(r.Served+r.Turned+r.Failed, 1))
}

type nodeRow struct {
	Name string
	referee.NodeFigures
}

// CPUSeconds is its processor time.
func (n nodeRow) CPUSeconds() float64 { return n.CPUMillis / 1000 }

type ruleRow struct {
	Rule   referee.Rule
	Broken int
}

// mostTableRows is how many raters and nodes a table lists.
const mostTableRows = 64

func (r *run) page() (*runPage, error) {
	p := &runPage{run: r}
	tails, err := latency([]*Trace{r.Trace}, []string{""})
	if err != nil {
		return nil, err
	}
	p.Charts.Service = []Figure{service([]chart.Line{r.serviceLine("worth earned", 0)}, r.Trace), r.ends(0, r.busiest())}
	p.Charts.Latency = []Figure{tails, r.slow()}
	p.Charts.Raters = []Figure{r.shares(), r.heat(0)}
	var sets [3][]chart.Line
	resources(r.Trace, "", false, &sets)
	p.Charts.Resources = resourceFigures(r.Trace, &sets)
	p.tables()
	return p, nil
}

// tables fills in the rows of the tables.
func (p *runPage) tables() {
	j := p.Judgement
	offered, able, allOffered, allAble := p.Load.totals()
	byRater := len(offered) == len(j.Raters)
	for i, f := range j.Raters {
		row := raterRow{RaterFigures: f, Share: -1}
		if byRater {
			row.Share, row.Able = offered[i]/max(allOffered, 1e-9), able[i]/max(allAble, 1e-9)
		}
		p.RaterRows = append(p.RaterRows, row)
	}
	for i, f := range j.Nodes {
		p.NodeRows = append(p.NodeRows, nodeRow{nodeName(i), f})
	}
	if n := len(p.RaterRows); n > mostTableRows {
		p.RaterRows, p.MoreRaters = p.RaterRows[:mostTableRows], n-mostTableRows
	}
	if n := len(p.NodeRows); n > mostTableRows {
		p.NodeRows, p.MoreNodes = p.NodeRows[:mostTableRows], n-mostTableRows
	}
	for _, rule := range referee.Rules {
		p.Rules = append(p.Rules, ruleRow{rule, j.Broken[rule]})
	}
	p.Dropped = j.BrokenRules() - len(j.Verdicts)
}

// write makes a page, whole or not at all.
func write(w io.Writer, page string, data any) error {
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, page, data); err != nil {
		return fmt.Errorf("the page %q: %w", page, err)
	}
	_, err := b.WriteTo(w)
	return err
}

// WriteHTML writes the report as one page that needs no other file.
func (r *Report) WriteHTML(w io.Writer) error {
	data := struct {
		*Report
		Mean  Interval
		Pages []*runPage
	}{Report: r}
	var g []float64
	for _, run := range r.runs() {
		p, err := run.page()
		if err != nil {
			return fmt.Errorf("seed %d: %w", run.Seed, err)
		}
		data.Pages, g = append(data.Pages, p), append(g, run.G)
	}
	data.Mean = IntervalOf(g)
	return write(w, "report", data)
}

// pairPage is two runs of one seed as the page shows them.
type pairPage struct {
	Seed   uint64
	Shared []Figure    // both in each
	Own    [2][]Figure // side by side
}

// halfWidth is that of charts that stand side by side, in points.
const halfWidth = 420

// WriteHTML writes the comparison as one page that needs no other file.
func (c *Comparison) WriteHTML(w io.Writer) error {
	type bySeed struct {
		Seed       uint64
		A, B, Diff float64
	}
	data := struct {
		*Comparison
		Pairs []*pairPage
		ByG   []bySeed
	}{Comparison: c}
	for _, seed := range c.Seeds {
		a, b := c.A.run(seed), c.B.run(seed)
		if a == nil || b == nil {
			return fmt.Errorf("seed %d is not in both reports", seed)
		}
		data.ByG = append(data.ByG, bySeed{seed, a.G, b.G, b.G - a.G})
		pair := &pairPage{Seed: seed}
		tails, err := latency([]*Trace{a.Trace, b.Trace}, []string{", A", ", B"})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		var sets [3][]chart.Line
		resources(a.Trace, "A, ", false, &sets)
		resources(b.Trace, "B, ", true, &sets)
		pair.Shared = append([]Figure{service([]chart.Line{a.serviceLine("A", 0), b.serviceLine("B", 1)}, a.Trace), tails},
			resourceFigures(a.Trace, &sets)...)
		for i, run := range []*run{a, b} {
			pair.Own[i] = []Figure{run.ends(halfWidth, max(a.busiest(), b.busiest())), run.heat(halfWidth)}
		}
		data.Pairs = append(data.Pairs, pair)
	}
	return write(w, "comparison", data)
}

// matrixPage is one table of a matrix as the page shows it.
type matrixPage struct {
	*MatrixTable
	Figures []Figure
	Means   [][]Interval
	Counts  [][]int
}

// WriteHTML writes the sweep as one page that needs no other file.
func (m *Matrix) WriteHTML(w io.Writer) error {
	data := struct {
		*Matrix
		Tables []*matrixPage
	}{Matrix: m}
	for i := range m.Metrics {
		t := &m.Metrics[i]
		p := &matrixPage{MatrixTable: t, Figures: []Figure{m.lines(t), m.table(t)}}
		for _, row := range t.Cells {
			var means []Interval
			var counts []int
			for _, values := range row {
				means, counts = append(means, IntervalOf(values)), append(counts, len(values))
			}
			p.Means, p.Counts = append(p.Means, means), append(p.Counts, counts)
		}
		data.Tables = append(data.Tables, p)
	}
	return write(w, "matrix", data)
}
