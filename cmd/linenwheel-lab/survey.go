package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/outcome"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/rivals"
	"linenwheel.dev/linenwheel/lab/sim"
	"linenwheel.dev/linenwheel/lab/world"
)

const surveyHelp = `It plays shipped experiments with linenwheel and with the plain yardstick, keeps each outcome as a file in -to, and
writes the table of all that is there into -page, between the lines "<!-- survey -->" and "<!-- end of survey -->".
What is there already is not played again unless the lab fell behind on it, so a survey that was stopped goes on.

  linenwheel-lab survey -to found/survey -page docs/measurements/lab.md`

func surveyCommand(to streams) *ffcli.Command {
	var p play
	f := flagSet("linenwheel-lab survey", to)
	p.flags(f)
	on := f.String("on", "", "experiments, separated by commas (default: all that are shipped)")
	dir := f.String("to", "found/survey", "directory of the outcomes")
	page := f.String("page", "", "page that gets the table")
	kinds := f.String("kinds", "linenwheel,plain", "kinds of node, separated by commas")
	atOnce := f.Int("at-once", 6, "days played side by side")
	return &ffcli.Command{
		Name:       "survey",
		ShortUsage: "linenwheel-lab survey [flags]",
		ShortHelp:  "play all shipped experiments and write the table of what came of them",
		LongHelp:   surveyHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			names := slices.DeleteFunc(experiments.Names(), func(name string) bool {
				e, err := experiments.Load(name)
				return err == nil && (e.Virtual || slices.ContainsFunc(e.Troubles, rolls))
			})
			if *on != "" {
				names = strings.Split(*on, ",")
			}
			s := survey{play: p, dir: *dir, kinds: strings.Split(*kinds, ","), atOnce: *atOnce}
			if err := s.run(ctx, to, names); err != nil {
				return err
			}
			if *page == "" {
				return nil
			}
			return s.write(*page)
		},
	}
}

// rolls tells whether a trouble wants nodes that can be taken over, for which lab/holiday writes the options.
func rolls(t world.TroubleSpec) bool { return t.Kind == world.NodeRoll }

type survey struct {
	play
	dir    string
	kinds  []string
	atOnce int
}

func (s *survey) path(name, kind string) string { return filepath.Join(s.dir, name+"."+kind+".json") }

// run plays what is not there yet.
func (s *survey) run(ctx context.Context, to streams, names []string) error {
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		return err
	}
	s.quiet = true // several days at once have no one line
	for _, name := range names {
		if err := s.experiment(ctx, to, name); err != nil {
			return err
		}
	}
	return nil
}

// experiment plays all seeds of an experiment with each kind of node, side by side, unless that is there already.
func (s *survey) experiment(ctx context.Context, to streams, name string) error {
	e, err := s.load(name)
	if err != nil {
		return err
	}
	runs, errs := map[string][]outcome.Run{}, make(chan error)
	seats := make(chan struct{}, max(1, s.atOnce))
	days := 0
	for _, kind := range s.kinds {
		if old, err := s.read(name, kind); err != nil {
			return err
		} else if old != nil && !old.Void() {
			continue
		}
		v, err := newVariant(kind)
		if err != nil {
			return usage(err)
		}
		all := make([]outcome.Run, len(e.Seeds))
		runs[kind] = all
		for i, seed := range e.Seeds {
			days++
			go func() {
				seats <- struct{}{}
				defer func() { <-seats }()
				var err error
				all[i], err = s.seed(ctx, to, e, seed, v, "")
				errs <- err
			}()
		}
	}
	for range days {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return err
	}
	for _, kind := range s.kinds {
		if runs[kind] == nil {
			continue
		}
		o := outcome.New(e, kind, runs[kind])
		fmt.Fprintf(to.out, "%-16s %-12s G %.3f, %d rules broken, lab late %.2f%%\n", name, kind, o.G(), broken(o), 100*labLate(o))
		if err := writeOutcome(s.path(name, kind), o); err != nil {
			return err
		}
	}
	return nil
}

// read gives the outcome that is there, nil if there is none.
func (s *survey) read(name, kind string) (*outcome.Outcome, error) {
	text, err := os.ReadFile(s.path(name, kind))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	o := &outcome.Outcome{}
	if err := json.Unmarshal(text, o); err != nil {
		return nil, fmt.Errorf("%s: %w", s.path(name, kind), err)
	}
	return o, nil
}

func broken(o *outcome.Outcome) (n int) {
	for _, k := range o.Broken() {
		n += k
	}
	return n
}

// labLate is the share of the lab's own sends that were more than 10 ms late.
func labLate(o *outcome.Outcome) float64 {
	var late, all int64
	for i := range o.Runs {
		late += o.Runs[i].Lab.Over10
		all += o.Runs[i].Lab.Sends
	}
	return float64(late) / float64(max(1, all))
}

const (
	surveyFrom = "<!-- survey -->"
	surveyTo   = "<!-- end of survey -->"
)

// write puts the table of all outcomes into a page.
func (s *survey) write(page string) error {
	text, err := os.ReadFile(page)
	if errors.Is(err, fs.ErrNotExist) {
		text = []byte(surveyFrom + "\n" + surveyTo + "\n")
	} else if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(text), surveyFrom)
	_, after, ok2 := strings.Cut(rest, surveyTo)
	if !ok || !ok2 {
		return usage(fmt.Errorf("%s has no lines %q and %q", page, surveyFrom, surveyTo))
	}
	table, err := s.table()
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(before+surveyFrom+"\n"+table+surveyTo+after), 0o644)
}

func (s *survey) table() (string, error) {
	var all []map[string]*outcome.Outcome
	for _, name := range experiments.Names() {
		row := map[string]*outcome.Outcome{}
		for _, kind := range s.kinds {
			o, err := s.read(name, kind)
			if err != nil {
				return "", err
			} else if o != nil {
				row[kind] = o
			}
		}
		if row[s.kinds[0]] != nil {
			all = append(all, row)
		}
	}
	if len(all) == 0 {
		return "", fmt.Errorf("%s holds no outcome of %s", s.dir, s.kinds[0])
	}
	slices.SortStableFunc(all, func(a, b map[string]*outcome.Outcome) int {
		x, y := a[s.kinds[0]].G(), b[s.kinds[0]].G()
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	var b strings.Builder
	fmt.Fprintf(&b, "\n| experiment | G, mean | in virtual time | with all seen | worst seed | worst 10 s | p50, p99 ms, first class | p99 ms, others | refused, failed %% of tries | cost of waste | ms CPU a request | MB | sockets | rules broken |")
	for _, k := range s.kinds[1:] {
		fmt.Fprintf(&b, " G of %s | its rules broken |", k)
	}
	fmt.Fprintf(&b, " lab late %% |\n|%s\n", strings.Repeat(" --- |", 15+2*(len(s.kinds)-1)))
	for _, row := range all {
		o := row[s.kinds[0]]
		module, top, err := s.virtual(o)
		if err != nil {
			return "", err
		}
		b.WriteString(line(o, module, top))
		late := labLate(o)
		for _, k := range s.kinds[1:] {
			other := row[k]
			if other == nil {
				b.WriteString(" - | - |")
				continue
			}
			late = max(late, labLate(other))
			fmt.Fprintf(&b, " %.3f | %s |", other.G(), brokenText(other))
		}
		fmt.Fprintf(&b, " %.2f |\n", 100*late)
	}
	return b.String(), nil
}

// virtual plays the days of an outcome in virtual time: the module alone, and the best of the policies that see the true state of every
// rater. It gives their mean service figures.
func (s *survey) virtual(o *outcome.Outcome) (module, top float64, err error) {
	e, err := s.load(o.Experiment)
	if err != nil {
		return 0, 0, err
	}
	for i := range o.Runs {
		best := math.Inf(-1)
		for _, name := range []string{"linenwheel", "bound", "bound-soft", "bound-aim", "bound-open"} {
			policy, err := rivals.ByName(name)
			if err != nil {
				return 0, 0, err
			}
			day, err := e.Day(o.Runs[i].Seed)
			if err != nil {
				return 0, 0, err
			}
			out, err := sim.Play(day, sim.Options{Policy: policy})
			if err != nil {
				return 0, 0, err
			}
			if name == "linenwheel" {
				module += out.Judgement.G / float64(len(o.Runs))
			} else {
				best = max(best, out.Judgement.G)
			}
		}
		top += best / float64(len(o.Runs))
	}
	return module, top, nil
}

// line is what one experiment's row says of the first kind.
func line(o *outcome.Outcome, module, top float64) string {
	worst, refused, failed, tries := 1.0, 0, 0, 0
	for i := range o.Runs {
		j := o.Runs[i].Judgement
		worst = min(worst, j.G)
		tries += j.Tries
		for _, c := range j.Classes {
			refused += c.Refused
			failed += c.Failed + c.Unreached + c.Unanswered
		}
	}
	at := func(of func(outcome.Latency) float64, first bool) float64 {
		return o.Mean(func(r *outcome.Run) float64 {
			most := 0.0
			for k, l := range r.Latency {
				if (k == 0) == first {
					most = max(most, of(l))
				}
			}
			return most
		})
	}
	p50 := func(l outcome.Latency) float64 { return l.P50 }
	p99 := func(l outcome.Latency) float64 { return l.P99 }
	of := float64(max(1, tries)) / 100
	waste := o.Mean(func(r *outcome.Run) float64 { return r.Judgement.Costs.Waste })
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f, %.0f | %.0f | %.2f, %.2f | %.4f | %.2f | %.0f | %.0f | %s |", o.Experiment, o.G(), module, top, worst,
		o.Mean(func(r *outcome.Run) float64 { return r.Judgement.Parts.WorstWindow }), at(p50, true), at(p99, true), at(p99, false),
		float64(refused)/of, float64(failed)/of, waste, o.Mean((*outcome.Run).CPU),
		o.Mean(func(r *outcome.Run) float64 {
			return r.Worst(func(n referee.NodeFigures) float64 { return n.MemoryMB })
		}),
		o.Mean(func(r *outcome.Run) float64 {
			return r.Worst(func(n referee.NodeFigures) float64 { return float64(n.Sockets) })
		}), brokenText(o))
}

// brokenText counts broken rules by their names.
func brokenText(o *outcome.Outcome) string {
	var parts []string
	all := o.Broken()
	for _, rule := range referee.Rules {
		if n := all[rule]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", rule, n))
		}
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}
