package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// ratersCommand takes raters out of the whole fleet's work, and back: a change of the fleet's policy, so that every node is shown
// to hold it, or none does.
func (s *shell) ratersCommand() *ffcli.Command {
	id, fleetWide := "", false
	sub := func(name, help string, out bool) *ffcli.Command {
		flags := flag.NewFlagSet(name, flag.ContinueOnError)
		flags.SetOutput(s.errs)
		flags.StringVar(&s.options, "options", "", "the options `file` with a table peers, in place of "+optionsVariable)
		flags.BoolVar(&fleetWide, "fleet", false, "for every node; for one alone, ask at its operators' door")
		flags.StringVar(&id, "id", "", "the proposal's `id`, to ask again what became of one; empty = drawn")
		return &ffcli.Command{Name: name, ShortUsage: "linenwheel raters " + name + " -fleet [flags] RATER", ShortHelp: help, FlagSet: flags,
			Exec: func(ctx context.Context, args []string) error {
				if len(args) != 1 || !fleetWide {
					return flag.ErrHelp
				}
				f, err := s.fleet()
				if err != nil {
					return err
				}
				ctx, stop := context.WithTimeout(ctx, f.patience)
				defer stop()
				defer f.log.Close()
				return s.leaveOut(ctx, f, args[0], out, id)
			}}
	}
	c := s.command("raters", "take raters out of the whole fleet's work, and back", false, func(context.Context) error { return flag.ErrHelp })
	c.ShortUsage = "linenwheel raters suspend|resume -fleet [flags] RATER"
	c.Subcommands = []*ffcli.Command{sub("suspend", "no node gives the rater new work", true), sub("resume", "every node gives it work again", false)}
	return c
}

// leaveOut proposes the document that holds with inventory.out changed. Comments in it are lost.
func (s *shell) leaveOut(ctx context.Context, f *fleet, rater string, out bool, id string) error {
	v, err := question[rollout.View](ctx, f, statemachine.PolicyQuestion{})
	if err != nil {
		return err
	}
	d := rollout.Document{}
	if v.Number > 0 {
		if d, err = question[rollout.Document](ctx, f, statemachine.PolicyQuestion{Document: &v.Number}); err != nil {
			return err
		}
	}
	text, err := withOut(d.Text, rater, out)
	if err != nil {
		return fmt.Errorf("raters: %w", err)
	}
	return s.propose(ctx, f, rollout.Proposal{ID: id, Text: text}, int64(v.Number), true)
}

// withOut changes inventory.out of a document.
func withOut(text, rater string, out bool) (string, error) {
	doc := map[string]any{}
	if err := toml.Unmarshal([]byte(text), &doc); err != nil {
		return "", err
	}
	table, ok := doc["inventory"].(map[string]any)
	if !ok {
		table = map[string]any{}
	}
	list, _ := table["out"].([]any)
	at := slices.Index(list, any(rater))
	switch {
	case out && at >= 0:
		return "", errors.New("it is out already")
	case !out && at < 0:
		return "", errors.New("it is not out by the fleet's policy")
	case out:
		list = append(list, rater)
	default:
		list = slices.Delete(list, at, at+1)
	}
	if table["out"] = list; len(list) == 0 {
		delete(table, "out")
	}
	if doc["inventory"] = table; len(table) == 0 {
		delete(doc, "inventory")
	}
	b, err := toml.Marshal(doc)
	return string(b), err
}
