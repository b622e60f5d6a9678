package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/report"
)

const reportHelp = `It makes a page of HTML that needs no other file, from what run -report has written as JSON: one report again, or
two of the same experiment side by side, in pairs of the same seed.

  linenwheel-lab report -o page.html reports/drain.json
  linenwheel-lab report -o page.html a/drain.json b/drain.json`

func reportCommand(to streams) *ffcli.Command {
	f := flagSet("linenwheel-lab report", to)
	page := f.String("o", "", "the page, a `file`; next to it, named .json, the comparison of two")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "linenwheel-lab report -o PAGE REPORT [REPORT]",
		ShortHelp:  "make the page of a report again, or of two side by side",
		LongHelp:   reportHelp,
		FlagSet:    f,
		Exec: func(_ context.Context, args []string) error {
			if *page == "" || len(args) < 1 || len(args) > 2 {
				return usage(errors.New("want -o and one report or two"))
			}
			var reports []*report.Report
			for _, name := range args {
				r, err := readReport(name)
				if err != nil {
					return usage(err)
				}
				reports = append(reports, r)
			}
			if len(reports) == 1 {
				return writeFile(*page, reports[0].WriteHTML)
			}
			names := [2]string{reports[0].Outcome.Node, reports[1].Outcome.Node}
			if names[0] == names[1] {
				names = [2]string{args[0], args[1]}
			}
			c, err := report.Compare(names[0], reports[0], names[1], reports[1])
			if err != nil {
				return usage(err)
			}
			beside := strings.TrimSuffix(*page, filepath.Ext(*page)) + ".json"
			if err := writeFile(beside, func(w io.Writer) error { return report.WriteJSON(w, c) }); err != nil {
				return err
			}
			return writeFile(*page, c.WriteHTML)
		},
	}
}

func readReport(name string) (*report.Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	r, err := report.ReadJSON(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

// saveReport writes a report as NAME.html and NAME.json into a directory, and makes that if need be.
func saveReport(dir, name string, r *report.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, filepath.Base(name))
	if err := writeFile(path+".json", func(w io.Writer) error { return report.WriteJSON(w, r) }); err != nil {
		return err
	}
	return writeFile(path+".html", r.WriteHTML)
}

// writeFile writes a file with what write makes.
func writeFile(name string, write func(io.Writer) error) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return write(f)
}
