// Command probe plays one case of the second review: it starts the fleet's programs as separate processes on loopback
// addresses, with stand-ins for clients, raters, the operator and the platform, makes the case's trouble and judges one rule
// by what the stand-ins saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a play: what still runs then is ended, and the case could not run.
const longest = 110 * time.Second

// errBroken is wrapped by the error of a play in which the rule was broken.
var errBroken = errors.New("rule broken")

// cases are the plays by name. A play returns nil if the rule held.
var cases = map[string]func(p *play) error{
	"leave":    playLeave,
	"unframed": playUnframed,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	programs := flag.String("programs", "target", "folder of the fleet's programs")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	body := cases[*name]
	if body == nil {
		fmt.Fprintf(os.Stderr, "probe: unknown case %q\n", *name)
		return exitNotRun
	}
	file, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	p := &play{records: newRecorder(file), trouble: os.Getenv("TROUBLE") != "0", programs: *programs}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- body(p) }()
	var result error
	select {
	case result = <-done:
	case <-time.After(longest):
		result = errors.New("the play took too long")
	case <-interrupted:
		result = errors.New("interrupted")
	}
	p.end()
	code := exitHeld
	switch {
	case errors.Is(result, errBroken):
		code = exitBroken
		p.records.note("result: %v", result)
	case result != nil:
		code = exitNotRun
		p.records.note("could not run: %v", result)
	default:
		p.records.note("result: the rule held")
	}
	if err := p.records.close(); err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	return code
}
