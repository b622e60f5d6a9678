// Package check plays nodes that each break one rule on purpose, and the careful node that breaks none, on short live days, and
// tells whether the referee caught each for the right reason and no other.
package check

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/live"
	"linenwheel.dev/linenwheel/lab/live/nodes"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
	"linenwheel.dev/linenwheel/lab/wrong"
)

//go:embed site.toml
var site string

// days are what the nodes are played on; each begins with the site.
var days = map[string]string{
	"calm":    ``,
	"resets":  `[[trouble]]` + "\nkind = 'resets'\nat = '500ms'\nlength = '3s'\nshare = 0.1\n",
	"drain":   `[[trouble]]` + "\nkind = 'drain'\nat = '500ms'\nlength = '20s'\ngap = '15s'\nraters = [1]\n",
	"cold":    `[[trouble]]` + "\nkind = 'restart'\nat = '300ms'\nlength = '400ms'\nraters = [2]\n",
	"stop":    `[[trouble]]` + "\nkind = 'node_restart'\nat = '1500ms'\ngap = '3s'\nnodes = [0]\n",
	"rude":    `[[trouble]]` + "\nkind = 'rude'\nat = '500ms'\nlength = '3s'\nrate = 20\nways = ['smuggled']\n",
	"rudest":  `[[trouble]]` + "\nkind = 'rude'\nat = '500ms'\nlength = '3s'\nrate = 20\n",
	"surplus": `[[trouble]]` + "\nkind = 'surplus'\nat = '500ms'\nlength = '3s'\nshare = 0.1\n[[trouble]]\nkind = 'spoilt'\nat = '500ms'\nlength = '3s'\nshare = 0.05\n",
	"die":     `[[trouble]]` + "\nkind = 'kill'\nat = '1s'\nraters = [0]\n[[trouble]]\nkind = 'vanish'\nat = '2s'\nraters = [3]\n",
}

// Case is one node on one day, and the rule that it must be caught by; none for the careful node. A rule may also be
// broken by what follows from the fault: Also.
type Case struct {
	Fault wrong.Fault
	Day   string
	Rule  referee.Rule
	Also  []referee.Rule
	// LateAbove is the share of all requests that must be unserved or late at least: for the node that breaks no rule
	// but answers late. The service figure is what catches it.
	LateAbove float64
}

// Cases are all that are played.
var Cases = []Case{
	{Fault: wrong.Again, Day: "resets", Rule: referee.RunsTwice},
	{Fault: wrong.Refuses, Day: "resets", Rule: referee.RunsTwice},
	{Fault: wrong.Drained, Day: "drain", Rule: referee.Drains},
	{Fault: wrong.Drops, Day: "stop", Rule: referee.OneAnswer},
	{Fault: wrong.Aborts, Day: "calm", Rule: referee.OneAnswer},
	{Fault: wrong.Twice, Day: "calm", Rule: referee.OneAnswer, Also: []referee.Rule{referee.OwnAnswer}}, // the next request may get the second answer
	{Fault: wrong.Floods, Day: "cold", Rule: referee.ColdRaters},
	{Fault: wrong.Swaps, Day: "calm", Rule: referee.OwnAnswer},
	{Fault: wrong.Cached, Day: "calm", Rule: referee.OwnAnswer},
	{Fault: wrong.Rewrites, Day: "calm", Rule: referee.Unchanged},
	{Fault: wrong.Smuggles, Day: "rude", Rule: referee.RunsTwice, Also: []referee.Rule{referee.OwnAnswer}},
	{Fault: wrong.Crashes, Day: "calm", Rule: referee.StaysUp, Also: []referee.Rule{referee.OneAnswer}},
	{Fault: wrong.Late, Day: "calm", LateAbove: 0.9},
	{Fault: wrong.None, Day: "calm"},
	{Fault: wrong.None, Day: "resets"},
	{Fault: wrong.None, Day: "drain"},
	{Fault: wrong.None, Day: "cold"},
	{Fault: wrong.None, Day: "stop"},
	{Fault: wrong.None, Day: "rudest"},
	{Fault: wrong.None, Day: "surplus"},
	{Fault: wrong.None, Day: "die"},
}

// Name tells node and day.
func (c Case) Name() string { return string(c.Fault) + " on " + c.Day }

// Result is what became of a case.
type Result struct {
	Case
	Judgement *referee.Judgement
	Wrong     string // empty: as it must be
	Behind    bool   // the lab itself, or the machine, was late: what is wrong may be its own fault
}

// Day draws the day of a case.
func (c Case) day() (*world.Day, error) {
	files := func(path string) ([]byte, error) {
		if filepath.Base(path) != "site.toml" {
			return nil, fmt.Errorf("no file %q", path)
		}
		return []byte(site), nil
	}
	e, err := experiments.Parse(c.Day+".toml", "site = \"site.toml\"\n"+days[c.Day], files)
	if err != nil {
		return nil, err
	}
	return e.Day(1)
}

// Play plays a case with the node that command names, and judges the judgement.
func (c Case) Play(ctx context.Context, command, dir string) (Result, error) {
	r := Result{Case: c}
	day, err := c.day()
	if err != nil {
		return r, err
	}
	stop := watch()
	out, err := live.Play(ctx, day, live.Options{Nodes: nodes.Options{Command: command, Dir: dir}})
	r.Behind = stop() || out != nil && out.Behind != ""
	if err != nil {
		return r, err
	}
	if r.Judgement, err = out.Judge(); err != nil {
		return r, err
	}
	if len(out.Faults) > 0 {
		r.Wrong = "the lab itself failed: " + strings.Join(out.Faults, "; ")
		return r, nil
	}
	r.Wrong = c.fits(r.Judgement)
	return r, nil
}

// fits tells what is not as it must be.
func (c Case) fits(j *referee.Judgement) string {
	var served, all int
	for _, k := range j.Classes {
		served += k.InAim
		all += k.Arrivals
	}
	if all == 0 {
		return "no client asked for anything"
	}
	for rule, n := range j.Broken {
		if n > 0 && rule != c.Rule && !slices.Contains(c.Also, rule) {
			return fmt.Sprintf("%q was said to be broken %d times, first: %v", rule, n, first(j, rule))
		}
	}
	late := 1 - float64(served)/float64(all)
	switch {
	case c.Rule != "" && j.Broken[c.Rule] == 0:
		return fmt.Sprintf("%q was not said to be broken", c.Rule)
	case c.Rule != "" && !named(first(j, c.Rule)):
		return fmt.Sprintf("the verdict names no party: %v", first(j, c.Rule))
	case late < c.LateAbove:
		return fmt.Sprintf("%.0f%% of the requests were late or unserved, want %.0f%%", 100*late, 100*c.LateAbove)
	case c.Rule == "" && c.LateAbove == 0 && served == 0:
		return "nothing was served"
	}
	return ""
}

func first(j *referee.Judgement, rule referee.Rule) referee.Verdict {
	i := slices.IndexFunc(j.Verdicts, func(v referee.Verdict) bool { return v.Rule == rule })
	if i < 0 {
		return referee.Verdict{Rule: rule, Node: -1, Rater: -1}
	}
	return j.Verdicts[i]
}

func named(v referee.Verdict) bool { return v.Text != "" && (v.Node >= 0 || v.Rater >= 0) }

// Reason gives the first verdict of the rule that a case was caught by.
func (r Result) Reason() string {
	if r.Judgement == nil || r.Rule == "" {
		return ""
	}
	return first(r.Judgement, r.Rule).String()
}

// mostTries is how often a case is played that goes wrong while the machine is late: all but the first time by itself.
const mostTries = 30

// All plays all cases, some at once, and reports each, in the order of Cases. command gives the shell command of a node.
func All(ctx context.Context, command func(wrong.Fault) (string, error), dir string, atOnce int, report func(Result)) error {
	ends, faults := make([]Result, len(Cases)), make([]error, len(Cases))
	play := func(i, try int) {
		ends[i].Case = Cases[i]
		shell, err := command(Cases[i].Fault)
		if err == nil {
			ends[i], err = Cases[i].Play(ctx, shell, filepath.Join(dir, fmt.Sprintf("%d-%d", i, try)))
		}
		if faults[i] = err; err != nil {
			faults[i] = fmt.Errorf("%s: %w", Cases[i].Name(), err)
		}
	}
	var work sync.WaitGroup
	seats := make(chan struct{}, max(1, atOnce))
	for i := range Cases {
		work.Go(func() {
			seats <- struct{}{}
			defer func() { <-seats }()
			play(i, 0)
		})
	}
	work.Wait()
	for i := range Cases {
		for try := 1; try < mostTries && faults[i] == nil && ends[i].Wrong != "" && ends[i].Behind; try++ {
			play(i, try)
		}
		if faults[i] == nil {
			report(ends[i])
		}
	}
	return errors.Join(faults...)
}

const (
	tick     = 5 * time.Millisecond
	mostLate = 20 * time.Millisecond // beyond, what the referee's slack allows is used up by the machine
)

// watch looks whether the machine is late, until stop is called.
func watch() (stop func() (late bool)) {
	over, told := make(chan struct{}), make(chan bool)
	go func() {
		late := false
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-over:
				told <- late || time.Since(last) > tick+mostLate
				return
			case <-time.After(tick):
				late = late || time.Since(last) > tick+mostLate
			}
		}
	}()
	return func() bool { close(over); return <-told }
}
