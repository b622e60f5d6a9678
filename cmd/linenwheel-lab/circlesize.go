package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/circle"
	"linenwheel.dev/linenwheel/lab/circle/size"
	"linenwheel.dev/linenwheel/lab/report/chart"
)

const sizeHelp = `Plays fleets of many nodes with five keepers in virtual time, and prints what time, bytes and memory come to by the number of
nodes. Exit status 1: a play was broken.

  linenwheel-lab circle size -to docs/measurements`

// demand is what fleets of all sizes are asked for.
type demand struct {
	name       string
	each, rate float64
}

var loads = []demand{{"2 calls a second a node", 2, 0}, {"300 calls a second in all", 0, 300}}

// played are the days that fleets are played with a demand: all with the first.
func (s *sizes) played(l int) (days []string) {
	for _, day := range s.days {
		if l == 0 || day == size.Calm {
			days = append(days, day)
		}
	}
	return days
}

func circleSizeCommand(to streams) *ffcli.Command {
	f := flagSet("linenwheel-lab circle size", to)
	nodes := f.String("nodes", "3,10,30,100,300", "`numbers` of nodes, separated by commas")
	seeds := f.String("seeds", "1", "`seeds`: 1,2 or 1-5; figures are their means")
	days := f.String("days", strings.Join(size.Days, ","), "`days`, separated by commas")
	atOnce := f.Bool("at-once", false, "nodes that start do not spread their first words")
	dir := f.String("to", "found/size", "`folder` of the page size.md and of its plots")
	return &ffcli.Command{Name: "size", ShortUsage: "linenwheel-lab circle size [flags]", LongHelp: sizeHelp, FlagSet: f,
		ShortHelp: "what a fleet of many nodes costs its keepers, in virtual time",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			s := sizes{ctx: ctx, dir: *dir, atOnce: *atOnce, days: strings.Split(*days, ",")}
			for _, day := range s.days {
				if !slices.Contains(size.Days, day) {
					return usage(fmt.Errorf("-days: %q is none of %s", day, strings.Join(size.Days, ", ")))
				}
			}
			for text := range strings.SplitSeq(*nodes, ",") {
				n, err := strconv.Atoi(text)
				if err != nil || n < 1 || n > 1000 {
					return usage(fmt.Errorf("-nodes: %q is no number from 1 to 1000", text))
				}
				s.nodes = append(s.nodes, n)
			}
			var err error
			if s.seeds, err = readSeeds(*seeds); err != nil {
				return usage(fmt.Errorf("-seeds: %w", err))
			}
			if err := os.MkdirAll(*dir, 0o755); err != nil {
				return err
			}
			if err := s.page(); err != nil {
				return err
			}
			if err := writeFile(filepath.Join(*dir, "size.md"), func(w io.Writer) error { _, err := w.Write(s.text.Bytes()); return err }); err != nil {
				return err
			}
			if _, err := to.out.Write(s.text.Bytes()); err != nil {
				return err
			}
			if s.broken > 0 {
				return errVerdict
			}
			return nil
		}}
}

// sizes is a page in the making.
type sizes struct {
	ctx    context.Context
	nodes  []int
	seeds  []uint64
	days   []string
	dir    string
	atOnce bool
	text   bytes.Buffer
	broken int
}

// sized is what a day of a size came to, as means over the seeds.
type sized struct {
	size.Result
	size.Cost
	ImageSize float64
}

// figure is a column of the tables.
type figure struct {
	name string
	of   func(*sized) float64
	form string
}

var sizeFigures = []figure{
	{"agreed 50% ms", func(s *sized) float64 { return s.Agree50 }, "%.1f"},
	{"99%", func(s *sized) float64 { return s.Agree99 }, "%.1f"},
	{"99%, nodes that ran before", func(s *sized) float64 { return s.Settled99 }, "%.1f"},
	{"question 99%", func(s *sized) float64 { return s.Read99 }, "%.1f"},
	{"KB/s nodes and keepers", func(s *sized) float64 { return s.NodeBytes / 1000 }, "%.1f"},
	{"KB/s between keepers", func(s *sized) float64 { return s.KeepBytes / 1000 }, "%.0f"},
	{"entries/s", func(s *sized) float64 { return s.EachSecond }, "%.0f"},
	{"KB/s of entries", func(s *sized) float64 { return s.EntryBytes / 1000 }, "%.1f"},
	{"image KB", func(s *sized) float64 { return s.ImageSize / 1000 }, "%.0f"},
	{"ledger's heap KB", func(s *sized) float64 { return s.Heap / 1000 }, "%.0f"},
	{"us a report about room", func(s *sized) float64 { return s.Room }, "%.0f"},
	{"about the policy", func(s *sized) float64 { return s.Policy }, "%.0f"},
	{"a name", func(s *sized) float64 { return s.Name }, "%.0f"},
	{"most words in 100 ms", func(s *sized) float64 { return float64(s.Peak) }, "%.0f"},
	{"before", func(s *sized) float64 { return s.Steady }, "%.0f"},
	{"first words spread over ms", func(s *sized) float64 { return s.Spread }, "%.0f"},
	{"all up after ms", func(s *sized) float64 { return s.Up }, "%.0f"},
	{"change took ms", func(s *sized) float64 { return s.Took }, "%.0f"},
	{"not answered", func(s *sized) float64 { return float64(s.Failed) }, "%.0f"},
	{"charges refused", func(s *sized) float64 { return float64(s.Refused) }, "%.0f"},
}

func (s *sizes) page() error {
	fmt.Fprintf(&s.text, `# A fleet's size, measured

    linenwheel-lab circle size -to docs/measurements          # writes this page and its plots

Fleets of %s nodes and five keepers in virtual time, seeds %s. The nodes decide with the module itself in `+"`lab/sim`"+` (as many raters
as the load wants); what they ask the keepers follows from the calls that came to each and from when each process began and ended, at the rhythm of
the nodes' adaptors with options that are not set. Time to agree does not go back into the first play. A keeper takes 0.05 ms for a request and
0.01 ms for a message, which is set; disks take 0.2 to 2.2 ms, links 0.1 to 0.6 ms. Bytes are those of the real encodings, frames included.
Microseconds are this machine's, of one command carried out on the state at the play's end.

Days: roll, a tenth of the nodes at a time; herd, two in three die at once and start at once; zone, a third of nodes and raters and
two keepers, the leader one of them, are lost for 4 s; cut, the same cannot reach the others for 3 s; change, a policy of 2 KB. Figures a second
are of the 8 s from its beginning on. "grows as" is the power of the number of nodes between the %d and the %d; what is above 1 grows faster than they do.
`, strings.Trim(fmt.Sprint(s.nodes), "[]"), strings.Trim(fmt.Sprint(s.seeds), "[]"), s.nodes[s.middle()], s.nodes[len(s.nodes)-1])
	results, err := s.play()
	if err != nil {
		return err
	}
	counts := map[string]int{}
	for l, load := range loads {
		for _, day := range s.played(l) {
			s.table(load, day, results[l][day])
			for i := range results[l][day] {
				for k, n := range results[l][day][i].Counts {
					counts[k] += n
				}
			}
		}
	}
	fmt.Fprint(&s.text, "\n## What was met\n\nAll plays together.\n\n")
	for _, k := range circle.Sorted(counts) {
		fmt.Fprintf(&s.text, "    %9d  %s\n", counts[k], k)
	}
	return s.plots(results)
}

func (s *sizes) middle() int { return (len(s.nodes) - 1) / 2 }

// play plays all of it, and then measures what only one may at a time.
func (s *sizes) play() ([]map[string][]sized, error) {
	type job struct {
		set size.Settings
		out *sized
	}
	var jobs []job
	results := make([]map[string][]sized, len(loads))
	for l := range loads {
		results[l] = map[string][]sized{}
		for _, day := range s.played(l) {
			results[l][day] = make([]sized, len(s.nodes))
		}
	}
	for i := len(s.nodes) - 1; i >= 0; i-- { // the long ones first
		for l, load := range loads {
			for _, day := range s.played(l) {
				for _, seed := range s.seeds {
					jobs = append(jobs, job{size.Settings{Seed: seed, Day: day, Nodes: s.nodes[i], Keepers: 5, Each: load.each, Rate: load.rate,
						Length: 12000, AtOnce: s.atOnce}, &results[l][day][i]})
				}
			}
		}
	}
	played := make([]*size.Result, len(jobs))
	errs := make([]error, len(jobs))
	next := make(chan int)
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := range next {
				rhythm, err := size.Record(jobs[i].set)
				if errs[i] = err; err == nil {
					played[i] = size.Play(jobs[i].set, rhythm)
				}
			}
		})
	}
	for i := range jobs {
		if s.ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	all.Wait()
	if err := errors.Join(append(errs, s.ctx.Err())...); err != nil {
		return nil, err
	}
	for i, r := range played {
		for _, b := range r.Broken {
			s.broken++
			fmt.Fprintf(&s.text, "\nBroken: %s of %d, seed %d: %s\n", r.Day, r.Nodes, r.Seed, b)
		}
		cost, err := size.Costs(r)
		if err != nil {
			return nil, err
		}
		one := sized{*r, cost, float64(len(r.Image))}
		one.Image = nil
		jobs[i].out.add(&one, 1/float64(len(s.seeds)))
		played[i] = nil
	}
	return results, nil
}

// add adds a part of another's figures; of what is counted the most, and of what was met all.
func (s *sized) add(o *sized, part float64) {
	s.Nodes = o.Nodes
	if s.Counts == nil {
		s.Counts = map[string]int{}
	}
	for k, n := range o.Counts {
		s.Counts[k] += n
	}
	for _, f := range []struct{ to, from *float64 }{{&s.Agree50, &o.Agree50}, {&s.Agree99, &o.Agree99}, {&s.Settled99, &o.Settled99}, {&s.Read99, &o.Read99},
		{&s.NodeBytes, &o.NodeBytes}, {&s.KeepBytes, &o.KeepBytes}, {&s.EachSecond, &o.EachSecond}, {&s.EntryBytes, &o.EntryBytes},
		{&s.ImageSize, &o.ImageSize}, {&s.Heap, &o.Heap}, {&s.Room, &o.Room}, {&s.Policy, &o.Policy}, {&s.Name, &o.Name}, {&s.Steady, &o.Steady},
		{&s.Spread, &o.Spread}, {&s.Up, &o.Up}, {&s.Took, &o.Took}} {
		*f.to += part * *f.from
	}
	for _, f := range []struct{ to, from *int }{{&s.Peak, &o.Peak}, {&s.Failed, &o.Failed}, {&s.Refused, &o.Refused}} {
		*f.to = max(*f.to, *f.from)
	}
}

// table prints a day: a row a size, and how each figure grows.
func (s *sizes) table(l demand, day string, rows []sized) {
	var used []figure
	for _, f := range sizeFigures {
		for i := range rows {
			if f.of(&rows[i]) > 0 {
				used = append(used, f)
				break
			}
		}
	}
	fmt.Fprintf(&s.text, "\n## %s, %s\n\n| nodes |", strings.ToUpper(day[:1])+day[1:], l.name)
	for _, f := range used {
		fmt.Fprintf(&s.text, " %s |", f.name)
	}
	fmt.Fprintf(&s.text, "\n|%s\n", strings.Repeat(" --- |", len(used)+1))
	for i := range rows {
		fmt.Fprintf(&s.text, "| %d |", s.nodes[i])
		for _, f := range used {
			fmt.Fprintf(&s.text, " "+f.form+" |", f.of(&rows[i]))
		}
		fmt.Fprintln(&s.text)
	}
	fmt.Fprint(&s.text, "| grows as |")
	for _, f := range used {
		small, large := &rows[s.middle()], &rows[len(rows)-1]
		fmt.Fprintf(&s.text, " %.2f |", size.Growth(f.of(small), f.of(large), small.Nodes, large.Nodes))
	}
	fmt.Fprintln(&s.text)
}

// plots draws time, bytes and memory against the number of nodes.
func (s *sizes) plots(results []map[string][]sized) error {
	type curve struct {
		name, day string
		load      int
		of        func(*sized) float64
	}
	for _, p := range []struct {
		name, title, label string
		curves             []curve
	}{
		{"time", "Time by nodes", "ms", []curve{
			{"to agree, calm, 50%", size.Calm, 0, sizeFigures[0].of}, {"99%", size.Calm, 0, sizeFigures[1].of},
			{"99%, calm, 300 calls/s in all", size.Calm, 1, sizeFigures[1].of}, {"99%, roll, nodes that ran before", size.Roll, 0, sizeFigures[2].of},
			{"99%, herd, nodes that ran before", size.Herd, 0, sizeFigures[2].of}, {"a herd is up", size.Herd, 0, func(s *sized) float64 { return s.Up }},
			{"a change of policy", size.Change, 0, func(s *sized) float64 { return s.Took }}}},
		{"bytes", "Bytes a second by nodes", "KB/s", []curve{
			{"nodes and keepers, calm", size.Calm, 0, sizeFigures[4].of}, {"between keepers, calm", size.Calm, 0, sizeFigures[5].of},
			{"nodes and keepers, 300 calls/s in all", size.Calm, 1, sizeFigures[4].of}, {"between keepers, 300 calls/s in all", size.Calm, 1, sizeFigures[5].of},
			{"between keepers, change", size.Change, 0, sizeFigures[5].of}}},
		{"memory", "Memory by nodes", "KB", []curve{
			{"image, calm", size.Calm, 0, sizeFigures[8].of}, {"the ledger's heap, calm", size.Calm, 0, sizeFigures[9].of},
			{"image, 300 calls/s in all", size.Calm, 1, sizeFigures[8].of}, {"the ledger's heap, 300 calls/s in all", size.Calm, 1, sizeFigures[9].of}}},
	} {
		c := chart.Chart{Title: p.title, X: chart.Axis{Label: "nodes", Scale: chart.Log}, Y: chart.Axis{Label: p.label, Scale: chart.Log}, Height: 300}
		for k, of := range p.curves {
			line := chart.Line{Name: of.name, Color: k, Dots: true}
			for i := range results[of.load][of.day] {
				if v := of.of(&results[of.load][of.day][i]); v > 0 { // none started, where there are few
					line.Points = append(line.Points, chart.Point{X: float64(s.nodes[i]), Y: v})
				}
			}
			if len(line.Points) > 0 {
				c.Lines = append(c.Lines, line)
			}
		}
		if len(c.Lines) == 0 {
			continue
		}
		if err := os.WriteFile(filepath.Join(s.dir, "size-"+p.name+".svg"), []byte(c.SVG()), 0o644); err != nil {
			return err
		}
		fmt.Fprintf(&s.text, "\n![%s](size-%s.svg)\n", p.title, p.name)
	}
	return nil
}
