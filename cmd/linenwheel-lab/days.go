package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/days"
)

const daysHelp = `Draws days of disruptions for the operators' bench, of all kinds that may come, from consecutive seeds, and writes each as a
file. With -shrink it draws the day of -seed and takes disruptions away for as long as a command, which is given the day's file
as its last argument, ends with an error: what is left is written.

  linenwheel-lab days -seed 1 -count 20 -size 14 -to found/days
  linenwheel-lab days -seed 7 -size 14 -shrink ./plays-well`

func daysCommand(to streams) *ffcli.Command {
	f := flagSet("linenwheel-lab days", to)
	seed := f.Uint64("seed", 1, "seed of the first day")
	count := f.Int("count", 1, "days to draw")
	size := f.Int("size", 14, "disruptions in a day")
	further := f.String("contracts", "", "contracts in force beside the usual ones, separated by commas: health, pool")
	dir := f.String("to", "found/days", "directory of the files")
	check := f.String("shrink", "", "command that ends with an error where a day breaks")
	return &ffcli.Command{
		Name:       "days",
		ShortUsage: "linenwheel-lab days [flags]",
		ShortHelp:  "drawn days of disruptions for the operators' bench",
		LongHelp:   daysHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			if *count < 1 || *size < 1 {
				return usage(errors.New("-count and -size: 1 or more wanted"))
			}
			if err := os.MkdirAll(*dir, 0o755); err != nil {
				return err
			}
			contracts := strings.Split(*further, ",")
			if *check != "" {
				return shrinkDay(ctx, to, days.Draw(*seed, *size, contracts...), *check, *dir)
			}
			for i := range uint64(*count) {
				if _, err := writeDay(days.Draw(*seed+i, *size, contracts...), *dir); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func writeDay(day days.Day, dir string) (string, error) {
	path := filepath.Join(dir, day.Name+".toml")
	return path, os.WriteFile(path, []byte(day.TOML()), 0o644)
}

// shrinkDay makes a day that breaks smaller.
func shrinkDay(ctx context.Context, to streams, day days.Day, check, dir string) error {
	words := strings.Fields(check)
	var failed error
	breaks := func(one days.Day) bool {
		one.Name = day.Name + "-part"
		path, err := writeDay(one, dir)
		if err != nil {
			failed = err
			return false
		}
		var ended *exec.ExitError
		err = exec.CommandContext(ctx, words[0], append(words[1:], path)...).Run()
		if err != nil && !errors.As(err, &ended) {
			failed = err
		}
		return ended != nil
	}
	if !breaks(day) {
		return errors.Join(failed, fmt.Errorf("-shrink: the day of this seed does not break"))
	}
	small := days.Shrink(day, breaks)
	if failed != nil {
		return failed
	}
	small.Name += "-shrunk"
	path, err := writeDay(small, dir)
	_, _ = fmt.Fprintf(to.out, "%d of %d disruptions are left: %s\n", len(small.Entries), len(day.Entries), path)
	return err
}
