package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/duplicates"
)

// recognising are the options of a node that recognises the charges of this command.
const recognising = `[repeats]
on = true
secret_file = %q
journal = %q
[[repeats.class]]
name = "post-charge"
by = "header"
header = "Charge"
answered = "30s"
doubt = "30s"
recorded = %t
`

func duplicatesCommand(to streams) *ffcli.Command {
	set := duplicates.Settings{Raters: 6}
	flags := flagSet("linenwheel-lab duplicates", to)
	flags.StringVar(&set.Node, "node-cmd", "bin/linenwheel", "the node's `command`")
	mode := flags.String("repeats", "journal", "off, memory, journal, or recorded: what the node knows of repeats")
	flags.IntVar(&set.Posts, "posts", 10000, "how many")
	flags.Float64Var(&set.Rate, "rate", 1000, "posts a second")
	flags.IntVar(&set.Most, "most", 50, "posts of one charge at the most")
	flags.IntVar(&set.Kills, "kills", 0, "times that the node is killed and started again")
	flags.Uint64Var(&set.Seed, "seed", 1, "of the charges, their posts and the raters' troubles")
	fleet := duplicates.Fleet{}
	flags.IntVar(&fleet.Nodes, "nodes", 1, "`number` of nodes, which hold names for each other if there are keepers")
	flags.IntVar(&fleet.Keepers, "keepers", 0, "`number` of keepers, 0 = none")
	flags.DurationVar(&fleet.FaultEvery, "fault-every", 0, "the `time` between two faults of nodes, keepers and links; 0 = none")
	flags.BoolVar(&set.Even, "even", false, "each charge is posted as often as -most says")
	flags.BoolVar(&fleet.Unsynced, "unsynced", false, "keepers do not sync")
	flags.BoolVar(&fleet.Usual, "usual", false, "keepers miss a lost leader after 500 ms, as by default, not after 1 s")
	flags.BoolVar(&fleet.Heed, "heed", false, "gateways that were refused come back no sooner than they were told to")
	flags.BoolVar(&set.Plain, "plain", false, "raters answer every charge")
	flags.BoolVar(&set.Instant, "instant", false, "and at once, with -plain: what is measured is the nodes' own time")
	flags.BoolVar(&fleet.Alone, "alone", false, "nodes hold names each for itself")
	kinds := flags.String("faults", "", "the `kinds` of faults, with commas; empty = all")
	dir := flags.String("dir", "", "for the node's files; empty = a temporary one")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	return &ffcli.Command{
		Name:       "duplicates",
		ShortUsage: "linenwheel-lab duplicates [flags]",
		ShortHelp:  "gateways that repeat their charge posts; status 1 if one ran twice, got two answers or an untrue refusal",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) (err error) {
			if err := noArgs(args); err != nil {
				return err
			}
			if !slices.Contains([]string{"off", "memory", "journal", "recorded"}, *mode) || set.Posts < 1 || set.Rate <= 0 ||
				set.Most < 1 || set.Kills < 0 {
				return usage(fmt.Errorf("-repeats %s, -posts %d, -rate %g, -most %d, -kills %d", *mode, set.Posts, set.Rate,
					set.Most, set.Kills))
			}
			if set.Dir = *dir; set.Dir == "" {
				if set.Dir, err = os.MkdirTemp("", "duplicates-"); err != nil {
					return err
				}
				defer func() { _ = os.RemoveAll(set.Dir) }() // what is left there is of no use
			}
			if fleet.Keepers > 0 {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				fleet.Program = filepath.Join(filepath.Dir(self), "linenwheel-keep")
				if *kinds != "" {
					fleet.Kinds = strings.Split(*kinds, ",")
				}
				set.Fleet = &fleet
			}
			if set.Options, err = writeRecognising(set.Dir, *mode); err != nil {
				return err
			}
			r, err := duplicates.Run(ctx, set)
			if err != nil {
				return err
			}
			if err := printDuplicates(to.out, r, *asJSON, set.Fleet != nil); err != nil {
				return err
			}
			if r.Broken() {
				return errVerdict
			}
			return nil
		},
	}
}

// printDuplicates tells what came of a run, of a fleet or of one node.
func printDuplicates(to io.Writer, r *duplicates.Result, asJSON, fleet bool) error {
	if asJSON {
		out := json.NewEncoder(to)
		out.SetIndent("", "  ")
		return out.Encode(r)
	}
	_, err := fmt.Fprintf(to, "%d posts of %d names in %.1f s, %d kills; 99%% of sends within %.1f ms of their time\n"+
		"%d names ran, %d relays; answers: %v\nran twice %d, different answers %d, untrue refusals %d\n"+
		"the node: peak %.1f MB, %.2f s of processor time\n", r.Posts, r.Names, r.Seconds, r.Kills, r.LateMs, r.Ran, r.Relays,
		r.Status, len(r.Twice), len(r.Differing), len(r.Untrue), r.PeakMB, r.CPU)
	if err == nil && fleet {
		_, err = fmt.Fprintf(to, "%d of %d names told their result (%.2f%%); answers in %.1f ms, 99%% in %.1f ms; longest without one "+
			"while refusing %.0f ms\nfaults %v\ntrouble %v\n", r.Told, r.Names, 100*float64(r.Told)/float64(max(1, r.Names)), r.Median,
			r.P99, r.Refused, r.Faults, r.Trouble)
	}
	return err
}

// writeRecognising writes the node's options and gives their path; none for a node that knows nothing of repeats.
func writeRecognising(dir, mode string) (path string, err error) {
	if mode == "off" {
		return "", nil
	}
	secret, folder := "", ""
	if mode != "memory" {
		secret, folder = filepath.Join(dir, "secret"), filepath.Join(dir, "journal")
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return "", err
		}
		if err := os.WriteFile(secret, []byte("the secret of a lab"), 0o600); err != nil {
			return "", err
		}
	}
	path = filepath.Join(dir, "options.toml")
	return path, os.WriteFile(path, fmt.Appendf(nil, recognising, secret, folder, mode == "recorded"), 0o600)
}
