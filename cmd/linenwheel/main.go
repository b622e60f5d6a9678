// Command linenwheel is one node of the reverse proxy.
package main

import (
	"os"

	"linenwheel.dev/linenwheel/internal/node/daemon"
)

func main() {
	daemon.CloseInherited()
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
