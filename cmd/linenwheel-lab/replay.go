package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/matrix"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/report"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/sim"
	"linenwheel.dev/linenwheel/lab/world"
)

const replayHelp = `Plays one day again in virtual time, with a trace of one request (by its id in hexadecimal, or "#" and the arrival's
number), one rater or one node. FILE is what sim -json wrote, from which -cell and -seed choose a day: that day must come
out as it did then. Or it is an experiment or a site, played with -policy.

  linenwheel-lab replay scale.json -cell 2 -seed 7 -rater 3 -from 10000 -upto 12000
  linenwheel-lab replay hang -seed 2 -policy two -request #812
  linenwheel-lab replay fleet-herd -seconds`

// replayFlags are the flags of replay.
type replayFlags struct {
	cell            int
	seed            uint64
	policy, request string
	record          string
	seconds         bool
	page            string
	trace           sim.Trace
}

func replayCommand(to streams) *ffcli.Command {
	p := replayFlags{}
	f := flagSet("linenwheel-lab replay", to)
	f.IntVar(&p.cell, "cell", 0, "which cell of the file, from 0")
	f.Uint64Var(&p.seed, "seed", 1, "which seed")
	f.StringVar(&p.policy, "policy", "linenwheel", "with an experiment: the policy")
	f.StringVar(&p.request, "request", "", "trace this request")
	f.IntVar(&p.trace.Rater, "rater", -1,
		"trace this rater: its true state and the nodes' view, each tenth of a second")
	f.IntVar(&p.trace.Node, "node", -1, "trace this node; with -rater: that node's view alone")
	f.BoolVar(&p.trace.Events, "events", false, "with -rater: each event there too")
	f.Float64Var(&p.trace.From, "from", 0, "ms of the day from which on")
	f.Float64Var(&p.trace.Upto, "upto", 0, "and up to which (0 = the end)")
	f.StringVar(&p.record, "record", "", "write what all parties saw to this file as JSON lines")
	f.BoolVar(&p.seconds, "seconds", false, "count over all nodes, by the second")
	f.StringVar(&p.page, "page", "", "write the same, and what each rater met, as a page (.html) or as JSON (.json)")
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "linenwheel-lab replay FILE|NAME [flags]",
		ShortHelp:  "play one day of sim again, with a trace",
		LongHelp:   replayHelp,
		FlagSet:    f,
		Exec: func(_ context.Context, args []string) error {
			name, err := singleName(f, args, "want one file, experiment or site")
			if err != nil {
				return err
			}
			return p.run(to, name)
		},
	}
}

// find reads the file or the experiment; then is the run as the file has it, nil without a file.
func (p *replayFlags) find(name string) (c matrix.Cell, open matrix.Source, then *matrix.Run, err error) {
	book := newBook()
	if text, err := os.ReadFile(name); err == nil && json.Valid(text) {
		f, err := readMatrix(name)
		if err != nil {
			return c, nil, nil, err
		}
		if p.cell < 0 || p.cell >= len(f.Results) {
			return c, nil, nil, fmt.Errorf("%s has %d cells, none is number %d", name, len(f.Results), p.cell)
		}
		r := &f.Results[p.cell]
		for i := range r.Runs {
			if r.Runs[i].Seed == p.seed {
				then = &r.Runs[i]
			}
		}
		if then == nil {
			return c, nil, nil, fmt.Errorf("%s: cell %d (%v) has no seed %d", name, p.cell, r.Cell, p.seed)
		}
		e, err := experiments.Parse(r.Cell.Experiment+".toml", f.Texts[r.Cell.Experiment], os.ReadFile)
		return r.Cell, func(string) (*experiments.Experiment, error) { return e, err }, then, err
	}
	_, err = book.open(name)
	return matrix.Cell{Experiment: name, Policy: p.policy}, book.open, nil, err
}

func (p *replayFlags) run(to streams, name string) (err error) {
	cell, open, then, err := p.find(name)
	if err != nil {
		return usage(err)
	}
	day, err := cell.Day(open, p.seed)
	if err != nil {
		return usage(err)
	}
	policy, err := rivals.ByName(cell.Policy)
	if err != nil {
		return usage(err)
	}
	t := &p.trace
	t.Out, t.Day = to.out, day
	if p.request != "" {
		t.One = true
		if _, err := fmt.Sscanf(p.request, "#%d", &t.Request); err != nil {
			if _, err := fmt.Sscanf(p.request, "%x", &t.Request); err != nil {
				return usage(fmt.Errorf("-request %q is neither an id nor #NUMBER", p.request))
			}
		}
	}
	fmt.Fprintf(to.out, "%v, seed %d: %d nodes, %d raters, %.1f requests/s, %.0f s\n", cell, p.seed, day.Nodes,
		day.AtStart, day.Rate, day.Length/1000)
	for i, tr := range day.Troubles {
		fmt.Fprintf(to.out, "trouble %d: %s %.0f..%.0f ms, raters %v nodes %v size %.2f share %.3f\n", i,
			tr.Kind, tr.From, tr.To, tr.Raters, tr.Nodes,
			tr.Size, tr.Share)
	}
	o := sim.Options{Policy: policy, Reports: matrix.Reports(cell.Policy), Watch: t.Watch, Follow: t,
		Count: p.seconds || p.page != ""}
	if p.record != "" {
		f, err := os.Create(p.record)
		if err != nil {
			return err
		}
		w := record.NewWriter(f, header(day, cell, open))
		o.Watch = func(e record.Event) {
			w.Add(e)
			t.Watch(e)
		}
		defer func() { err = errors.Join(err, w.Flush(), f.Close()) }()
	}
	out, err := sim.Play(day, o)
	if err != nil {
		return err
	}
	r := matrix.NewRun(p.seed, out)
	fmt.Fprintf(to.out, "G %.4f, digest %s, %d broken\n", r.G, r.Digest, r.BrokenRules())
	if p.seconds {
		printSeconds(to.out, out.Seconds)
	}
	if p.page != "" {
		page := fleet(day, cell, open, &r, out.Seconds)
		how := page.WriteHTML
		if strings.HasSuffix(p.page, ".json") {
			how = func(w io.Writer) error { return report.WriteJSON(w, page) }
		}
		if err := writeFile(p.page, how); err != nil {
			return err
		}
	}
	if then != nil && then.Digest != r.Digest {
		fmt.Fprintf(to.errs, "the file has digest %s and G %.4f: this program plays the day otherwise\n",
			then.Digest, then.G)
		return errVerdict
	}
	return nil
}

// fleet is what all nodes took, as a page has it.
func fleet(day *world.Day, cell matrix.Cell, open matrix.Source, r *matrix.Run, list []sim.Second) *report.Fleet {
	f := &report.Fleet{Title: cell.String(), Seed: day.Seed, G: r.G, Broken: r.BrokenRules(), Length: day.Length / 1000,
		Play: []string{"linenwheel-lab", "replay", cell.Experiment, "-seed", fmt.Sprint(day.Seed), "-policy", cell.Policy, "-page", "FILE.html"}}
	if e, err := open(cell.Experiment); err == nil {
		f.About = e.About
	}
	for i := range day.Raters {
		f.Raters = append(f.Raters, day.Raters[i].Name)
	}
	for i := range day.Troubles {
		t := &day.Troubles[i]
		f.Strikes = append(f.Strikes, report.FleetStrike{Letter: string(rune('a' + i%26)), Kind: t.Kind, From: t.From / 1000,
			To: min(t.To, day.Length) / 1000})
	}
	for i := range list {
		s := &list[i]
		one := report.FleetSecond{At: s.At, NodesUp: s.NodesUp, Blind: s.Blind, First: s.FirstSends, Further: s.Sends - s.FirstSends,
			ListCalls: s.ListCalls, ListFailed: s.ListFailed, Alike: s.Alike}
		for _, m := range s.Raters {
			one.Sends, one.Opened, one.Held = append(one.Sends, m.Sends), append(one.Opened, m.Opened), append(one.Held, m.Held)
			one.Refused, one.Missed = append(one.Refused, m.Refused), append(one.Missed, m.NoConnect)
			one.ColdUse = append(one.ColdUse, m.ColdUse)
		}
		f.Seconds = append(f.Seconds, one)
	}
	return f
}

// printSeconds prints what was counted over the fleet.
func printSeconds(w io.Writer, list []sim.Second) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "s\tnodes\tsends\tone rater\tfurther\topened\tone rater\theld\tone rater\tturned away\tno connect\treset\tcold use\talike\tlist calls\tfailed\tblind\t\n")
	for _, s := range list {
		fmt.Fprintf(t, "%.0f\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t\n", s.At, s.NodesUp, s.Sends,
			s.SendsMost, s.Further, s.Opened, s.OpenedMost, s.Held, s.HeldMost, s.Refused, s.NoConnect, s.Reset, s.ColdUse,
			s.Alike, s.ListCalls, s.ListFailed, s.Blind)
	}
	_ = t.Flush()
}

// header is that of a record of a day.
func header(day *world.Day, cell matrix.Cell, open matrix.Source) record.Header {
	h := record.Header{Site: day.Site.Name, Seed: day.Seed, Command: []string{cell.Policy}}
	if e, err := open(cell.Experiment); err == nil {
		h.Experiment = e.Text
	}
	for n := range day.Nodes {
		h.Nodes = append(h.Nodes, fmt.Sprintf("n%d", n))
	}
	for i := range day.Raters {
		h.Raters, h.Capacity = append(h.Raters, day.Raters[i].Name), append(h.Capacity, day.Raters[i].Capacity())
	}
	for _, c := range day.Classes {
		h.Classes = append(h.Classes, c.Name)
	}
	for _, k := range day.Partners {
		h.Partners = append(h.Partners, k.Name)
	}
	return h
}
