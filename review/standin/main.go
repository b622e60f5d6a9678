// Command review-standin plays the cases of the review: it starts the fleet's programs with the commands of the
// deploy file, and stand-ins for clients, raters and the operator, all on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// errUsage means that the command line names no case.
var errUsage = errors.New("usage: review-standin rater ARGUMENTS | CASE RECORD")

// play is one case. It returns whether the rule was broken, or an error if the case could not run.
type play func(s *stage) (broken bool, err error)

var plays = map[string]play{"resume": playResume, "revoke": playRevoke, "garbage": playGarbage}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "rater" {
		if err := runRater(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "rater:", err)
			os.Exit(exitFailed)
		}
		return
	}
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	s, err := newStage(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[args[0]](s)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		return s.verdict(r.broken, r.err)
	case <-signals:
		return s.verdict(false, errors.New("interrupted"))
	case <-time.After(maxDuration):
		return s.verdict(false, errors.New("not done in time"))
	}
}
