package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"linenwheel.dev/linenwheel/lab/fleet"
	"linenwheel.dev/linenwheel/lab/respawn"
)

// backendPort is the port of all backends; each has an address of its own.
const backendPort = 8304

// backends keeps processes of backends running: one that ends is started again as a new instance.
type backends struct {
	processes []*respawn.Process // by number
	ended     sync.WaitGroup
}

// startBackends starts processes that register with a fleet.
func startBackends(f *fleet.Fleet, program, folder string, count int, seed uint64) *backends {
	var control []string
	for _, m := range f.Control {
		control = append(control, f.ControlAddress(m))
	}
	b := &backends{}
	for number := range count {
		address := fmt.Sprintf("%s:%d", f.Host(number+1), backendPort)
		command := func(start int) *exec.Cmd {
			return exec.Command(program, "backend", "-id", fmt.Sprintf("i-%d-%d", number, start), "-address", address,
				"-seed", fmt.Sprint(seed), "-control", strings.Join(control, ","))
		}
		process := respawn.New(filepath.Join(folder, fmt.Sprintf("backend-%d.log", number)), command, nil)
		b.processes = append(b.processes, process)
		b.ended.Go(process.Run)
	}
	return b
}

// kill kills the process of one backend.
func (b *backends) kill(number int) { b.processes[number].Kill() }

// stop ends all processes and waits until they have ended. It returns the number of starts.
func (b *backends) stop() int {
	starts := 0
	for _, process := range b.processes {
		process.Stop()
	}
	b.ended.Wait()
	for _, process := range b.processes {
		starts += process.Starts()
	}
	return starts
}
