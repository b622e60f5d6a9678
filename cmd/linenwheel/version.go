package main

import (
	"context"
	"fmt"
	"runtime/debug"
)

const version = "0.1.0"

// version prints the version and what the build knows of the code that it was made from.
func (s *shell) version(context.Context) error {
	text := "linenwheel " + version
	if info, ok := debug.ReadBuildInfo(); ok {
		known := map[string]string{}
		for _, set := range info.Settings {
			known[set.Key] = set.Value
		}
		if revision := known["vcs.revision"]; revision != "" {
			text += " revision " + revision
			if known["vcs.modified"] == "true" {
				text += " (modified)"
			}
		}
		text += " " + info.GoVersion
	}
	_, err := fmt.Fprintln(s.out, text)
	return err
}
