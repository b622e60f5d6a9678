package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/load/null"
)

// nullReady begins the line that says where the null server listens.
const nullReady = "listening on "

func nullCommand(to streams) *ffcli.Command {
	var set null.Settings
	flags := flagSet("linenwheel-lab null", to)
	listen := flags.String("listen", "127.0.0.1:0", "the address")
	flags.IntVar(&set.Status, "status", 200, "of each answer")
	flags.IntVar(&set.Body, "body", 0, "bytes of each answer")
	flags.DurationVar(&set.Delay, "delay", 0, "before each answer")
	flags.DurationVar(&set.Every, "every", 0, "from the first request on, all answers stall once in so long ...")
	flags.DurationVar(&set.Stall, "stall", 0, "... until so long after the stall began")
	return &ffcli.Command{
		Name:       "null",
		ShortUsage: "linenwheel-lab null [-listen ADDRESS] [flags]",
		ShortHelp:  "a server that answers at once, to measure the load tool against",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			server, err := null.New(set)
			if err != nil {
				return usage(err)
			}
			l, err := net.Listen("tcp", *listen)
			if err != nil {
				return err
			}
			fmt.Fprintln(to.out, nullReady+l.Addr().String())
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(l) }()
			select {
			case err := <-ended:
				return err
			case <-ctx.Done():
			}
			// Connections that clients keep open would hold a full stop back for good.
			closed := make(chan error, 1)
			go func() { closed <- server.Close() }()
			select {
			case err = <-closed:
			case <-time.After(time.Second):
			}
			fmt.Fprintf(to.errs, "%d requests\n", server.Requests())
			return err
		},
	}
}
