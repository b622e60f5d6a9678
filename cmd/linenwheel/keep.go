package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// beside becomes a program that lies beside this one, with all that follows on the command line.
func (s *shell) beside(name, program, usage, help string) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.errs)
	return &ffcli.Command{Name: name, ShortUsage: usage, FlagSet: flags,
		ShortHelp: help + ": starts the " + program + " beside this program",
		Exec: func(_ context.Context, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), program)
			if err := syscall.Exec(path, append([]string{program}, args...), os.Environ()); err != nil {
				return fmt.Errorf("%s: %s does not start: %w (go build ./cmd/%s makes it)", name, path, err, program)
			}
			return nil
		}}
}

// keepCommand becomes a keeper. It is a program of its own, so that the consensus library weighs nothing in a node.
func (s *shell) keepCommand() *ffcli.Command {
	c := s.beside("keep", "linenwheel-keep", "linenwheel keep [-options FILE] [-name NAME] [-recover FLEET|-raise COPY [-yes]]",
		"keep copies of what the fleet's nodes hold for each other")
	c.FlagSet.String("options", "", "the options `file`, in place of "+optionsVariable)
	c.FlagSet.String("name", "", "the `name` of this keeper, in place of peers.name and ROUTER_NAME")
	c.FlagSet.String("recover", "", "go on, under another name, with what this keeper has left of this `fleet`, whose majority is lost for good")
	c.FlagSet.String("raise", "", "go on, under another name, with the copy in this `file`, which linenwheel peers copy made")
	c.FlagSet.Bool("yes", false, "with -recover and -raise: do it, in place of telling what it would mean")
	exec := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		given := []string{}
		c.FlagSet.Visit(func(f *flag.Flag) { given = append(given, "-"+f.Name+"="+f.Value.String()) })
		return exec(ctx, append(given, args...))
	}
	return c
}
