package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/control"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/node"
)

// quotaCommand looks into the quotas of a running node.
func (s *shell) quotaCommand() *ffcli.Command {
	socket := ""
	sub := func(name, use, help string, exec func(list []quota.Status, args []string) error) *ffcli.Command {
		flags := flag.NewFlagSet(name, flag.ContinueOnError)
		flags.SetOutput(s.errs)
		flags.StringVar(&s.options, "options", "", "the options `file` that names the control socket, in place of "+optionsVariable)
		flags.StringVar(&socket, "socket", "", "the node's control `socket`, in place of the one that the options name")
		return &ffcli.Command{Name: name, ShortUsage: "linenwheel quota " + use, ShortHelp: help, FlagSet: flags,
			Exec: func(_ context.Context, args []string) error {
				list, err := s.quotas(socket)
				if err != nil {
					return err
				}
				return exec(list, args)
			}}
	}
	c := s.command("quota", "look into the quotas of a running node", false, func(context.Context) error { return flag.ErrHelp })
	c.ShortUsage = "linenwheel quota show|explain|fleet [flags]"
	c.Subcommands = []*ffcli.Command{
		sub("show", "show [flags]", "balances, debts, who lent to whom and why the last were refused",
			func(list []quota.Status, args []string) error {
				if len(args) > 0 {
					return flag.ErrHelp
				}
				return s.showQuotas(list)
			}),
		sub("explain", "explain [flags] NODE", "what stands between a node and more", func(list []quota.Status, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			return s.explainQuota(list, args[0])
		}),
		s.fleetCommand("quota", "fleet", "", "what of the fleet's room is leased, due, owed and owing", s.fleetRoom)}
	return c
}

// fleetRoom asks the keepers how the fleet's room is divided.
func (s *shell) fleetRoom(ctx context.Context, f *fleet, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	r, err := f.log.Read(ctx, statemachine.ComponentQuotaLeases, struct{}{})
	var v lease.View
	if err == nil {
		err = json.Unmarshal(r.Body, &v)
	}
	if err != nil {
		return fmt.Errorf("quota: fleet: %w", err)
	}
	if v.Tree == "" {
		return errors.New("quota: fleet: no node has asked for a lease")
	}
	fmt.Fprintf(s.out, "tree %s of policy %d; %d nodes hold leases of %.0f%% of the room\n", v.Tree, v.Number, v.Members, 100*v.Leased)
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tDUE\tLEASED\tOWED\tOWES\t(parts of all room; seconds of it)")
	for _, h := range v.Nodes {
		name := h.Name
		if name == "" {
			name = "(all)"
		}
		fmt.Fprintf(w, "%s\t%.1f%%\t%.1f%%\t%.3f\t%.3f\n", name, 100*h.Due, 100*h.Leased, h.Credit, h.Debt)
	}
	return w.Flush()
}

// quotas asks a node.
func (s *shell) quotas(socket string) ([]quota.Status, error) {
	if socket == "" {
		file, faults := options.Load(s.env(optionsVariable))
		if len(faults) > 0 {
			return nil, badConfiguration(faults)
		}
		if socket = file.Options.Takeover.Socket; socket == "" {
			return nil, errors.New("quota: name a control socket, or options in which takeover.socket names one")
		}
	}
	text, err := control.Ask(socket, version)
	if err != nil {
		return nil, err
	}
	var status node.Status
	if err := json.Unmarshal(text, &status); err != nil {
		return nil, fmt.Errorf("quota: %s: %w", socket, err)
	}
	if len(status.Quotas) == 0 {
		return nil, errors.New("quota: the node holds no one to a quota")
	}
	return status.Quotas, nil
}

func (s *shell) showQuotas(list []quota.Status) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tIN\tGUARANTEE/S\tTOKENS\tOF\tOWED\tOWES\tLENT TO\tWITHIN\tBORROWED\tPAID BACK\tREFUSED\tLAST FOR")
	for _, n := range list {
		name := n.Name
		if name == "" {
			name = "(all)"
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%d\t%d\t%d\t%d\t%s\n", name, n.Parent, n.Rate[0], n.Tokens[0], n.Cap[0],
			n.Credit, n.Debt, n.LentTo, n.Guaranteed, n.Borrowed, n.Repaid, n.Rejected, n.Reason)
	}
	return w.Flush()
}

// explainQuota tells, from a node up to the root, what each has.
func (s *shell) explainQuota(list []quota.Status, name string) error {
	by := map[string]quota.Status{}
	for _, n := range list {
		by[n.Name] = n
	}
	n, ok := by[name]
	if !ok {
		return fmt.Errorf("quota: no node %q that has been asked for", name)
	}
	fmt.Fprintf(s.out, "%s: %d calls within its guarantee, %d borrowed, %d paid back, %d refused\n", name, n.Guaranteed, n.Borrowed,
		n.Repaid, n.Rejected)
	if n.Reason != "" {
		fmt.Fprintf(s.out, "the last refusal was for: %s\n", n.Reason)
	}
	for ; ; n = by[n.Parent] {
		what := n.Name
		if what == "" {
			what = "all together"
		}
		fmt.Fprintf(s.out, "%s: guaranteed %.1f requests a second, %.1f of %.1f saved up; is owed %.1f, owes %.1f\n", what, n.Rate[0],
			n.Tokens[0], n.Cap[0], n.Credit, n.Debt)
		if n.Name == "" {
			return nil
		}
	}
}
