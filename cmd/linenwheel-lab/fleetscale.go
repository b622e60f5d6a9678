package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/fleetscale"
)

const fleetScaleHelp = `Starts three real control processes on loopback and, before them, hollow nodes of the data plane and hollow raters, one
size of fleet after the other; measures how long a change takes until it is in force, what a node and the control plane
spend, with a lost control process and with all nodes returning at once. Prints the table, and writes fleet-scale.json and plots.
With -from it only prints the table of a file that was written before.

  linenwheel-lab fleet-scale -to docs/measurements -sizes 30/6,100/20`

func fleetScaleCommand(to streams) *ffcli.Command {
	f := flagSet("linenwheel-lab fleet-scale", to)
	dir := f.String("to", "found/fleet-scale", "directory of fleet-scale.json and the plots")
	sizes := f.String("sizes", "30/180,100/600,300/1800,1000/6000,1700/10000", "nodes/raters, separated by commas")
	binaries := f.String("binaries", "bin", "folder of linenwheel-control")
	from := f.String("from", "", "a fleet-scale.json whose table is to be printed")
	return &ffcli.Command{
		Name:       "fleet-scale",
		ShortUsage: "linenwheel-lab fleet-scale [flags]",
		ShortHelp:  "how the control plane of a router fleet grows with the fleet",
		LongHelp:   fleetScaleHelp,
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			if *from != "" {
				return printFleetScale(to, *from)
			}
			list, err := parseSizes(*sizes)
			if err != nil {
				return usage(err)
			}
			return playFleetScale(ctx, to, list, *binaries, *dir)
		},
	}
}

func parseSizes(text string) ([]fleetscale.Size, error) {
	var list []fleetscale.Size
	for _, one := range strings.Split(text, ",") {
		nodes, raters, found := strings.Cut(one, "/")
		n, err := strconv.Atoi(nodes)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("-sizes: %q: nodes/raters wanted", one)
		}
		size := fleetscale.Size{Nodes: n}
		if found {
			if size.Raters, err = strconv.Atoi(raters); err != nil || size.Raters < 0 {
				return nil, fmt.Errorf("-sizes: %q: nodes/raters wanted", one)
			}
		}
		list = append(list, size)
	}
	return list, nil
}

func printFleetScale(to streams, from string) error {
	file, err := os.Open(from)
	if err != nil {
		return usage(err)
	}
	defer func() { _ = file.Close() }()
	results, err := fleetscale.Load(file)
	if err != nil {
		return usage(fmt.Errorf("%s: %w", from, err))
	}
	_, err = fmt.Fprint(to.out, fleetscale.Table(results))
	return err
}

// fleetScaleSubnet is the second byte of the first size's loopback addresses; each size has its own.
const fleetScaleSubnet = 60

func playFleetScale(ctx context.Context, to streams, sizes []fleetscale.Size, binaries, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var results []fleetscale.Result
	for i, size := range sizes {
		folder, err := os.MkdirTemp("", "fleet-scale")
		if err != nil {
			return err
		}
		result, err := fleetscale.Play(ctx, size, binaries, folder, byte(fleetScaleSubnet+i))
		if err != nil {
			_, _ = fmt.Fprintf(to.errs, "%d nodes, %d raters: %v (logs in %s)\n", size.Nodes, size.Raters, err, folder)
			continue
		}
		_ = os.RemoveAll(folder)
		_, _ = fmt.Fprintf(to.errs, "%d nodes, %d raters: played\n", size.Nodes, size.Raters)
		results = append(results, result)
	}
	if len(results) == 0 {
		return errVerdict
	}
	return writeFleetScale(to, results, dir)
}

func writeFleetScale(to streams, results []fleetscale.Result, dir string) error {
	file, err := os.Create(filepath.Join(dir, "fleet-scale.json"))
	if err != nil {
		return err
	}
	if err := fleetscale.Save(file, results); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	for name, svg := range fleetscale.Charts(results) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(svg), 0o644); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(to.out, fleetscale.Table(results))
	return err
}
