// Command linenwheel-data is a data plane node of a router fleet: it accepts clients' requests, chooses a backend
// for each, and forwards the responses.
package main

import (
	"os"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/dataplane"
	"linenwheel.dev/linenwheel/internal/fleet/process"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func main() {
	program := process.Program{
		Name: "linenwheel-data",
		Start: func(set *settings.Settings, logger *log.Logger) (process.Process, error) {
			return dataplane.New(set, logger), nil
		},
		StatusAddress: func(set *settings.Settings) string { return set.Readiness },
	}
	os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr))
}
