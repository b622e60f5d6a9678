package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/plain"
	"linenwheel.dev/linenwheel/lab/wrong"
)

const nodeHelp = `It runs one of the lab's own nodes as the platform starts nodes (ROUTER_CONFIG names the configuration):

  plain         a yardstick: net/http, least held, tries the next rater when a connection fails
  careful       as simple, but it keeps the rules
  wrong-FAULT   the careful one with a fault; FAULT is one of
                %s

The lab starts them by these names: linenwheel-lab run calm -node-cmd plain`

func nodeCommand(to streams) *ffcli.Command {
	faults := make([]string, len(wrong.Faults))
	for i, f := range wrong.Faults {
		faults[i] = string(f)
	}
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "linenwheel-lab node plain|careful|wrong-FAULT",
		ShortHelp:  "run one of the lab's own nodes: a yardstick, a careful one, or one that breaks a rule",
		LongHelp:   fmt.Sprintf(nodeHelp, strings.Join(faults, ", ")),
		FlagSet:    flagSet("linenwheel-lab node", to),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage(fmt.Errorf("want one of plain, careful and wrong-FAULT"))
			}
			kind, ok := nodeKind(args[0])
			if !ok {
				return usage(fmt.Errorf("no node %q: want plain, careful or wrong-FAULT", args[0]))
			}
			// Signals are the node's own matter.
			ctx = context.WithoutCancel(ctx)
			if kind == plainNode {
				return plain.Serve(ctx, os.Getenv)
			}
			return wrong.Serve(ctx, os.Getenv, kind)
		},
	}
}

// plainNode stands for the yardstick among the faults.
const plainNode wrong.Fault = "plain"

func nodeKind(name string) (wrong.Fault, bool) {
	switch fault, isWrong := strings.CutPrefix(name, "wrong-"); {
	case name == "plain":
		return plainNode, true
	case name == "careful":
		return wrong.None, true
	case isWrong && slices.Contains(wrong.Faults, wrong.Fault(fault)):
		return wrong.Fault(fault), true
	}
	return "", false
}

// nodeShell gives the shell command of a node: one of the lab's own by name, the linenwheel beside this program for "", or the command
// itself.
func nodeShell(command string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	if _, ok := nodeKind(command); ok {
		return quote(self) + " node " + command, nil
	}
	if command != "" {
		return command, nil
	}
	beside := filepath.Join(filepath.Dir(self), "linenwheel")
	if _, err := os.Stat(beside); err != nil {
		return "", fmt.Errorf("no node beside the lab (%w): build it, or name one with -node-cmd", err)
	}
	return quote(beside) + " serve", nil
}

func quote(path string) string { return "'" + strings.ReplaceAll(path, "'", `'\''`) + "'" }
