package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// errUndecided is what a proposal ends with of which it is not known yet what became of it.
var errUndecided = errors.New("it is not known yet")

// policyCommand looks after the fleet's policy.
func (s *shell) policyCommand() *ffcli.Command {
	id, base, wait, asJSON := "", int64(-1), true, false
	sub := func(name, args, help string, exec func(context.Context, *fleet, []string) error) *ffcli.Command {
		return s.fleetCommand("policy", name, args, help, exec)
	}
	propose := sub("propose", "FILE", "have the fleet judge by a document, everywhere or nowhere", func(ctx context.Context, f *fleet, args []string) error {
		if len(args) != 1 {
			return flag.ErrHelp
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return fmt.Errorf("policy: %w", err)
		}
		return s.propose(ctx, f, rollout.Proposal{ID: id, Text: string(text)}, base, wait)
	})
	back := sub("roll-back", "NUMBER", "propose the document of an earlier number as a new one", func(ctx context.Context, f *fleet, args []string) error {
		d, err := f.document(ctx, args)
		if err != nil {
			return err
		}
		return s.propose(ctx, f, rollout.Proposal{ID: id, Text: d.Text}, base, wait)
	})
	for _, c := range []*ffcli.Command{propose, back} {
		c.FlagSet.StringVar(&id, "id", "", "the proposal's `id`, to ask again what became of one; empty = drawn")
		c.FlagSet.Int64Var(&base, "base", -1, "the `number` that it is based on; below 0 = the one that holds")
		c.FlagSet.BoolVar(&wait, "wait", true, "wait until it is agreed or refused")
	}
	status := sub("status", "[PROPOSAL]", "which policy holds, who holds it, and what is under way; or what became of a proposal",
		func(ctx context.Context, f *fleet, args []string) error { return s.policyStatus(ctx, f, args, asJSON) })
	status.FlagSet.BoolVar(&asJSON, "json", false, "print JSON, for programs")
	c := s.command("policy", "look after the policy by which the whole fleet judges calls", false, func(context.Context) error { return flag.ErrHelp })
	c.ShortUsage = "linenwheel policy check|propose|status|show|history|diff|roll-back|dead [flags]"
	c.Subcommands = []*ffcli.Command{s.policyCheckCommand(), propose, status,
		sub("show", "[NUMBER]", "print a document; without a number the one that holds", func(ctx context.Context, f *fleet, args []string) error {
			d, err := f.document(ctx, args)
			if err == nil {
				_, err = fmt.Fprint(s.out, d.Text)
			}
			return err
		}),
		sub("history", "", "print the numbers that held", s.policyHistory),
		sub("diff", "NUMBER [NUMBER]", "print the lines in which two documents differ; the second is the one that holds", s.policyDiff),
		back,
		sub("dead", "NODE", "declare a node's processes dead, so that no change waits for them; it must be true", func(ctx context.Context, f *fleet, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			n, err := ask[int](ctx, f, statemachine.PolicyCommand{DeadNode: args[0]})
			if err == nil {
				fmt.Fprintf(s.out, "linenwheel: %d processes of %s are taken for dead\n", n, args[0])
			}
			return err
		})}
	return c
}

// ask has a command agreed and gives what it came to.
func ask[T any](ctx context.Context, f *fleet, c statemachine.PolicyCommand) (v T, err error) {
	r, err := f.log.Do(ctx, statemachine.ComponentPolicy, c)
	return v, answered(r, err, &v)
}

// question asks what is agreed.
func question[T any](ctx context.Context, f *fleet, q statemachine.PolicyQuestion) (v T, err error) {
	r, err := f.log.Read(ctx, statemachine.ComponentPolicy, q)
	return v, answered(r, err, &v)
}

func answered(r statemachine.Reply, err error, v any) error {
	if err == nil && r.Code != statemachine.OK {
		err = errors.New(r.Text)
	}
	if err == nil {
		err = json.Unmarshal(r.Body, v)
	}
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	return nil
}

// document gives the one whose number is named, or the one that holds.
func (f *fleet) document(ctx context.Context, args []string) (d rollout.Document, err error) {
	switch len(args) {
	case 0:
		v, err := question[rollout.View](ctx, f, statemachine.PolicyQuestion{})
		if err != nil {
			return d, err
		}
		if v.Number == 0 {
			return d, errors.New("policy: none was agreed: each node's own file holds")
		}
		return question[rollout.Document](ctx, f, statemachine.PolicyQuestion{Document: &v.Number})
	case 1:
		n, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return d, fmt.Errorf("policy: %q is no number of a policy", args[0])
		}
		return question[rollout.Document](ctx, f, statemachine.PolicyQuestion{Document: &n})
	}
	return d, flag.ErrHelp
}

// propose has a change agreed, and tells what became of it: agreed, refused, or not known yet with how to find out.
func (s *shell) propose(ctx context.Context, f *fleet, p rollout.Proposal, base int64, wait bool) error {
	if p.ID == "" {
		p.ID = fmt.Sprintf("p-%x", rand.Uint64())
	}
	p.By = "somebody"
	if u, err := user.Current(); err == nil {
		p.By = u.Username
	}
	if base < 0 {
		v, err := question[rollout.View](ctx, f, statemachine.PolicyQuestion{})
		if err != nil {
			return err
		}
		base = int64(v.Number)
	}
	p.Base = uint64(base)
	if n := len(p.Text); n > rollout.MaxDocumentBytes { // the log does not take a command of that size
		return s.outcome(rollout.Outcome{Stage: rollout.Rejected, Reason: fmt.Sprintf("it has %d bytes, %d at the most", n, rollout.MaxDocumentBytes)})
	}
	o, err := ask[rollout.Outcome](ctx, f, statemachine.PolicyCommand{Propose: &p})
	if err != nil && !errors.Is(err, client.ErrUnknown) {
		return fmt.Errorf("nothing has changed: %w", err)
	}
	for err == nil && wait && (o.Stage == rollout.Validating || o.Stage == rollout.Pausing) && ctx.Err() == nil {
		time.Sleep(lookEvery)
		var next rollout.Outcome
		if next, err = question[rollout.Outcome](ctx, f, statemachine.PolicyQuestion{Outcome: p.ID}); err == nil {
			o = next
		}
	}
	if err != nil {
		return fmt.Errorf("%w: linenwheel policy status %s tells what becomes of it: %w", errUndecided, p.ID, err)
	}
	return s.outcome(o)
}

func (s *shell) outcome(o rollout.Outcome) error {
	switch o.Stage {
	case rollout.Activated:
		_, err := fmt.Fprintf(s.out, "linenwheel: agreed: number %d holds everywhere\n", o.Number)
		return err
	case rollout.Rejected:
		return fmt.Errorf("policy: refused, nothing has changed: %s", o.Reason)
	}
	return fmt.Errorf("policy: %w, it is at %q: linenwheel policy status %s", errUndecided, o.Stage, o.ID)
}

func (s *shell) policyStatus(ctx context.Context, f *fleet, args []string, asJSON bool) error {
	if len(args) > 1 {
		return flag.ErrHelp
	}
	if len(args) == 1 {
		o, err := question[rollout.Outcome](ctx, f, statemachine.PolicyQuestion{Outcome: args[0]})
		if err != nil {
			return err
		}
		return s.outcome(o)
	}
	v, err := question[rollout.View](ctx, f, statemachine.PolicyQuestion{})
	if err != nil {
		return err
	}
	if asJSON {
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	if v.Number == 0 {
		fmt.Fprintln(w, "holds\teach node's own file: no policy was agreed yet")
	} else {
		fmt.Fprintf(w, "holds\tnumber %d, document %s\n", v.Number, v.Hash)
	}
	if v.Change != nil {
		fmt.Fprintf(w, "under way\t%s of %s, %s\n", v.Change.ID, v.Change.By, v.Change.Stage)
	}
	fmt.Fprintln(w, "\nNODE\tHOLDS\tLEASE\tLOOKED\tSTOPPED\tLIFE")
	for _, m := range v.Members {
		lease := "none"
		switch {
		case m.Until >= math.MaxFloat64/2:
			lease = "goes on without"
		case m.Until > 0:
			lease = "yes"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%x\n", m.Node, m.InForce, lease, m.Validated, m.Paused, m.Incarnation)
	}
	return w.Flush()
}

func (s *shell) policyHistory(ctx context.Context, f *fleet, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	v, err := question[rollout.View](ctx, f, statemachine.PolicyQuestion{})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NUMBER\tDOCUMENT\tBY\tPROPOSAL")
	for _, d := range v.History {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", d.Number, d.Hash, d.By, d.ID)
	}
	for _, o := range v.Ended {
		if o.Stage == rollout.Rejected {
			fmt.Fprintf(w, "refused\t-\t%s\t%s\n", o.Reason, o.ID)
		}
	}
	return w.Flush()
}

// policyDiff prints lines that only one of two documents has, in their order.
func (s *shell) policyDiff(ctx context.Context, f *fleet, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return flag.ErrHelp
	}
	a, err := f.document(ctx, args[:1])
	if err != nil {
		return err
	}
	b, err := f.document(ctx, args[1:])
	if err != nil {
		return err
	}
	only := func(sign string, of, other rollout.Document) {
		there := map[string]int{}
		for line := range strings.Lines(other.Text) {
			there[strings.TrimRight(line, "\n")]++
		}
		for line := range strings.Lines(of.Text) {
			line = strings.TrimRight(line, "\n")
			if there[line]--; there[line] < 0 {
				fmt.Fprintln(s.out, sign, line)
			}
		}
	}
	only("-", a, b)
	only("+", b, a)
	return nil
}

// policyCheckCommand holds a document against this machine's own files, without asking the fleet.
func (s *shell) policyCheckCommand() *ffcli.Command {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(s.errs)
	flags.StringVar(&s.config, "config", "", "the platform's configuration `file`, in place of "+configVariable)
	flags.StringVar(&s.options, "options", "", "the options `file`, in place of "+optionsVariable)
	return &ffcli.Command{Name: "check", ShortUsage: "linenwheel policy check [flags] FILE", FlagSet: flags,
		ShortHelp: "hold a document against this machine's own files, without proposing it",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			conf, file, faults := s.load()
			if len(faults) > 0 {
				return faults
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("policy: %w", err)
			}
			_, found := options.Overlay(file.Options, args[0], text, conf, nil)
			if len(text) > rollout.MaxDocumentBytes {
				found = append(found, &config.FieldError{File: args[0], Err: fmt.Errorf("has %d bytes, %d at the most", len(text), rollout.MaxDocumentBytes)})
			}
			if len(found) > 0 {
				return badConfiguration(found)
			}
			_, err = fmt.Fprintf(s.out, "linenwheel: this machine can take document %s\n", rollout.Hash(string(text)))
			return err
		}}
}
