package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/fleet"
	"linenwheel.dev/linenwheel/lab/soak/record"
	"linenwheel.dev/linenwheel/lab/soak/schedule"
)

// Times of the platform.
const (
	restartDelay   = 300 * time.Millisecond
	memoryInterval = 25 * time.Millisecond
	graceMargin    = time.Second // beyond the grace, before a process counts as hung
)

// Roles of processes.
const (
	roleControl = "control"
	roleData    = "data"
	roleRater   = "rater"
)

// slot is a machine with its process, which the platform starts again whenever it has ended.
type slot struct {
	*fleet.Machine
	role     string
	mu       sync.Mutex // held while the process is started, stopped or signalled
	expected bool       // the platform ends the process
}

// platform keeps the processes of a fleet running and makes troubles.
type platform struct {
	fleet   *fleet.Fleet
	records *record.Writer
	control []*slot
	data    []*slot
	raters  []*raterSlot
	builds  []string // folders of programs, from which processes are started in turn
	starts  int
	stopped chan struct{}
	work    sync.WaitGroup
}

func newPlatform(f *fleet.Fleet, records *record.Writer, builds []string) *platform {
	p := &platform{fleet: f, records: records, builds: builds, stopped: make(chan struct{})}
	for _, m := range f.Control {
		p.control = append(p.control, &slot{Machine: m, role: roleControl})
	}
	for _, m := range f.Data {
		p.data = append(p.data, &slot{Machine: m, role: roleData})
	}
	for _, s := range p.all() {
		p.change(s, record.Started, "")
		p.work.Go(func() { p.watch(s) })
		p.work.Go(func() { p.watchMemory(s) })
	}
	return p
}

// all returns the control and data processes.
func (p *platform) all() []*slot { return append(append([]*slot(nil), p.control...), p.data...) }

// change records what happened to a process.
func (p *platform) change(s *slot, what record.What, detail string) {
	p.records.Write(record.Entry{At: time.Now().UnixNano(), Change: &record.Change{Machine: s.Name, Role: s.role, What: what, Detail: detail}})
}

// ending reports whether the play ends.
func (p *platform) ending() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

// watch starts a process again that has ended by itself.
func (p *platform) watch(s *slot) {
	for {
		s.mu.Lock()
		ended := s.Ended()
		s.mu.Unlock()
		select {
		case <-ended:
		case <-p.stopped:
			return
		}
		s.mu.Lock()
		if s.Ended() == ended && !s.expected && !p.ending() { // no trouble has started another one
			p.change(s, record.OwnEnd, s.ExitState())
			time.Sleep(restartDelay)
			p.start(s)
		}
		s.mu.Unlock()
	}
}

// start starts a process, from the next build. The caller holds the lock.
func (p *platform) start(s *slot) {
	if p.ending() {
		return
	}
	p.starts++
	s.Use(p.builds[p.starts%len(p.builds)])
	if err := p.fleet.Boot(s.Machine, false); err != nil {
		p.change(s, record.OwnEnd, err.Error())
	}
	p.change(s, record.Started, "")
}

// watchMemory ends a process that is over its memory, as the platform does.
func (p *platform) watchMemory(s *slot) {
	for !p.ending() {
		time.Sleep(memoryInterval)
		s.mu.Lock()
		if used := memoryOf(s.Process()); used > memoryMB && !s.expected {
			p.change(s, record.OverMemory, fmt.Sprintf("%d MB of %d", used, memoryMB))
			p.kill(s)
			p.start(s)
		}
		s.mu.Unlock()
	}
}

// memoryOf returns the memory of a process that is its own, in MB; 0 if it has ended.
func memoryOf(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// kill ends a process at once. The caller holds the lock.
func (p *platform) kill(s *slot) {
	p.change(s, record.Killed, "")
	s.expected = true
	s.Kill()
	s.expected = false
	time.Sleep(restartDelay)
}

// killAndStart is a kill and a start after it, with an empty disk if wiped.
func (p *platform) killAndStart(s *slot, wiped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.kill(s)
	if wiped && s.Wipe() == nil {
		p.change(s, record.Wiped, "")
	}
	p.start(s)
}

// terminate stops a process in order, ends it if it runs after its grace, and starts it again.
func (p *platform) terminate(s *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.change(s, record.Terminated, "")
	s.expected = true
	defer func() { s.expected = false }()
	_ = s.Signal(syscall.SIGTERM)
	select {
	case <-s.Ended():
		p.change(s, record.Ended, "")
	case <-time.After(bounds.Grace + graceMargin):
		p.change(s, record.Hung, fmt.Sprint(bounds.Grace+graceMargin))
		s.Kill()
	}
	time.Sleep(restartDelay)
	p.start(s)
}

// freeze stops a process for a time without its knowledge.
func (p *platform) freeze(s *slot, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.change(s, record.Frozen, length.String())
	_ = s.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = s.Signal(syscall.SIGCONT)
	p.change(s, record.Thawed, "")
}

// reload tells a process that its settings file has changed.
func (p *platform) reload(s *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	awaitMain(s.Process())
	p.change(s, record.Reloaded, "")
	_ = s.Signal(syscall.SIGHUP)
}

// Times of a process that has just been started.
const (
	initTime     = 10 * time.Millisecond // of the processor, after which a program handles its signals
	initInterval = 2 * time.Millisecond
	initWithin   = time.Second
)

// awaitMain waits until a process has had the processor for initTime: no program can handle a signal before its first instructions,
// and on a busy machine they come late.
func awaitMain(pid int) {
	for deadline := time.Now().Add(initWithin); time.Now().Before(deadline); time.Sleep(initInterval) {
		if processorTime(pid) >= initTime {
			return
		}
	}
}

// processorTime returns for how long a process's first thread has run; 0 if that is not known.
func processorTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/schedstat", pid))
	if err != nil {
		return 0
	}
	onProcessor, _, _ := strings.Cut(string(text), " ")
	nanoseconds, _ := strconv.ParseInt(onProcessor, 10, 64)
	return time.Duration(nanoseconds)
}

// trouble makes one trouble of the plan and returns when it is over.
func (p *platform) trouble(t schedule.Trouble) {
	control, data := p.control[t.Target%len(p.control)], p.data[t.Target%len(p.data)]
	switch t.Kind {
	case schedule.KillData:
		p.killAndStart(data, false)
	case schedule.TermData:
		p.terminate(data)
	case schedule.FreezeData:
		p.freeze(data, t.For)
	case schedule.ReloadData:
		p.reload(data)
	case schedule.RollData:
		for _, s := range p.data[:min(len(p.data), rolled)] {
			p.terminate(s)
		}
	case schedule.KillControl:
		p.killAndStart(control, false)
	case schedule.TermControl:
		p.terminate(control)
	case schedule.FreezeControl:
		p.freeze(control, t.For)
	case schedule.ReloadControl:
		p.reload(control)
	case schedule.WipeControl:
		p.killAndStart(control, true)
	case schedule.KillAll:
		var kills sync.WaitGroup
		for _, s := range p.all() {
			kills.Go(func() { p.killAndStart(s, false) })
		}
		kills.Wait()
	default:
		p.troubleRater(t)
	}
}

// rolled is the largest number of data processes that one roll restarts: each takes seconds.
const rolled = 3

// troubleRater makes a trouble of raters.
func (p *platform) troubleRater(t schedule.Trouble) {
	s := p.raters[t.Target%len(p.raters)]
	linked := p.raters[t.Target%len(p.raters)/linkEvery*linkEvery]
	switch t.Kind {
	case schedule.KillRater:
		s.Kill()
	case schedule.KillRaters:
		for _, one := range p.raters[:len(p.raters)/2] {
			one.Kill()
		}
	case schedule.DrainRater:
		s.leave(leaveByDraining)
	case schedule.DeleteRater:
		s.leave(leaveByDeleting)
	case schedule.FreezeRater:
		s.freeze(t.For)
	case schedule.DelayLink:
		linked.harm(harmDelay, t.For)
	case schedule.CutLink:
		linked.harm(harmCut, t.For)
	case schedule.ResetLink:
		linked.harm(harmReset, 0)
	}
}

// stop ends all processes.
func (p *platform) stop() {
	close(p.stopped)
	for _, s := range p.raters {
		s.stop()
	}
	for _, s := range p.all() { // a frozen one ends too
		s.mu.Lock()
		s.Kill()
		s.mu.Unlock()
	}
	p.work.Wait()
}
