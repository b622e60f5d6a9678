package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/output"
)

// The variables that name the two files, each in place of a flag.
const (
	configVariable  = "ROUTER_CONFIG"
	optionsVariable = "LINENWHEEL_OPTIONS"
)

// shell is what a sub-command has to work with.
type shell struct {
	getenv          func(string) string
	out, errs       io.Writer
	config, options string // as the flags have them
	takeover        string // the control socket of the process to take over from
}

// run carries out one command line and returns the exit status: 1 for a failure, 2 for a bad command line or
// configuration.
func run(args []string, getenv func(string) string, out, errs io.Writer) int {
	to := output.On(out)
	s := &shell{getenv: getenv, out: to, errs: errs}
	root := s.command("linenwheel", "run one node, or look at its configuration", true, s.serve)
	root.ShortUsage = "linenwheel [serve|check|config|inventory|quota|repeats|status|peers|policy|raters|keep|lab|version] [flags]"
	root.Subcommands = []*ffcli.Command{
		s.serveCommand(),
		s.command("check", "read the configuration and print every fault", true, s.check),
		s.configCommand(),
		s.inventoryCommand(),
		s.repeatsCommand(),
		s.quotaCommand(),
		s.statusCommand(),
		s.peersCommand(),
		s.policyCommand(),
		s.ratersCommand(),
		s.keepCommand(),
		s.labCommand(),
		s.command("version", "print the version", false, s.version),
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2 // the flag set has said why
	}
	err := root.Run(context.Background())
	if err == nil {
		err = to.Err()
	}
	var faults badConfiguration
	var fault *config.FieldError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return 2
	case errors.As(err, &faults), errors.As(err, &fault):
		fmt.Fprintln(errs, "linenwheel:", err)
		return 2
	}
	fmt.Fprintln(errs, "linenwheel:", err)
	return 1
}

// command makes a sub-command that takes no arguments.
func (s *shell) command(name, help string, files bool, exec func(context.Context) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.errs)
	if files {
		// Given before the sub-command's name they hold too.
		flags.StringVar(&s.config, "config", "", "the platform's configuration `file`, in place of "+configVariable)
		flags.StringVar(&s.options, "options", "", "the options `file`, in place of "+optionsVariable)
	}
	return &ffcli.Command{Name: name, ShortUsage: "linenwheel " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				fmt.Fprintf(s.errs, "linenwheel: %s does not take %q\n", name, args[0])
				return flag.ErrHelp // the usage follows
			}
			return exec(ctx)
		}}
}

// env is the environment with the flags in it.
func (s *shell) env(name string) string {
	switch {
	case name == configVariable && s.config != "":
		return s.config
	case name == optionsVariable && s.options != "":
		return s.options
	}
	return s.getenv(name)
}

// load reads both files and gives every fault of them.
func (s *shell) load() (*config.Config, *options.File, badConfiguration) {
	conf, faults := config.Check(s.env)
	file, more := options.Load(s.env(optionsVariable))
	if len(faults) == 0 && len(more) == 0 {
		more = file.Against(conf)
	}
	return conf, file, append(faults, more...)
}

// badConfiguration is every fault of a configuration.
type badConfiguration []*config.FieldError

func (b badConfiguration) Error() string {
	text := "configuration: " + b[0].Error()
	if len(b) > 1 {
		text += fmt.Sprintf(" (and %d more: see linenwheel check)", len(b)-1)
	}
	return text
}
