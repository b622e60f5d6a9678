package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/fleet"
)

// restartDelay is the time from the end of a backend's process to its next start at the same address.
const restartDelay = 200 * time.Millisecond

// backendPort is the port of all backends; each has an address of its own.
const backendPort = 8304

// backends keeps processes of backends running: one that ends is started again as a new instance.
type backends struct {
	program string // this one
	control []string
	seed    uint64
	folder  string // for logs
	stopped chan struct{}
	ended   sync.WaitGroup

	mu      sync.Mutex
	running map[int]*exec.Cmd // by number
	starts  int
}

// startBackends starts processes that register with a fleet.
func startBackends(f *fleet.Fleet, program, folder string, count int, seed uint64) *backends {
	b := &backends{program: program, seed: seed, folder: folder, stopped: make(chan struct{}), running: map[int]*exec.Cmd{}}
	for _, m := range f.Control {
		b.control = append(b.control, f.ControlAddress(m))
	}
	for number := range count {
		address := fmt.Sprintf("%s:%d", f.Host(number+1), backendPort)
		b.ended.Go(func() { b.keepRunning(number, address) })
	}
	return b
}

// keepRunning starts a backend again and again until stop is called.
func (b *backends) keepRunning(number int, address string) {
	for {
		if command := b.start(number, address); command != nil {
			_ = command.Wait()
		}
		select {
		case <-b.stopped:
			return
		case <-time.After(restartDelay):
		}
	}
}

// start starts an instance. It returns nil if that failed or stop has been called.
func (b *backends) start(number int, address string) *exec.Cmd {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stopped:
		return nil
	default:
	}
	b.starts++
	output, err := os.OpenFile(filepath.Join(b.folder, fmt.Sprintf("backend-%d.log", number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(b.program, "backend", "-id", fmt.Sprintf("i-%d-%d", number, b.starts), "-address", address,
		"-seed", fmt.Sprint(b.seed), "-control", strings.Join(b.control, ","))
	command.Stdout, command.Stderr = output, output
	if command.Start() != nil {
		return nil
	}
	b.running[number] = command
	return command
}

// kill kills the process of one backend.
func (b *backends) kill(number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if command := b.running[number]; command != nil {
		_ = command.Process.Kill()
	}
}

// stop ends all processes and waits until they have ended. It returns the number of starts.
func (b *backends) stop() int {
	b.mu.Lock()
	close(b.stopped)
	for _, command := range b.running {
		_ = command.Process.Kill()
	}
	b.mu.Unlock()
	b.ended.Wait()
	return b.starts
}
