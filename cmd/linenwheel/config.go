package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/internal/node/config"
)

// effective is what a node works with, each part in the order of its file.
type effective struct {
	Files   []config.Value `json:"files"`
	Config  []config.Value `json:"config"`
	Options []config.Value `json:"options"`
}

func (s *shell) configCommand() *ffcli.Command {
	var asJSON bool
	c := s.command("config", "print the effective configuration and where each value comes from", true,
		func(context.Context) error { return s.show(asJSON) })
	c.FlagSet.BoolVar(&asJSON, "json", false, "print JSON, for programs")
	return c
}

// show prints the effective configuration.
func (s *shell) show(asJSON bool) error {
	_, file, faults := s.load()
	if len(faults) > 0 {
		return faults
	}
	all := effective{Options: file.Values()}
	var err error
	if all.Config, err = config.Values(s.env); err != nil {
		return err
	}
	for _, f := range []struct{ variable, flagged string }{{configVariable, s.config}, {optionsVariable, s.options}} {
		v := config.Value{Field: f.variable, Value: s.env(f.variable), Source: "default"}
		switch {
		case f.flagged != "":
			v.Source = "flag"
		case v.Value != "":
			v.Source = "environment"
		}
		all.Files = append(all.Files, v)
	}
	if asJSON {
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, part := range [][]config.Value{all.Files, all.Config, all.Options} {
		for _, v := range part {
			text := fmt.Sprint(v.Value)
			switch value := v.Value.(type) {
			case json.RawMessage:
				text = string(value)
			case string:
				text = strconv.Quote(value)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.Field, text, v.Source, v.Where)
		}
	}
	return table.Flush()
}
