// Package respawn keeps a process running, as a platform does: one that ends is started again.
package respawn

import (
	"os"
	"os/exec"
	"sync"
	"time"
)

// Delay is the time from the end of a process to its next start.
const Delay = 250 * time.Millisecond

// Process is a process that is started again whenever it has ended. Its methods are safe for concurrent use; Run is called once.
type Process struct {
	command func(start int) *exec.Cmd // returns the command of a start, which are numbered from 1
	output  string                    // path of the file that its output is appended to
	ended   func(start int)           // called after each end, nil = nothing is

	mu       sync.Mutex
	running  *exec.Cmd
	starts   int
	stopping bool
}

// New returns a process that has not been started. command returns the command of each start, ended is called after its end.
func New(output string, command func(start int) *exec.Cmd, ended func(start int)) *Process {
	return &Process{command: command, output: output, ended: ended}
}

// Run starts the process again and again until Stop is called or it cannot be started.
func (p *Process) Run() {
	for {
		command, start := p.start()
		if command == nil {
			return
		}
		_ = command.Wait()
		if p.ended != nil {
			p.ended(start)
		}
		time.Sleep(Delay)
	}
}

// start starts the process once. It returns nil if Stop was called or that failed.
func (p *Process) start() (*exec.Cmd, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil, 0
	}
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = output.Close() }()
	p.starts++
	command := p.command(p.starts)
	command.Stdout, command.Stderr = output, output
	if command.Start() != nil {
		return nil, 0
	}
	p.running = command
	return command, p.starts
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(signal os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		_ = p.running.Process.Signal(signal)
	}
}

// Kill ends the process at once; it is started again.
func (p *Process) Kill() { p.Signal(os.Kill) }

// Stop ends the process for good. Run then returns.
func (p *Process) Stop() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.Kill()
}

// Starts returns how often the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
