package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/daemon"
	"linenwheel.dev/linenwheel/node"
)

func (s *shell) serveCommand() *ffcli.Command {
	c := s.command("serve", "run the node that the environment describes (the default)", true, s.serve)
	c.FlagSet.StringVar(&s.takeover, "takeover", "", "take the place of the process that answers at the control `socket`, "+
		"if there is one")
	return c
}

// serve runs a node until SIGTERM, an interrupt, or a process that takes its place. SIGHUP has it read its configuration
// again, SIGUSR2 start such a process.
func (s *shell) serve(context.Context) error {
	// A signal to end that comes while the files are read ends the process, which has taken nothing; the others would do
	// that too, unless they are heard from the first moment on.
	reload, roll := signals(syscall.SIGHUP), signals(syscall.SIGUSR2)
	conf, file, faults := s.load()
	if len(faults) > 0 {
		return faults
	}
	node.SetLimits(conf, &file.Options)
	level := new(slog.LevelVar)
	set := daemon.Settings{Config: conf, Options: &file.Options, Release: version, Path: s.takeover,
		Log: node.NewLog(s.errs, &file.Options, level), Level: level, Env: s.env}
	path := file.Options.Takeover.Socket
	if path == "" {
		path = s.takeover
	}
	if path != "" {
		set.Command = []string{os.Args[0], "serve", "-takeover", path}
		for _, f := range []struct{ flag, value string }{{"-config", s.config}, {"-options", s.options}} {
			if f.value != "" {
				set.Command = append(set.Command, f.flag, f.value)
			}
		}
	}
	//nolint:contextcheck // a node ends by its signals, for a command's context is never done
	return daemon.Run(set, daemon.Signals{End: signals(syscall.SIGTERM, syscall.SIGINT), Reload: reload, Roll: roll})
}

func signals(list ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, list...)
	return c
}
