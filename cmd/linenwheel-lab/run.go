package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/live"
	"linenwheel.dev/linenwheel/lab/live/clients"
	"linenwheel.dev/linenwheel/lab/live/nodes"
	"linenwheel.dev/linenwheel/lab/outcome"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/report"
	"linenwheel.dev/linenwheel/lab/world"
)

// play is how experiments are played: what commands that play any have in common.
type play struct {
	seeds   string
	nodes   int
	seconds float64
	dir     string
	quiet   bool
	traces  *[]*report.Trace // gets what a report draws of each day, if it is set
}

func (p *play) flags(f *flag.FlagSet) {
	f.StringVar(&p.seeds, "seed", "", "seeds in place of the experiment's own: 3, or 1,2,5, or 1-5")
	f.IntVar(&p.nodes, "nodes", 0, "nodes in place of the experiment's own")
	f.Float64Var(&p.seconds, "seconds", 0, "length of the day in place of the experiment's own")
	f.StringVar(&p.dir, "keep", "", "keep the nodes' files and logs in this directory")
	f.BoolVar(&p.quiet, "quiet", false, "no live line on a terminal")
}

const runHelp = `It draws a day from the experiment and each of its seeds, starts the nodes, plays the day against them on
loopback, and judges what clients, raters and discovery saw. NAME is a shipped experiment (see list), FILE a
TOML file. Status 0: no rule broke and the floors held; 1: not so, or the lab itself fell behind; 2: a file or
the command line is wrong.

  linenwheel-lab run calm
  linenwheel-lab run drain -seed 3 -seconds 30 -node-cmd plain
  linenwheel-lab run my.toml -json my.json -record my.jsonl -report reports`

func runCommand(to streams) *ffcli.Command {
	var p play
	var command, jsonTo, recordTo, reportTo string
	f := flagSet("linenwheel-lab run", to)
	p.flags(f)
	f.StringVar(&command, "node-cmd", "", "the nodes under test: plain, careful, wrong-FAULT, a shell command, or an options file for the linenwheel beside this program (default: without one)")
	f.StringVar(&jsonTo, "json", "", "write the outcome to this file as JSON")
	f.StringVar(&recordTo, "record", "", "write what all parties saw to this file as JSON lines (one seed only)")
	f.StringVar(&reportTo, "report", "", "write a page and its JSON, named as the experiment, into this directory")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "linenwheel-lab run NAME|FILE [flags]",
		ShortHelp:  "play an experiment against nodes and judge it",
		LongHelp:   runHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			name, err := singleName(f, args, "want one experiment: a name (see list) or a file")
			if err != nil {
				return err
			}
			e, err := p.load(name)
			if err != nil {
				return err
			}
			if recordTo != "" && len(e.Seeds) != 1 {
				return usage(errors.New("-record is for one seed: name it with -seed"))
			}
			v, err := newVariant(command)
			if err != nil {
				return usage(err)
			}
			var traces []*report.Trace
			if reportTo != "" {
				p.traces = &traces
			}
			o, err := p.play(ctx, to, e, v, recordTo)
			if err != nil {
				return err
			}
			printOutcome(to.out, o)
			if reportTo != "" {
				r, err := report.New(e, o, p.again(name, e, command), traces...)
				if err != nil {
					return err
				}
				if err := saveReport(reportTo, e.Name, r); err != nil {
					return err
				}
			}
			if jsonTo != "" {
				if err := writeOutcome(jsonTo, o); err != nil {
					return err
				}
			}
			if !o.Passed {
				return errVerdict
			}
			return nil
		},
	}
}

// singleName returns the only name among a command's arguments. If there is none or there are several, it returns a usage error with
// the text wanted.
func singleName(f *flag.FlagSet, args []string, wanted string) (string, error) {
	names, err := parseInterspersed(f, args)
	if err != nil {
		return "", err
	}
	if len(names) != 1 {
		return "", usage(errors.New(wanted))
	}
	return names[0], nil
}

// parseInterspersed parses the flags that follow or stand between names, and returns the names.
func parseInterspersed(f *flag.FlagSet, args []string) (names []string, err error) {
	for len(args) > 0 {
		names = append(names, args[0])
		if err := f.Parse(args[1:]); err != nil {
			return nil, errors.Join(flag.ErrHelp, err) // the flag package has said what is wrong
		}
		args = f.Args()
	}
	return names, nil
}

// load reads an experiment and lays the flags over it.
func (p *play) load(name string) (*experiments.Experiment, error) {
	e, err := experiments.Load(name)
	if err != nil {
		return nil, usage(err)
	}
	if p.seeds != "" {
		if e.Seeds, err = seeds(p.seeds); err != nil {
			return nil, usage(fmt.Errorf("-seed: %w", err))
		}
	}
	if p.nodes > 0 {
		e.Site.Size.Nodes = form.Exactly(float64(p.nodes))
	}
	if p.seconds > 0 {
		e.Site.Size.Day = form.Millis(p.seconds * 1000)
	}
	for _, seed := range e.Seeds { // what was laid over it may not fit: a node that there is not
		if _, err := e.Day(seed); err != nil {
			return nil, usage(fmt.Errorf("%s, seed %d: %w", name, seed, err))
		}
	}
	return e, nil
}

// seeds reads a list such as 1,2,5 or 1-5.
func seeds(text string) (list []uint64, err error) {
	for _, part := range strings.Split(text, ",") {
		lo, hi, isRange := strings.Cut(part, "-")
		from, err := strconv.ParseUint(lo, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no seed", part)
		}
		upto := from
		if isRange {
			if upto, err = strconv.ParseUint(hi, 10, 64); err != nil || upto < from || upto-from > 1000 {
				return nil, fmt.Errorf("%q is no range of seeds", part)
			}
		}
		for s := from; s <= upto; s++ {
			list = append(list, s)
		}
	}
	return list, nil
}

// variant is one kind of node under test.
type variant struct {
	name  string
	shell string // command for /bin/sh -c
	text  string // of its options file; empty: the experiment's, if it has one
}

// newVariant reads how a command line names a kind of node: "" or "linenwheel" for the node beside this program, the lab's own by
// name, a shell command, or the node beside this program with an options file (*.toml).
func newVariant(name string) (v variant, err error) {
	v.name = name
	command := name
	switch {
	case name == "" || name == "linenwheel":
		v.name, command = "linenwheel", ""
	case strings.HasSuffix(name, ".toml") && !strings.ContainsRune(name, ' '):
		text, err := os.ReadFile(name)
		if err != nil {
			return v, err
		}
		v.text, command = string(text), ""
	}
	v.shell, err = nodeShell(command)
	return v, err
}

// play plays all seeds of an experiment with one kind of node.
func (p *play) play(ctx context.Context, to streams, e *experiments.Experiment, v variant, recordTo string) (*outcome.Outcome, error) {
	var runs []outcome.Run
	for _, seed := range e.Seeds {
		r, err := p.seed(ctx, to, e, seed, v, recordTo)
		if err != nil {
			return nil, err
		}
		runs = append(runs, r)
	}
	return outcome.New(e, v.name, runs), nil
}

// again is the command line that plays the same.
func (p *play) again(name string, e *experiments.Experiment, command string) []string {
	var list []string
	for _, seed := range e.Seeds {
		list = append(list, strconv.FormatUint(seed, 10))
	}
	args := []string{"linenwheel-lab", "run", name, "-seed", strings.Join(list, ",")}
	if p.nodes > 0 {
		args = append(args, "-nodes", strconv.Itoa(p.nodes))
	}
	if p.seconds > 0 {
		args = append(args, "-seconds", strconv.FormatFloat(p.seconds, 'g', -1, 64))
	}
	if command != "" {
		args = append(args, "-node-cmd", quote(command))
	}
	return args
}

// seed plays one day.
func (p *play) seed(ctx context.Context, to streams, e *experiments.Experiment, seed uint64, v variant, recordTo string) (run outcome.Run, err error) {
	shell, options := v.shell, v.text
	if options == "" {
		options = e.Node.Extra
	}
	for _, a := range e.Node.Args {
		shell += " " + quote(a)
	}
	dir := p.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "linenwheel-lab-"); err != nil {
			return run, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		dir = filepath.Join(dir, fmt.Sprintf("%s-%d", e.Name, seed))
	}
	day, err := e.Day(seed)
	if err != nil {
		return run, err
	}
	o := live.Options{Nodes: nodes.Options{Command: shell, Dir: dir, Env: e.Node.Env, Options: options}}
	if !p.quiet && terminal(to.errs) {
		o.Tick = func(now float64, c clients.Progress) {
			fmt.Fprintf(to.errs, "\r%s\x1b[K", liveLine(e.Name, day, now, c))
		}
		defer fmt.Fprint(to.errs, "\r\x1b[K")
	}
	out, err := live.Play(ctx, day, o)
	if err != nil {
		return run, fmt.Errorf("%s, seed %d: %w", e.Name, seed, err)
	}
	if recordTo != "" {
		if err := writeRecord(recordTo, e, day, v.name, out); err != nil {
			return run, err
		}
	}
	j, err := out.Judge()
	if err != nil {
		return run, err
	}
	if p.traces != nil {
		c := report.NewCollector(day)
		out.Events(c.Take)
		*p.traces = append(*p.traces, c.Trace(j))
	}
	l, void := out.Lateness, out.Faults
	if out.Behind != "" {
		void = append(void, out.Behind)
	}
	return outcome.NewRun(day, j, out.Began, outcome.Lab{Sends: l.Sends, Over1: l.Over1, Over10: l.Over10, Most: l.Most, Void: void}), nil
}

// liveLine is one second of a day.
func liveLine(name string, day *world.Day, now float64, p clients.Progress) string {
	share := 1.0
	if p.Asked > 0 {
		share = p.Gained / p.Asked
	}
	late := 0.0
	if n := p.Lateness; n.Sends > 0 {
		late = float64(n.Over10) / float64(n.Sends)
	}
	return fmt.Sprintf("%s %d  %3.0f/%.0f s  asked %d  open %d  served %d  refused %d  failed %d  worth %.3f  lab late %.1f%%", name, day.Seed,
		now/1000, day.Length/1000, p.Due, p.Open, p.Ends[world.Served], p.Ends[world.Refused],
		p.Ends[world.Broke]+p.Ends[world.Unreached]+p.Ends[world.GivenUp], share, 100*late)
}

// printOutcome prints the table of an experiment, its verdicts and what it missed.
func printOutcome(w io.Writer, o *outcome.Outcome) {
	fmt.Fprintf(w, "%s (%s), nodes: %s\n", o.Experiment, o.About, o.Node)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "seed\trequests\tG\twhole\tworst window\tworst class\tworst partner\tcosts\tp50\tp99\tms CPU\tMB\tsockets\tlab late\tbroken\t\n")
	for i := range o.Runs {
		r := &o.Runs[i]
		j := r.Judgement
		p50, p99 := 0.0, 0.0
		if len(r.Latency) > 0 {
			p50, p99 = r.Latency[0].P50, r.Latency[0].P99
		}
		late := 0.0
		if r.Lab.Sends > 0 {
			late = 100 * float64(r.Lab.Over10) / float64(r.Lab.Sends)
		}
		fmt.Fprintf(t, "%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.1f%%\t%d\t\n", r.Seed, j.Arrivals, j.G,
			j.Parts.Whole, j.Parts.WorstWindow, j.Parts.WorstClass, j.Parts.WorstPartner, j.Costs.Sum(), p50, p99, r.CPU(),
			r.Worst(func(n referee.NodeFigures) float64 { return n.MemoryMB }),
			r.Worst(func(n referee.NodeFigures) float64 { return float64(n.Sockets) }), late, j.BrokenRules())
	}
	_ = t.Flush()
	for i := range o.Runs {
		for k, v := range o.Runs[i].Judgement.Verdicts {
			if k == shownVerdicts {
				fmt.Fprintf(w, "  ... and more: see -json\n")
				break
			}
			fmt.Fprintf(w, "seed %d, %v\n", o.Runs[i].Seed, v)
		}
	}
	for _, m := range o.Missed {
		fmt.Fprintln(w, "missed:", m)
	}
	word := "passed"
	if !o.Passed {
		word = "not passed"
	}
	fmt.Fprintf(w, "%s: G %.3f over %d seeds\n", word, o.G(), len(o.Runs))
}

const shownVerdicts = 5

func writeOutcome(path string, o *outcome.Outcome) error {
	text, err := json.MarshalIndent(o, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// writeRecord writes what all parties saw.
func writeRecord(path string, e *experiments.Experiment, day *world.Day, command string, out *live.Outcome) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	h := record.Header{Experiment: e.Text, Site: day.Site.Name, Seed: day.Seed, Began: out.Began.UnixMilli(), Command: []string{command}}
	for n := range day.Nodes {
		h.Nodes = append(h.Nodes, fmt.Sprintf("n%d", n))
	}
	for i := range day.Raters {
		h.Raters, h.Capacity = append(h.Raters, day.Raters[i].Name), append(h.Capacity, day.Raters[i].Capacity())
	}
	for _, c := range day.Classes {
		h.Classes = append(h.Classes, c.Name)
	}
	for _, p := range day.Partners {
		h.Partners = append(h.Partners, p.Name)
	}
	w := record.NewWriter(f, h)
	out.Events(w.Add)
	return w.Flush()
}
