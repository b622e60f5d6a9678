// Command linenwheel-etcd reads and watches the list of hosts in an etcd cluster and serves it to the nodes on its
// machine. It is a separate program because the gRPC client that etcd requires would more than double the footprint of an
// idle node.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1) // one pending signal is enough: further ones would request the same reload
	signal.Notify(reloads, syscall.SIGHUP)
	status := run(ctx, os.Args[1:], os.Getenv, os.Stdout, os.Stderr, reloads)
	stop()
	os.Exit(status)
}
