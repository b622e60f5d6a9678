package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/respawn"
	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Ports of raters.
const (
	raterPort  = 8304 // at which they register
	behindLink = 8305 // at which one behind a link listens
)

// Signals by which a rater leaves.
const (
	leaveByDraining = syscall.SIGTERM
	leaveByDeleting = syscall.SIGUSR1
)

// raterSlot keeps a rater running: one that ends is started again as a new instance.
type raterSlot struct {
	*respawn.Process
	number  int
	records *record.Writer // the platform's
	link    *link          // nil = none
}

// startRaters starts the raters, some of them behind links.
func (p *play) startRaters(control []string) error {
	for number := range p.Plan.Raters {
		s, err := p.newRater(number, control)
		if err != nil {
			return err
		}
		p.platform.raters = append(p.platform.raters, s)
		p.platform.work.Go(s.Run)
	}
	return nil
}

// newRater returns a rater that has not been started.
func (p *play) newRater(number int, control []string) (*raterSlot, error) {
	s := &raterSlot{number: number, records: p.records}
	address := fmt.Sprintf("%s:%d", p.fleet.Host(number+1), raterPort)
	listen := address
	if number%linkEvery == 0 {
		listen = fmt.Sprintf("%s:%d", p.fleet.Host(number+1), behindLink)
		started, err := startLink(address, listen)
		if err != nil {
			return nil, err
		}
		s.link = started
	}
	command := func(start int) *exec.Cmd {
		return exec.Command(p.Program, "soak", "rater", "-id", instance(number, start), "-service", services[number%2], "-address", address, "-listen", listen,
			"-seed", fmt.Sprint(p.Plan.Seed), "-number", fmt.Sprint(number), "-control", strings.Join(control, ","),
			"-records", filepath.Join(p.Folder, fmt.Sprintf("rater-%d.jsonl", number)))
	}
	ended := func(start int) { s.change(instance(number, start), record.Ended, "") }
	s.Process = respawn.New(filepath.Join(p.Folder, fmt.Sprintf("rater-%d.log", number)), command, ended)
	return s, nil
}

// instance returns the id of one start of a rater.
func instance(number, start int) string { return fmt.Sprintf("i-%d-%d", number, start) }

// change records what happened to the rater.
func (s *raterSlot) change(machine string, what record.What, detail string) {
	s.records.Write(record.Entry{At: time.Now().UnixNano(), Change: &record.Change{Machine: machine, Role: roleRater, What: what, Detail: detail}})
}

// leave has the rater leave by itself.
func (s *raterSlot) leave(how os.Signal) { s.Signal(how) }

// freeze stops the rater for a time.
func (s *raterSlot) freeze(length time.Duration) {
	s.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	s.Signal(syscall.SIGCONT)
}

// stop ends the rater for good.
func (s *raterSlot) stop() {
	s.Stop()
	if s.link != nil {
		s.link.close()
	}
}

// harm harms the rater's link for a time.
func (s *raterSlot) harm(how harm, length time.Duration) {
	if s.link == nil {
		return
	}
	machine := fmt.Sprintf("rater-%d", s.number)
	s.change(machine, record.Harmed, string(how))
	s.link.harm(how)
	time.Sleep(length)
	s.link.harm(harmNone)
	s.change(machine, record.Healed, string(how))
}
