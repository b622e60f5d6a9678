// Command linenwheel-control is the control plane of a router fleet: it keeps the configuration on the machines with a
// disk, knows raters and nodes, and brings all of it to the data plane.
package main

import (
	"os"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/controlplane"
	"linenwheel.dev/linenwheel/internal/fleet/process"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func main() {
	binary := process.Program{
		Name: "linenwheel-control",
		Start: func(set *settings.Settings, logger *log.Logger) (process.Process, error) {
			return controlplane.New(set, logger)
		},
		StatusAddress: func(set *settings.Settings) string { return set.Control },
	}
	os.Exit(binary.Main(os.Args[1:], os.Stdout, os.Stderr))
}
