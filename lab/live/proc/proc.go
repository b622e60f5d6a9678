// Package proc runs nodes as child processes, as the platform does: its environment variables, a private TMPDIR, a
// log file, signals, and figures of /proc. Linux only.
package proc

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Spec says how a node is started.
type Spec struct {
	Name      string   // ROUTER_NAME, the same after a restart
	Command   string   // for /bin/sh -c; it becomes the node itself
	Listen    string   // ROUTER_LISTEN
	Discovery string   // ROUTER_DISCOVERY
	Dir       string   // holds config.json and tmp/; made if it is missing
	Log       string   // the file that its output is added to
	Env       []string // added to the platform's: NAME=VALUE
}

// Process is one life of a node.
type Process struct {
	spec    Spec
	command *exec.Cmd
	log     *os.File
	started time.Time
	done    chan struct{}

	mu   sync.Mutex
	exit Exit
}

// Exit is how a process ended.
type Exit struct {
	At     time.Time
	Code   int            // exit status, -1 if a signal ended it
	Signal syscall.Signal // that ended it, 0 if none
}

func (e Exit) String() string {
	if e.Signal != 0 {
		return "was ended by " + e.Signal.String()
	}
	return fmt.Sprintf("ended with status %d", e.Code)
}

// ConfigPath is where the node finds its configuration.
func (s Spec) ConfigPath() string { return filepath.Join(s.Dir, "config.json") }

// WriteConfig puts the configuration in place, whole or not at all.
func (s Spec) WriteConfig(text []byte) error {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	next := s.ConfigPath() + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, s.ConfigPath())
}

// Start runs the node. Its TMPDIR is empty, its configuration is what WriteConfig has put in place. The lab's end
// takes the node with it.
func Start(s Spec) (*Process, error) {
	temp := filepath.Join(s.Dir, "tmp")
	if err := os.RemoveAll(temp); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(temp, 0o755); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(s.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := s.Command
	if !strings.HasPrefix(command, "exec ") {
		command = "exec " + command
	}
	c := exec.Command("/bin/sh", "-c", command)
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), "ROUTER_NAME="+s.Name, "ROUTER_LISTEN="+s.Listen,
		"ROUTER_DISCOVERY="+s.Discovery, "ROUTER_CONFIG="+s.ConfigPath(), "TMPDIR="+temp)
	c.Env = append(c.Env, s.Env...)
	// A group of its own: a signal from the terminal is for the lab, which then ends its nodes itself.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start of node %s (%s): %w", s.Name, s.Command, err)
	}
	p := &Process{spec: s, command: c, log: log, started: time.Now(), done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.command.Wait()
	e := Exit{At: time.Now(), Code: p.command.ProcessState.ExitCode()}
	var status *exec.ExitError
	if errors.As(err, &status) {
		if w, ok := status.Sys().(syscall.WaitStatus); ok && w.Signaled() {
			e.Signal = w.Signal()
		}
	}
	p.mu.Lock()
	p.exit = e
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Program is the file that it runs.
func (p *Process) Program() (string, error) {
	return os.Readlink("/proc/" + strconv.Itoa(p.PID()) + "/exe")
}

// Started is when it was started.
func (p *Process) Started() time.Time { return p.started }

// Done is closed once it has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit is how it ended, once Done is closed.
func (p *Process) Exit() Exit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// Signal sends a signal to the node. One that has ended is left alone.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return os.ErrProcessDone
	default:
		return p.command.Process.Signal(s)
	}
}

// Kill ends it outright, with what it may have started, and waits.
func (p *Process) Kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = syscall.Kill(-p.PID(), syscall.SIGKILL)
	<-p.done
}

// Usage are the figures of a process at one time.
type Usage struct {
	CPU         float64 // seconds of processor time since its start
	Memory      float64 // resident, MB
	Peak        float64 // the most that was resident, MB
	Descriptors int
}

const ticksPerSecond = 100 // of /proc/PID/stat, fixed on Linux

// Usage reads /proc.
func (p *Process) Usage() (Usage, error) {
	dir := "/proc/" + strconv.Itoa(p.PID())
	var u Usage
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	// The second field is the program's name and may hold spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return u, fmt.Errorf("%s/stat is too short", dir)
	}
	for _, f := range fields[11:13] { // utime and stime
		ticks, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return u, fmt.Errorf("%s/stat: %w", dir, err)
		}
		u.CPU += ticks / ticksPerSecond
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, err
	}
	u.Memory, u.Peak = kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:")
	open, err := os.Open(dir + "/fd")
	if err != nil {
		return u, err
	}
	defer func() { _ = open.Close() }() // it was only read
	names, err := open.Readdirnames(-1)
	u.Descriptors = len(names)
	return u, err
}

func kilobytes(status []byte, field string) float64 {
	at := bytes.Index(status, []byte(field))
	if at < 0 {
		return 0 // a process that has ended has none
	}
	words := bytes.Fields(status[at+len(field):])
	if len(words) == 0 {
		return 0
	}
	n, err := strconv.ParseFloat(string(words[0]), 64)
	if err != nil {
		return 0
	}
	return n / 1024
}
