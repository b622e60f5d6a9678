package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/circle"
	"linenwheel.dev/linenwheel/lab/circle/virtual"
)

// circleFlags are the flags of circle's sub-commands.
type circleFlags struct {
	to                     streams
	program, before, dir   string
	asJSON                 bool
	seed                   uint64
	length                 time.Duration
	keepers, faults, lanes int
	charges, rooms         bool
	histories              uint64
}

// circleCommand plays keepers with faults between them.
func circleCommand(to streams) *ffcli.Command {
	f := &circleFlags{to: to}
	play := f.sub("play", "play [flags] SCHEDULE...", "play shipped schedules, or files, on real processes", f.play)
	drawn := f.sub("random", "random [flags]", "play schedules drawn from seeds on real processes, for a time", f.random)
	drawn.FlagSet.Uint64Var(&f.seed, "seed", 1, "the first `seed`")
	drawn.FlagSet.DurationVar(&f.length, "for", time.Minute, "no play begins after this `time`")
	drawn.FlagSet.IntVar(&f.keepers, "keepers", 0, "`number` of keepers; 0 = three and five in turn")
	drawn.FlagSet.IntVar(&f.faults, "faults", 12, "`number` of faults a play")
	drawn.FlagSet.IntVar(&f.lanes, "lanes", 2, "`number` of plays at once")
	simulated := f.sub("virtual", "virtual [flags]", "play histories in virtual time", f.virtual)
	simulated.FlagSet.BoolVar(&f.rooms, "rooms", false, "of leases of the fleet's room")
	simulated.FlagSet.BoolVar(&f.charges, "charges", false, "of charges posted at nodes, in place of a register's clients")
	simulated.FlagSet.Uint64Var(&f.seed, "seed", 1, "the first `seed`")
	simulated.FlagSet.Uint64Var(&f.histories, "histories", 2000, "`number` of histories")
	measure := f.sub("measure", "measure [flags]", "time to agree by load, keepers and syncing; time without a leader; catching up",
		func(ctx context.Context, o circle.Options, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return measureCircle(ctx, to, o)
		})
	return &ffcli.Command{Name: "circle", ShortUsage: "linenwheel-lab circle play|random|virtual|measure|size|life [flags]",
		ShortHelp: "break the links between keepers, kill, stop and burn them, and judge what comes of it",
		FlagSet:   flagSet("circle", to), Subcommands: []*ffcli.Command{play, drawn, simulated, measure, circleSizeCommand(to), lifeCommand(to)},
		Exec: func(context.Context, []string) error {
			return usage(fmt.Errorf("want play, random, virtual, measure, size or life; schedules: %s", strings.Join(circle.Names(), ", ")))
		}}
}

// sub makes a sub-command that has a folder for what keepers write.
func (f *circleFlags) sub(name, usage, help string, exec func(context.Context, circle.Options, []string) error) *ffcli.Command {
	flags := flagSet(name, f.to)
	flags.StringVar(&f.program, "program", "", "the keeper's `program`; empty = linenwheel-keep beside this one")
	flags.StringVar(&f.before, "before", "", "the keeper's `program` of the release before, for schedules that change releases")
	flags.StringVar(&f.dir, "dir", "", "the `folder` for what keepers write, made if it is not there; empty = one that is deleted afterwards")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	return &ffcli.Command{Name: name, ShortUsage: "linenwheel-lab circle " + usage, ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			o := circle.Options{Program: f.program, Before: f.before, Dir: f.dir}
			if o.Program == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				o.Program = filepath.Join(filepath.Dir(self), "linenwheel-keep")
			}
			if o.Dir != "" {
				if err := os.MkdirAll(o.Dir, 0o755); err != nil {
					return err
				}
				return exec(ctx, o, args)
			}
			made, err := os.MkdirTemp("", "circle")
			if err != nil {
				return err
			}
			o.Dir = made
			if err = exec(ctx, o, args); errors.Is(err, errVerdict) {
				fmt.Fprintln(f.to.errs, "what keepers wrote in the broken plays is kept in", made)
				return err
			}
			return errors.Join(err, os.RemoveAll(made))
		}}
}

func (f *circleFlags) play(ctx context.Context, o circle.Options, args []string) error {
	sum := sums{counts: map[string]int{}}
	for _, name := range args {
		s, err := schedule(name)
		if err != nil {
			return usage(err)
		}
		if err := sum.play(ctx, f.to, s, o, name); err != nil {
			return err
		}
	}
	return sum.tell(f.to, f.asJSON)
}

func (f *circleFlags) random(ctx context.Context, o circle.Options, args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	sum := sums{counts: map[string]int{}}
	end, next := time.Now().Add(f.length), atomic.Uint64{}
	next.Store(f.seed)
	var all sync.WaitGroup
	for range f.lanes {
		all.Go(func() {
			inRow := 0 // plays that did not begin
			for first := true; ctx.Err() == nil && (first || time.Now().Before(end)) && inRow < mostUnplayed; first = false {
				i := next.Add(1) - 1
				n := f.keepers
				if n == 0 {
					n = 3 + 2*int(i%2)
				}
				if err := sum.play(ctx, f.to, circle.Draw(i, n, f.faults), o, fmt.Sprint("seed ", i)); err != nil {
					sum.unplayed(f.to, err)
					inRow++
					continue
				}
				inRow = 0
			}
		})
	}
	all.Wait()
	return sum.tell(f.to, f.asJSON)
}

func (f *circleFlags) virtual(ctx context.Context, _ circle.Options, args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	of := virtual.Register
	switch {
	case f.charges && f.rooms:
		return usage(errors.New("want -charges or -rooms"))
	case f.charges:
		of = virtual.Charges
	case f.rooms:
		of = virtual.Rooms
	}
	return playVirtual(ctx, f.to, of, f.seed, f.histories, f.asJSON)
}

// schedule reads a file, or a shipped schedule.
func schedule(name string) (*circle.Schedule, error) {
	if !strings.HasSuffix(name, ".toml") {
		return circle.Shipped(name)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return circle.Parse(name, text)
}

// sums are of many plays.
type sums struct {
	mu     sync.Mutex
	plays  int
	broken []string
	asked  int
	told   int
	counts map[string]int
	failed []string // plays that did not begin
}

// unplayed notes a play that the rig could not begin: it says nothing of the keepers, and the others go on.
func (s *sums) unplayed(to streams, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = append(s.failed, err.Error())
	fmt.Fprintln(to.errs, "not played:", err)
}

// mostUnplayed is how many plays in a row may not begin before no further one is tried.
const mostUnplayed = 5

// mostPlay bounds a play that does not end.
const mostPlay = 3 * time.Minute

func (s *sums) play(ctx context.Context, to streams, schedule *circle.Schedule, o circle.Options, name string) error {
	ctx, stop := context.WithTimeout(ctx, mostPlay)
	defer stop()
	var err error
	if o.Dir, err = os.MkdirTemp(o.Dir, "play"); err != nil {
		return err
	}
	r, err := circle.Play(ctx, schedule, o)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plays++
	for _, b := range r.Broken {
		s.broken = append(s.broken, name+": "+b)
		fmt.Fprintln(to.errs, "broken:", name+":", b)
	}
	s.add(r.Counts, r.Asked, r.Told)
	if len(r.Broken) == 0 {
		return os.RemoveAll(o.Dir)
	}
	return nil
}

func (s *sums) add(counts map[string]int, asked, told int) {
	for k, n := range counts {
		s.counts[k] += n
	}
	s.asked, s.told = s.asked+asked, s.told+told
}

// tell prints what was met, and what was broken.
func (s *sums) tell(to streams, asJSON bool) error {
	if asJSON {
		err := json.NewEncoder(to.out).Encode(map[string]any{"plays": s.plays, "asked": s.asked, "told": s.told, "counts": s.counts,
			"broken": s.broken, "not_played": s.failed})
		if err != nil {
			return err
		}
	} else {
		for _, k := range circle.Sorted(s.counts) {
			fmt.Fprintf(to.out, "%9d  %s\n", s.counts[k], k)
		}
		fmt.Fprintf(to.out, "%d plays, %d asks, %d told, %d broken, %d not played\n", s.plays, s.asked, s.told, len(s.broken), len(s.failed))
	}
	if s.plays == 0 {
		return errors.New("nothing was played")
	}
	if len(s.broken) > 0 {
		return errVerdict
	}
	return nil
}

// playVirtual plays histories on all cores.
func playVirtual(ctx context.Context, to streams, of func(seed uint64) virtual.Settings, seed, histories uint64, asJSON bool) error {
	sum := sums{counts: map[string]int{}}
	var next atomic.Uint64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < histories && ctx.Err() == nil; i = next.Add(1) - 1 {
				at := seed + i
				r := virtual.Play(of(at))
				sum.mu.Lock()
				sum.plays++
				sum.add(r.Counts, r.Asked, r.Told)
				for _, b := range r.Faults {
					sum.broken = append(sum.broken, fmt.Sprintf("seed %d: %s", at, b))
					fmt.Fprintf(to.errs, "broken: seed %d: %s\n", at, b)
				}
				sum.mu.Unlock()
			}
		})
	}
	all.Wait()
	if ctx.Err() != nil {
		return errors.New("broken off")
	}
	return sum.tell(to, asJSON)
}

// measureCircle prints the tables of docs/measurements/peers.md.
func measureCircle(ctx context.Context, to streams, o circle.Options) error {
	fmt.Fprintln(to.out, "| keepers | synced | commands/s asked | agreed/s | median ms | 99% ms | 99.9% ms | not agreed | CPU of a keeper, cores | "+
		"RSS of a keeper, MB | bytes between keepers a command |\n|---|---|---|---|---|---|---|---|---|---|---|")
	for _, n := range []int{3, 5} {
		for _, synced := range []bool{true, false} {
			for _, rate := range []int{100, 1000, 5000} {
				m, err := circle.Load(ctx, o, n, synced, rate, 10*time.Second)
				if err != nil {
					return err
				}
				fmt.Fprintf(to.out, "| %d | %v | %d | %.0f | %.2f | %.2f | %.2f | %d | %.2f | %.1f | %.0f |\n", n, synced, rate, m.Rate, m.Median, m.P99,
					m.P999, m.Lost, m.Cores, m.Memory, m.Bytes)
			}
		}
	}
	fmt.Fprintln(to.out, "\n| without a leader after | runs | median ms | longest ms |\n|---|---|---|---|")
	for _, how := range circle.Losses {
		list, err := circle.Gaps(ctx, o, how, 10)
		if err != nil {
			return err
		}
		slices.Sort(list)
		fmt.Fprintf(to.out, "| %s | %d | %.0f | %.0f |\n", how, len(list), list[len(list)/2], list[len(list)-1])
	}
	for _, names := range []int{0, 100_000} {
		b, err := circle.Carry(ctx, o, names, 200_000)
		if err != nil {
			return err
		}
		fmt.Fprintf(to.out, "\n%d names with answers of 200 bytes, agreed in %.0f s: a keeper holds %.0f MB resident and %.1f MB on its disk; the slowest command "+
			"took %.0f ms. Over %d further commands that leave nothing behind it held %.0f MB.\n", b.Names, b.Seconds, b.Memory, b.Disk, b.Longest, b.Endless, b.MemoryBy)
	}
	r, err := circle.Late(ctx, o, time.Minute, 500)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.out, "\nA keeper away for %.0f s at 500 commands a second (%d entries) held all of it %.0f ms after its start, and an empty one in its place "+
		"%.0f ms after the order to replace it. A keeper's start until it knows the leader: %.0f ms.\n", r.Away, r.Entries, r.CatchUp, r.Replaced, r.Start)
	return nil
}
