// Command streams plays streams on real processes: a router fleet on loopback, backends that are processes of their own and
// end their runs in every way that a backend may, and clients that resume. It checks that each stream is whole or visibly
// cut, with every token once and in order.
//
//	streams play -seeds 1-6 -streams 400 [-trouble] [-roll FOLDER] -binaries FOLDER
//	streams backend ...    one backend, started by play
//
// It exits with 0 if every stream was right, with 1 if one was not, and with 2 if it could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"linenwheel.dev/linenwheel/lab/engine"
	"linenwheel.dev/linenwheel/lab/soak/rater"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

func main() {
	broken, err := command(os.Args[1:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "streams:", err)
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// command runs a command and reports whether a stream was broken.
func command(arguments []string) (broken bool, err error) {
	switch {
	case len(arguments) > 0 && arguments[0] == "play":
		return runPlays(arguments[1:])
	case len(arguments) > 0 && arguments[0] == "backend":
		return false, runBackend(arguments[1:])
	}
	return false, errors.New("the command is missing: play or backend")
}

// runBackend runs one backend until its process ends.
func runBackend(arguments []string) error {
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	id := flags.String("id", "", "id of this start")
	address := flags.String("address", "", "address for requests")
	control := flags.String("control", "", "addresses of control processes, joined by commas")
	seed := flags.Uint64("seed", 1, "seed of the plans")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	registration := &engine.Registration{ID: *id, Backend: "llm", Address: *address, Zone: "loopback", Slots: rater.Slots}
	return (&rater.Process{Registration: registration, Control: strings.Split(*control, ","), Seed: *seed}).Serve()
}

// runPlays plays one seed after the other.
func runPlays(arguments []string) (broken bool, err error) {
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	options := Options{Program: os.Args[0]}
	var first, last uint64
	flags.Func("seeds", "the seeds A-B, both included", func(text string) error {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		return err
	})
	flags.IntVar(&options.Streams, "streams", 400, "streams of a seed")
	flags.StringVar(&options.Binaries, "binaries", "bin", "folder of linenwheel-control and linenwheel-data")
	flags.StringVar(&options.Roll, "roll", "", "another such folder: data processes are started from both in turn")
	flags.BoolVar(&options.Trouble, "trouble", false, "also freeze, reload, stop and kill processes")
	if err := flags.Parse(arguments); err != nil {
		return false, err
	}
	for options.Seed = first; options.Seed <= last; options.Seed++ {
		result, err := playIn(options)
		fmt.Printf("seed %d: %v\n", options.Seed, result)
		if err != nil {
			return broken, err
		}
		broken = broken || len(result.Broken) > 0
	}
	return broken, nil
}

// playIn plays one seed in a temporary folder.
func playIn(options Options) (Result, error) {
	folder, err := os.MkdirTemp("", "streams")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	options.Folder = folder
	return Play(options)
}
