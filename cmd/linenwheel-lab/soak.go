package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/engine"
	"linenwheel.dev/linenwheel/lab/soak"
	"linenwheel.dev/linenwheel/lab/soak/rater"
	"linenwheel.dev/linenwheel/lab/soak/record"
	plans "linenwheel.dev/linenwheel/lab/soak/schedule"
)

const soakHelp = `Plays a whole fleet as separate processes on loopback, under drawn troubles, orders and behaviours of raters and clients, and
judges what clients, raters, operators and platform saw. Exit codes: 0 held, 1 a rule was broken, 2 it could not run.

  linenwheel-lab soak -seeds 1-50 -for 12s -jobs 4 -report found/soak.json
  linenwheel-lab soak -seed 7 -shrink`

// soakFlags are the flags of the command.
type soakFlags struct {
	first, last uint64
	length      time.Duration
	jobs        int
	binaries    string
	other       string
	report      string
	keep        string
	without     string
	shrink      bool
}

// soakCommand plays soaks.
func soakCommand(to streams) *ffcli.Command {
	f := &soakFlags{}
	flags := flagSet("linenwheel-lab soak", to)
	flags.Func("seed", "the seed to play", func(text string) error {
		seed, err := strconv.ParseUint(text, 10, 64)
		f.first, f.last = seed, seed
		return err
	})
	flags.Func("seeds", "the seeds A-B to play, both included", func(text string) error {
		_, err := fmt.Sscanf(text, "%d-%d", &f.first, &f.last)
		return err
	})
	flags.DurationVar(&f.length, "for", 12*time.Second, "length of each play with troubles; it ends some seconds later")
	flags.IntVar(&f.jobs, "jobs", 1, "plays at the same time")
	flags.StringVar(&f.binaries, "binaries", "bin", "folder of linenwheel-control and linenwheel-data")
	flags.StringVar(&f.other, "other", "", "another such folder: some seeds start processes from both in turn")
	flags.StringVar(&f.report, "report", "", "file for the report as JSON")
	flags.StringVar(&f.keep, "keep", "", "folder in which settings, logs, disks and records are kept")
	flags.StringVar(&f.without, "without", "", "numbers of troubles to leave out, separated by commas")
	flags.BoolVar(&f.shrink, "shrink", false, "leave out troubles while a rule is still broken")
	return &ffcli.Command{Name: "soak", ShortUsage: "linenwheel-lab soak [flags]", ShortHelp: "drawn troubles on a fleet of real processes, judged",
		LongHelp: soakHelp, FlagSet: flags, Subcommands: []*ffcli.Command{soakRaterCommand(to)},
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return f.run(ctx, to)
		}}
}

// run plays all seeds.
func (f *soakFlags) run(ctx context.Context, to streams) error {
	without, err := parseNumbers(f.without)
	if err != nil {
		return usage(err)
	}
	if f.first == 0 || f.last < f.first || f.jobs < 1 {
		return usage(errors.New("-seed or -seeds A-B is wanted, from 1, and -jobs of 1 or more"))
	}
	report := soak.NewReport()
	var mu sync.Mutex
	var plays sync.WaitGroup
	next := f.first
	for range f.jobs {
		plays.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed > f.last || ctx.Err() != nil {
					return
				}
				result, err := f.play(ctx, seed, without)
				mu.Lock()
				report.Add(&result, err)
				fmt.Fprintf(to.errs, "seed %d: %d processes, %d requests, %d served, %d findings, error %v\n", seed, result.Processes, result.Verdict.Tries,
					result.Verdict.Served, len(result.Verdict.Findings), err)
				soak.Explain(to.out, &result, f.again(seed, without))
				mu.Unlock()
			}
		})
	}
	plays.Wait()
	return f.end(ctx, to, report)
}

// end prints the report and gives the command's error.
func (f *soakFlags) end(ctx context.Context, to streams, report *soak.Report) error {
	report.Print(to.out)
	if f.report != "" {
		if err := report.WriteFile(f.report); err != nil {
			return err
		}
	}
	broken := len(report.Broken()) > 0
	if broken && f.shrink && f.first == f.last {
		f.printShrunk(ctx, to)
	}
	switch {
	case broken:
		return errVerdict
	case ctx.Err() != nil:
		return usage(ctx.Err())
	case report.Failed():
		return usage(errors.New("a play could not run"))
	}
	return nil
}

// play plays one seed in a folder of its own.
func (f *soakFlags) play(ctx context.Context, seed uint64, without []int) (soak.Result, error) {
	plan := plans.Draw(seed, f.length).Without(without)
	folder := filepath.Join(f.keep, fmt.Sprintf("seed-%d", seed))
	if f.keep == "" {
		temporary, err := os.MkdirTemp("", "linenwheel-soak")
		if err != nil {
			return soak.Result{Plan: plan}, err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return soak.Result{Plan: plan}, err
	}
	result, err := soak.Play(ctx, soak.Options{Plan: plan, Binaries: f.binaries, Other: f.other, Program: os.Args[0], Folder: folder})
	result.Plan = plan
	return result, err
}

// again returns the command that plays a seed again.
func (f *soakFlags) again(seed uint64, without []int) string {
	command := fmt.Sprintf("linenwheel-lab soak -seed %d -for %v -binaries %s", seed, f.length, f.binaries)
	if f.other != "" {
		command += " -other " + f.other
	}
	if len(without) > 0 {
		command += " -without " + strings.Trim(strings.ReplaceAll(fmt.Sprint(without), " ", ","), "[]")
	}
	return command
}

// printShrunk leaves out troubles while a rule is still broken, and prints the command that plays what is left.
func (f *soakFlags) printShrunk(ctx context.Context, to streams) {
	troubles := len(plans.Draw(f.first, f.length).Troubles)
	without := soak.Shrink(troubles, func(without []int) bool {
		result, err := f.play(ctx, f.first, without)
		return err == nil && result.Verdict.Broken()
	})
	fmt.Fprintf(to.out, "%d of %d troubles are enough: %s\n", troubles-len(without), troubles, f.again(f.first, without))
}

// parseNumbers parses numbers that are separated by commas.
func parseNumbers(text string) ([]int, error) {
	var numbers []int
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		number, err := strconv.Atoi(part)
		if err != nil {
			return nil, fmt.Errorf("-without: %w", err)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// raterDrain is how long a rater serves on once it has said that it leaves.
const raterDrain = 2 * time.Second

// soakRaterCommand runs one rater until its process ends.
func soakRaterCommand(to streams) *ffcli.Command {
	flags := flag.NewFlagSet("linenwheel-lab soak rater", flag.ContinueOnError)
	flags.SetOutput(to.errs)
	id := flags.String("id", "", "id of this start")
	service := flags.String("service", "", "service")
	address := flags.String("address", "", "address that it registers")
	listen := flags.String("listen", "", "address at which it listens")
	seed := flags.Uint64("seed", 1, "seed of its behaviour")
	number := flags.Int("number", 0, "number of the rater")
	control := flags.String("control", "", "addresses of control processes, separated by commas")
	records := flags.String("records", "", "file for its records")
	return &ffcli.Command{Name: "rater", ShortHelp: "one rater, started by soak", FlagSet: flags, Exec: func(context.Context, []string) error {
		file, err := os.OpenFile(*records, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return usage(err)
		}
		registration := &engine.Registration{ID: *id, Backend: *service, Address: *address, Zone: "zone-1", Slots: rater.Slots}
		process := &rater.Process{Registration: registration, Control: strings.Split(*control, ","), Seed: *seed, Number: *number, Disturbed: true,
			Records: record.NewWriter(file), Listen: *listen, Drain: raterDrain}
		return process.Serve()
	}}
}
