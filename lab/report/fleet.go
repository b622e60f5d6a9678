package report

import (
	"fmt"
	"io"

	"linenwheel.dev/linenwheel/lab/report/chart"
)

// Fleet is what all nodes of a day together took of each rater and of the list's service, by the second.
type Fleet struct {
	Title   string        `json:"title"`
	About   string        `json:"about,omitempty"`
	Seed    uint64        `json:"seed"`
	Play    []string      `json:"play"` // the command that plays it again
	G       float64       `json:"g"`
	Broken  int           `json:"broken"`
	Length  float64       `json:"length_s"`
	Raters  []string      `json:"raters"`
	Strikes []FleetStrike `json:"troubles,omitempty"`
	Seconds []FleetSecond `json:"seconds"`
}

// FleetStrike is a trouble's time.
type FleetStrike struct {
	Letter string  `json:"letter"`
	Kind   string  `json:"kind"`
	From   float64 `json:"from_s"`
	To     float64 `json:"to_s"` // the day's end, if it stays for good
}

// FleetSecond is a second of it. Slices are by rater.
type FleetSecond struct {
	At         float64   `json:"at_s"`
	NodesUp    int       `json:"nodes_up"`
	Blind      int       `json:"blind"`   // nodes without a watch where the list must be asked for
	First      int       `json:"first"`   // sends of requests that had not been sent before
	Further    int       `json:"further"` // and of those that had
	ListCalls  int       `json:"list_calls"`
	ListFailed int       `json:"list_failed"`
	Alike      float64   `json:"alike"` // largest part of the nodes that joined or left one rater
	Sends      []int     `json:"sends"`
	Opened     []int     `json:"opened"`   // connections
	Held       []int     `json:"held"`     // at the second's end
	Refused    []int     `json:"refused"`  // attempts turned away
	Missed     []int     `json:"missed"`   // attempts that found no connection
	ColdUse    []float64 `json:"cold_use"` // of the budget of a cold one, 0 where it is warm
}

func sum(list []int) (n float64) {
	for _, v := range list {
		n += float64(v)
	}
	return n
}

// lines draws figures of the seconds over the day.
func (f *Fleet) lines(title, label string, scale chart.Scale, names []string, of ...func(*FleetSecond) float64) Figure {
	c := chart.Chart{Title: title, X: chart.Axis{Scale: chart.Clock, Max: f.Length * 1000}, Y: chart.Axis{Label: label, Scale: scale}}
	for i, name := range names {
		line := chart.Line{Name: name, Color: i}
		for k := range f.Seconds {
			s := &f.Seconds[k]
			line.Points = append(line.Points, chart.Point{X: (s.At + 0.5) * 1000, Y: of[i](s)})
		}
		c.Lines = append(c.Lines, line)
	}
	for _, t := range f.Strikes {
		c.Shades = append(c.Shades, chart.Shade{From: t.From * 1000, To: t.To * 1000, Label: t.Letter})
	}
	return figure(title, "", c.SVG())
}

// heat draws a figure of each rater over the day.
func (f *Fleet) heat(title, legend string, top float64, of func(s *FleetSecond, rater int) float64) Figure {
	h := chart.Heat{Title: title, X: chart.Axis{Scale: chart.Clock}, Rows: f.Raters, Top: top, Legend: legend}
	for k := range f.Seconds {
		h.Edges = append(h.Edges, f.Seconds[k].At*1000)
	}
	h.Edges = append(h.Edges, f.Seconds[len(f.Seconds)-1].At*1000+1000)
	for i := range f.Raters {
		row := make([]float64, len(f.Seconds))
		for k := range f.Seconds {
			row[k] = of(&f.Seconds[k], i)
			if top == 0 {
				h.Top = max(h.Top, row[k])
			}
		}
		h.Cells = append(h.Cells, row)
	}
	h.Top = max(h.Top, 1e-9)
	return figure(title, legend, h.SVG())
}

// WriteHTML writes it as one page that needs no other file.
func (f *Fleet) WriteHTML(w io.Writer) error {
	if len(f.Seconds) == 0 {
		return fmt.Errorf("%s, seed %d: no second was counted", f.Title, f.Seed)
	}
	count := func(of func(*FleetSecond) []int) func(*FleetSecond, int) float64 {
		return func(s *FleetSecond, i int) float64 { return float64(of(s)[i]) }
	}
	data := struct {
		*Fleet
		All, Each []Figure
	}{Fleet: f}
	data.All = []Figure{
		f.lines("Nodes", "nodes", chart.Linear, []string{"up", "without a watch of the list"},
			func(s *FleetSecond) float64 { return float64(s.NodesUp) }, func(s *FleetSecond) float64 { return float64(s.Blind) }),
		f.lines("Attempts", "a second", chart.Linear, []string{"first", "further", "turned away", "no connection"},
			func(s *FleetSecond) float64 { return float64(s.First) }, func(s *FleetSecond) float64 { return float64(s.Further) },
			func(s *FleetSecond) float64 { return sum(s.Refused) }, func(s *FleetSecond) float64 { return sum(s.Missed) }),
		f.lines("Connections to raters", "connections", chart.Linear, []string{"held", "opened a second"},
			func(s *FleetSecond) float64 { return sum(s.Held) }, func(s *FleetSecond) float64 { return sum(s.Opened) }),
		f.lines("Calls for the list", "a second", chart.Linear, []string{"all", "failed"},
			func(s *FleetSecond) float64 { return float64(s.ListCalls) }, func(s *FleetSecond) float64 { return float64(s.ListFailed) }),
		f.lines("Nodes that joined or left one rater within a second", "of all nodes", chart.Percent, []string{"most"},
			func(s *FleetSecond) float64 { return s.Alike }),
	}
	data.Each = []Figure{
		f.heat("Sends", "a second", 0, count(func(s *FleetSecond) []int { return s.Sends })),
		f.heat("Connections held", "at the second's end", 0, count(func(s *FleetSecond) []int { return s.Held })),
		f.heat("Connections opened", "a second", 0, count(func(s *FleetSecond) []int { return s.Opened })),
		f.heat("Attempts turned away or without a connection", "a second", 0, func(s *FleetSecond, i int) float64 {
			return float64(s.Refused[i] + s.Missed[i])
		}),
		f.heat("Use of a cold rater's budget", "1: what pushes it over", 1, func(s *FleetSecond, i int) float64 { return s.ColdUse[i] }),
	}
	return write(w, "fleet", data)
}
