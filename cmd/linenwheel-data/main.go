// Command linenwheel-data is the data plane of a router fleet: it takes clients' requests, chooses a backend for each, and
// passes the answers on.
package main

import (
	"os"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/dataplane"
	"linenwheel.dev/linenwheel/internal/fleet/process"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func main() {
	binary := process.Program{
		Name: "linenwheel-data",
		Start: func(set *settings.Settings, logger *log.Logger) (process.Process, error) {
			return dataplane.New(set, logger), nil
		},
		StatusAddress: func(set *settings.Settings) string { return set.Readiness },
	}
	os.Exit(binary.Main(os.Args[1:], os.Stdout, os.Stderr))
}
