// Command bench counts what a request costs a proxy: allocations, system calls that read or write, processor time and context
// switches. The proxy runs in a process of its own, so that nothing of clients and raters is counted with it; beside the node two plain
// proxies are measured on the same sockets, as yardsticks.
//
//	go run ./bench                          the table
//	go run ./bench -check bench/kept.json   fails where the node's counts are above those that are kept
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// Kept are the counts a request that must not be passed, by case. Counts alone are kept: times are the machine's.
type Kept map[string]struct {
	Allocs   float64 `json:"allocs"`
	Syscalls float64 `json:"syscalls"`
}

// slack is what a count may be above the one that is kept: a poll more or less, a pool that was emptied.
const slack = 1.08

var errAbove = errors.New("counts are above those that are kept")

func main() {
	kind := flag.String("serve", "", "serve as a child: "+strings.Join(kinds, ", "))
	raters := flag.String("raters", "", "with -serve: addresses of raters, separated by commas")
	requests := flag.Int("requests", 20000, "in each case")
	check := flag.String("check", "", "file of the counts that are kept")
	keep := flag.String("keep", "", "write the counts to this file")
	only := flag.String("only", strings.Join(kinds, ","), "which proxies")
	flag.Parse()
	var err error
	if *kind != "" {
		err = serve(*kind, strings.Split(*raters, ","))
	} else {
		err = run(strings.Split(*only, ","), *requests, *check, *keep)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(only []string, requests int, check, keep string) error {
	var kept Kept
	if check != "" {
		text, err := os.ReadFile(check)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &kept); err != nil {
			return fmt.Errorf("%s: %w", check, err)
		}
		only = kinds[:1]
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "proxy\tcase\tallocations\tbytes\tsystem calls\tprocessor us\tswitches\t")
	found, above := Kept{}, []string(nil)
	for _, kind := range only {
		if !slices.Contains(kinds, kind) {
			return fmt.Errorf("%q is none of %s", kind, strings.Join(kinds, ", "))
		}
		for i := range cases {
			c := &cases[i]
			if check != "" && !c.counted {
				continue
			}
			got, err := measure(kind, c, requests)
			if err != nil && kind != kinds[0] { // a yardstick that fails is none
				fmt.Fprintf(w, "%s\t%s\tfailed: %v\t\t\t\t\t\n", kind, c.name, err)
				continue
			} else if err != nil {
				return fmt.Errorf("%s, %s: %w", kind, c.name, err)
			}
			n := float64(requests)
			a, s := float64(got.Mallocs)/n, float64(got.Reads+got.Writes)/n
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.0f\t%.2f\t%.1f\t%.2f\t\n", kind, c.name, a, float64(got.Bytes)/n, s, got.Micros/n, float64(got.Switches)/n)
			if kind != kinds[0] || !c.counted {
				continue
			}
			k := found[c.name]
			k.Allocs, k.Syscalls = a, s
			found[c.name] = k
			limit, ok := kept[c.name]
			switch {
			case check != "" && !ok:
				above = append(above, c.name+" is not kept")
			case check != "" && (a > limit.Allocs*slack || s > limit.Syscalls*slack):
				above = append(above, fmt.Sprintf("%s: %.2f allocations and %.2f system calls, %.2f and %.2f are kept", c.name, a, s, limit.Allocs, limit.Syscalls))
			}
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if keep != "" {
		text, err := json.MarshalIndent(found, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(keep, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(above) > 0 {
		return fmt.Errorf("%w: %s", errAbove, strings.Join(above, "; "))
	}
	return nil
}
