// Command linenwheel-control is one process of a router fleet's control plane: it replicates the configuration,
// maintains the registry of backends and the tenants' quotas, and distributes them to the data plane.
package main

import (
	"os"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/controlplane"
	"linenwheel.dev/linenwheel/internal/fleet/process"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func main() {
	program := process.Program{
		Name: "linenwheel-control",
		Start: func(set *settings.Settings, logger *log.Logger) (process.Process, error) {
			return controlplane.New(set, logger)
		},
		StatusAddress: func(set *settings.Settings) string { return set.Control },
		Export:        controlplane.Export,
	}
	os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr))
}
