package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/consensus/backup"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// lookEvery is the time between two looks at a change of members that is under way.
const lookEvery = 50 * time.Millisecond

// peersCommand looks after the keepers of a fleet.
func (s *shell) peersCommand() *ffcli.Command {
	asJSON, was := false, int64(-1)
	sub := func(name, args, help string, exec func(context.Context, *fleet, []string) error) *ffcli.Command {
		return s.fleetCommand("peers", name, args, help, exec)
	}
	status := sub("status", "", "ask every keeper how it does; status 1 if none leads", func(ctx context.Context, f *fleet, args []string) error {
		return s.peersStatus(ctx, f, args, asJSON)
	})
	status.FlagSet.BoolVar(&asJSON, "json", false, "print JSON, for programs")
	set := sub("set", "NAME VALUE ", "hold a value in the register, an empty one to take the name out",
		func(ctx context.Context, f *fleet, args []string) error { return s.set(ctx, f, args, was) })
	set.FlagSet.Int64Var(&was, "was", -1, "hold it only if this is the `number` that holds now; 0 = nothing is held")
	c := s.command("peers", "look after the keepers of a fleet", false, func(context.Context) error { return flag.ErrHelp })
	c.ShortUsage = "linenwheel peers status|found|add|remove|replace|raise|copy|get|set [flags]"
	c.Subcommands = []*ffcli.Command{status,
		sub("found", "", "make empty keepers the first members of the fleet, once", s.found),
		sub("add", "NAME ", "take one more keeper in, which is running and empty", s.addKeeper),
		sub("remove", "NAME ", "take a keeper out", s.removeKeeper),
		sub("replace", "NAME ", "have the empty keeper that runs under a name take the vote of the one that was lost", s.replaceKeeper),
		sub("raise", "", "say that no keeper goes back to the release before: what only this one knows may be used", s.raise),
		sub("copy", "FILE ", "put all that the fleet holds into a file, for keeping elsewhere", s.copyFleet),
		sub("get", "[NAME] ", "print what the register holds", s.get), set}
	return c
}

// fleetCommand makes a sub-command of a group that asks the agreed log, for as long as peers.patience says.
func (s *shell) fleetCommand(group, name, args, help string, exec func(context.Context, *fleet, []string) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.errs)
	flags.StringVar(&s.options, "options", "", "the options `file` with a table peers, in place of "+optionsVariable)
	return &ffcli.Command{Name: name, ShortUsage: fmt.Sprintf("linenwheel %s %s [flags] %s", group, name, args), ShortHelp: help,
		FlagSet: flags, Exec: func(ctx context.Context, args []string) error {
			f, err := s.fleet()
			if err != nil {
				return err
			}
			ctx, stop := context.WithTimeout(ctx, f.patience)
			defer stop()
			defer f.log.Close()
			return exec(ctx, f, args)
		}}
}

// fleet is what the sub-commands work with.
type fleet struct {
	options  options.Peers
	set      client.Config
	log      *client.Client
	patience time.Duration
}

// fleet reads who the keepers are.
func (s *shell) fleet() (*fleet, error) {
	file, faults := options.Load(s.env(optionsVariable))
	if len(faults) > 0 {
		return nil, badConfiguration(faults)
	}
	p := file.Options.Peers
	if p.Fleet == "" {
		return nil, errors.New("peers: name an options file with a table peers")
	}
	f := &fleet{options: p, patience: time.Duration(p.Patience.Ms * 1e6),
		set: client.Config{Fleet: p.Fleet, Name: "peers", Release: version, AttemptTimeout: time.Duration(p.Try.Ms * 1e6)}}
	for _, m := range p.Members {
		f.set.Replicas = append(f.set.Replicas, client.Replica{Name: m.Name, Address: m.Address})
	}
	f.log = client.New(f.set)
	return f, nil
}

// state asks a keeper how it does.
func (f *fleet) state(ctx context.Context, name string) (*protocol.State, error) {
	address := f.options.Address(name)
	if address == "" {
		return nil, fmt.Errorf("peers.member has no %q", name)
	}
	a, err := client.Call(ctx, f.set, client.Replica{Name: name, Address: address}, protocol.Request{Kind: protocol.Status})
	if err != nil {
		return nil, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	return a.State, nil
}

// started is state of a keeper that may be starting just now: it is waited for while nobody listens at its address.
func (f *fleet) started(ctx context.Context, name string) (*protocol.State, error) {
	for {
		state, err := f.state(ctx, name)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return state, err
		}
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// leader asks whoever leads how it does, once one does: they may be about to choose.
func (f *fleet) leader(ctx context.Context) (*protocol.State, error) {
	for {
		state, err := f.leading(ctx)
		if err == nil {
			return state, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(lookEvery):
		}
	}
}

// leading asks whoever leads how it does.
func (f *fleet) leading(ctx context.Context) (*protocol.State, error) {
	last := errors.New("no keeper leads")
	for _, m := range f.options.Members {
		state, err := f.state(ctx, m.Name)
		if err == nil && state.Role == "leader" {
			return state, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, last
}

// keeperAnswer is what one keeper said.
type keeperAnswer struct {
	Name  string          `json:"name"`
	Error string          `json:"error,omitempty"`
	State *protocol.State `json:"state,omitempty"`
}

func (s *shell) peersStatus(ctx context.Context, f *fleet, args []string, asJSON bool) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	var answers []keeperAnswer
	var lead *protocol.State
	for _, m := range f.options.Members {
		a := keeperAnswer{Name: m.Name}
		state, err := f.state(ctx, m.Name)
		if a.State = state; err != nil {
			a.Error = err.Error()
		} else if state.Role == "leader" && (lead == nil || state.Term > lead.Term) {
			lead = state
		}
		answers = append(answers, a)
	}
	if asJSON {
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(answers); err != nil {
			return err
		}
	} else if err := s.printKeepers(answers, lead); err != nil {
		return err
	}
	if lead == nil {
		return errors.New("peers: no keeper leads: nothing new can be agreed")
	}
	return nil
}

func (s *shell) printKeepers(answers []keeperAnswer, lead *protocol.State) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEEPER\tROLE\tLEADER\tTERM\tAGREED\tAPPLIED\tSESSIONS\tSTARTS\tRELEASE\tID")
	for _, a := range answers {
		if s := a.State; s == nil {
			fmt.Fprintf(w, "%s\tno answer: %s\n", a.Name, a.Error)
		} else {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%x\n", s.Name, s.Role, cmp.Or(s.Leader, "-"), s.Term, s.Committed,
				s.Applied, s.Sessions, s.Starts, s.Release, s.ID)
		}
	}
	if lead != nil {
		fmt.Fprintln(w, "\nMEMBER\tROLE\tHEARD\tHOLDS\tBYTES\tADDRESS\tID")
		for _, m := range lead.Members {
			holds, heard := fmt.Sprint(m.Match), "no"
			if m.Heard || m.ID == lead.ID {
				heard = "yes"
			}
			if m.Role == statemachine.Removed {
				holds, heard = "-", "-"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%x\n", m.Name, m.Role, heard, holds, m.Bytes, m.Address, m.ID)
		}
		if lead.Changing {
			fmt.Fprintln(w, "\na change of the voters is under way: those before are still needed")
		}
	}
	return w.Flush()
}

// found makes the keepers that the options name the first members. Cut off, it can be given again.
func (s *shell) found(ctx context.Context, f *fleet, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	var members []statemachine.Member
	for _, name := range f.options.Keepers {
		state, err := f.started(ctx, name)
		if err != nil {
			return fmt.Errorf("peers: nothing was founded: %w", err)
		}
		members = append(members, statemachine.Member{ID: state.ID, Name: name, Address: f.options.Address(name)})
	}
	now := float64(time.Now().UnixMilli())
	for _, m := range members {
		_, err := client.Call(ctx, f.set, client.Replica{Name: m.Name, Address: m.Address},
			protocol.Request{Kind: protocol.Bootstrap, Members: members, Now: now})
		if err != nil {
			return fmt.Errorf("peers: %s: %w", m.Name, err)
		}
	}
	lead, err := f.leader(ctx)
	if err != nil {
		return fmt.Errorf("peers: the keepers are founded, and none leads yet: %w", err)
	}
	fmt.Fprintf(s.out, "linenwheel: %d keepers are founded, %s leads\n", len(members), lead.Name)
	return nil
}

// settled waits until the members are as wanted, and tells what was agreed.
func (s *shell) settled(ctx context.Context, f *fleet, want func(*protocol.State) (string, bool)) error {
	said := "nothing is known of it"
	for {
		if lead, err := f.leading(ctx); err == nil {
			text, ok := want(lead)
			if said = text; ok && !lead.Changing {
				fmt.Fprintln(s.out, "linenwheel:", text)
				return nil
			}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("peers: it is not done yet, and goes on by itself: %s (see linenwheel peers status)", said)
		}
		time.Sleep(lookEvery)
	}
}

func find(s *protocol.State, id uint64) protocol.Member {
	for _, m := range s.Members {
		if m.ID == id {
			return m
		}
	}
	return protocol.Member{}
}

// enrol has a member learn and then vote, in place of another or as one more.
func (s *shell) enrol(ctx context.Context, f *fleet, m statemachine.Member) error {
	if err := f.log.Change(ctx, protocol.AddLearner, m); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return s.settled(ctx, f, func(lead *protocol.State) (string, bool) {
		switch now := find(lead, m.ID); now.Role {
		case statemachine.Voter:
			return fmt.Sprintf("%s votes, as number %x", m.Name, m.ID), true
		case statemachine.Learner:
			return fmt.Sprintf("%s learns and has come to entry %d of %d", m.Name, now.Match, lead.Committed), false
		}
		return fmt.Sprintf("%s is not taken in yet", m.Name), false
	})
}

func (s *shell) addKeeper(ctx context.Context, f *fleet, args []string) error {
	if len(args) != 1 {
		return flag.ErrHelp
	}
	state, err := f.started(ctx, args[0])
	if err != nil {
		return fmt.Errorf("peers: nothing was changed: %w", err)
	}
	return s.enrol(ctx, f, statemachine.Member{ID: state.ID, Name: args[0], Address: f.options.Address(args[0])})
}

func (s *shell) replaceKeeper(ctx context.Context, f *fleet, args []string) error {
	if len(args) != 1 {
		return flag.ErrHelp
	}
	fresh, err := f.started(ctx, args[0])
	if err != nil {
		return fmt.Errorf("peers: nothing was changed: the empty keeper must run: %w", err)
	}
	lead, err := f.leader(ctx)
	if err != nil {
		return fmt.Errorf("peers: nothing was changed: %w", err)
	}
	m := statemachine.Member{ID: fresh.ID, Name: args[0], Address: f.options.Address(args[0])}
	for _, old := range lead.Members {
		if old.Name == m.Name && old.Role == statemachine.Voter {
			m.Replaces = old.ID
		}
	}
	switch m.Replaces {
	case 0:
		return fmt.Errorf("peers: nothing was changed: no keeper votes as %q: add it", m.Name)
	case m.ID:
		return fmt.Errorf("peers: nothing was changed: %s still has its directory, and votes", m.Name)
	}
	return s.enrol(ctx, f, m)
}

func (s *shell) removeKeeper(ctx context.Context, f *fleet, args []string) error {
	if len(args) != 1 {
		return flag.ErrHelp
	}
	lead, err := f.leader(ctx)
	if err != nil {
		return fmt.Errorf("peers: nothing was changed: %w", err)
	}
	for _, m := range lead.Members {
		if m.Name != args[0] || m.Role == statemachine.Removed {
			continue
		}
		if err := f.log.Change(ctx, protocol.Remove, m.Member); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		return s.settled(ctx, f, func(lead *protocol.State) (string, bool) {
			return fmt.Sprintf("%s, number %x, is taken out", m.Name, m.ID), find(lead, m.ID).Role == statemachine.Removed
		})
	}
	return fmt.Errorf("peers: nothing was changed: no member is called %q", args[0])
}

func (s *shell) get(ctx context.Context, f *fleet, args []string) error {
	if len(args) > 1 {
		return flag.ErrHelp
	}
	g := statemachine.Get{}
	if len(args) == 1 {
		g.Name = args[0]
	}
	r, err := f.log.Read(ctx, statemachine.ComponentRegister, g)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	var list []statemachine.Value
	if g.Name != "" {
		list = make([]statemachine.Value, 1)
		err = json.Unmarshal(r.Body, &list[0])
	} else {
		err = json.Unmarshal(r.Body, &list)
	}
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tNUMBER\tVALUE")
	for _, v := range list {
		fmt.Fprintf(w, "%s\t%d\t%s\n", v.Name, v.Number, v.Value)
	}
	return w.Flush()
}

func (s *shell) set(ctx context.Context, f *fleet, args []string, was int64) error {
	if len(args) != 2 {
		return flag.ErrHelp
	}
	set := statemachine.Set{Name: args[0], Value: args[1]}
	if was >= 0 {
		set.ExpectedNumber = new(uint64(was))
	}
	r, err := f.log.Do(ctx, statemachine.ComponentRegister, set)
	switch {
	case err != nil:
		return fmt.Errorf("peers: %w", err)
	case r.Code != statemachine.OK:
		return fmt.Errorf("peers: nothing was changed: %s", r.Text)
	}
	fmt.Fprintf(s.out, "linenwheel: agreed as number %d\n", r.Index)
	return nil
}

// raise has what this release alone knows be used, once all keepers know it.
func (s *shell) raise(ctx context.Context, f *fleet, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	r, err := f.log.Do(ctx, statemachine.ComponentMembers, statemachine.Raise{Raise: statemachine.Version})
	if err == nil && r.Code != statemachine.OK {
		err = errors.New(r.Text)
	}
	if err != nil {
		return fmt.Errorf("peers: raise: %w", err)
	}
	fmt.Fprintf(s.out, "version %d of the log is used from now on; a keeper of an older release stops when it comes to it\n", statemachine.Version)
	return nil
}

// copyFleet keeps a copy of all that is agreed.
func (s *shell) copyFleet(ctx context.Context, f *fleet, args []string) error {
	if len(args) != 1 {
		return flag.ErrHelp
	}
	patient := f.set
	patient.AttemptTimeout = f.patience // there may be much of it
	log := client.New(patient)
	defer log.Close()
	index, image, err := log.Backup(ctx)
	if err == nil {
		err = backup.Write(args[0], f.set.Fleet, index, image)
	}
	if err != nil {
		return fmt.Errorf("peers: copy: %w", err)
	}
	fmt.Fprintf(s.out, "%s holds the fleet as it was at entry %d, %d bytes; linenwheel keep -raise %s goes on with it under another name\n", args[0], index,
		len(image), args[0])
	return nil
}
