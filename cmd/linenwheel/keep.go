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
	c := s.beside("keep", "linenwheel-keep", "linenwheel keep [-options FILE] [-name NAME]",
		"keep copies of what the fleet's nodes hold for each other")
	options, name := "", ""
	c.FlagSet.StringVar(&options, "options", "", "the options `file`, in place of "+optionsVariable)
	c.FlagSet.StringVar(&name, "name", "", "the `name` of this keeper, in place of peers.name and ROUTER_NAME")
	exec := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		for _, f := range []struct{ flag, value string }{{"-name", name}, {"-options", options}} {
			if f.value != "" {
				args = append([]string{f.flag, f.value}, args...)
			}
		}
		return exec(ctx, args)
	}
	return c
}
