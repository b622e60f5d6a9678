// Command linenwheel-lab measures nodes: it plays load and emulated fleets against them and judges what comes of it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/output"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], streams{out: os.Stdout, errs: os.Stderr})
	stop()
	os.Exit(status)
}

// streams are what a command writes to: its result, and what goes on beside it.
type streams struct{ out, errs io.Writer }

// commands makes the sub-commands, one file each.
var commands = []func(streams) *ffcli.Command{
	listCommand,
	runCommand,
	compareCommand,
	surveyCommand,
	refereeCheckCommand,
	loadCommand,
	nodeCommand,
	nullCommand,
	quotaCommand,
	reportCommand,
	simCommand, scaleCommand,
	replayCommand,
	duplicatesCommand,
	thriftCommand,
	listsCommand,
	circleCommand,
	policiesCommand,
	pointsCommand, roomsCommand, lifeCommand, newcomerCommand,
	daysCommand, soakCommand,
}

// The ways in which a command can end badly, beside those that have no status of their own.
var (
	// errVerdict ends with status 1 and prints nothing more: the command has said what was wrong.
	errVerdict = errors.New("not passed")
	// errUsage ends with status 2: the command line or a file that it names cannot work.
	errUsage = errors.New("usage")
)

// usage marks an error as one of the command line or of a file.
func usage(err error) error { return fmt.Errorf("%w: %w", errUsage, err) }

// run carries out one command line and gives the exit status.
func run(ctx context.Context, args []string, to streams) int {
	out := output.On(to.out)
	to.out = out
	root := &ffcli.Command{
		Name:       "linenwheel-lab",
		ShortUsage: "linenwheel-lab <command> [flags]",
		FlagSet:    flagSet("linenwheel-lab", to),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, make := range commands {
		root.Subcommands = append(root.Subcommands, make(to))
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		// The flag package has said what is wrong.
		return 2
	}
	err := root.Run(ctx)
	if err == nil {
		err = out.Err()
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errVerdict):
		return 1
	case errors.Is(err, flag.ErrHelp):
		return 2
	case errors.Is(err, errUsage):
		fmt.Fprintln(to.errs, "linenwheel-lab:", err)
		return 2
	}
	fmt.Fprintln(to.errs, "linenwheel-lab:", err)
	return 1
}

// flagSet makes the flags of a command; what is wrong with them goes to errs.
func flagSet(name string, to streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(to.errs)
	return flags
}

// noArgs refuses what stands behind the flags.
func noArgs(args []string) error {
	if len(args) > 0 {
		return usage(fmt.Errorf("%q: want flags alone", args[0]))
	}
	return nil
}
