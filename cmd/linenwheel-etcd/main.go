// Command linenwheel-etcd reads and watches the list of hosts in an etcd cluster and hands it on to the nodes of its
// machine. It is a program of its own because the gRPC that etcd speaks would more than double an idle node.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	again := make(chan os.Signal, 1) // a signal that comes while one waits here is the same news
	signal.Notify(again, syscall.SIGHUP)
	status := run(ctx, os.Args[1:], os.Getenv, os.Stdout, os.Stderr, again)
	stop()
	os.Exit(status)
}
