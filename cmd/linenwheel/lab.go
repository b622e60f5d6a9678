package main

import "github.com/peterbourgon/ff/v3/ffcli"

// labCommand becomes the lab. It is a program of its own, so that plots and load tools weigh nothing in a node.
func (s *shell) labCommand() *ffcli.Command {
	return s.beside("lab", "linenwheel-lab", "linenwheel lab <command> [flags]", "play emulated fleets and load against nodes")
}
