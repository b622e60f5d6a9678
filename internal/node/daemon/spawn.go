package daemon

import (
	"math"
	"os"
	"os/exec"
	"strconv"

	"golang.org/x/sys/unix"
)

// spawnedVariable marks a process that another one of the node has started.
const spawnedVariable = "LINENWHEEL_SPAWNED"

// spawn starts a process that takes over from this one: the program that stands where this one was started from.
func (d *daemon) spawn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.child != 0 || d.server == nil || len(d.set.Command) == 0 {
		d.log.Warn("no process is started to take over", "started", d.child, "control_socket", d.server != nil)
		return
	}
	command := exec.Command(d.set.Command[0], d.set.Command[1:]...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	command.Env = append(append(os.Environ(), d.manager.Environ()...), spawnedVariable+"=1")
	d.manager.Reloading("another process is to take over")
	// The engine's descriptors are not marked to be closed; a connection that comes between this and the start is closed
	// by the child.
	_ = unix.CloseRange(3, math.MaxUint32, unix.CLOSE_RANGE_CLOEXEC)
	if err := command.Start(); err != nil {
		d.log.Error("the process that is to take over cannot be started", "error", err)
		d.serving()
		return
	}
	d.child = command.Process.Pid
	d.log.Info("a process was started to take over", "pid", d.child)
	go func() {
		err := command.Wait()
		d.mu.Lock()
		d.child = 0
		given := d.server.Given()
		d.mu.Unlock()
		if !given {
			d.log.Error("the process that was to take over has ended, and this one goes on", "error", err)
			d.serving()
		}
	}()
}

// CloseInherited closes connections that came to this process by mistake when another one of the node started it. It is
// to be called before anything else is opened.
func CloseInherited() {
	if os.Getenv(spawnedVariable) == "" {
		return
	}
	_ = os.Unsetenv(spawnedVariable)
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return
	}
	for _, e := range list {
		var stat unix.Stat_t
		fd, err := strconv.Atoi(e.Name())
		if err == nil && fd > 2 && unix.Fstat(fd, &stat) == nil && stat.Mode&unix.S_IFMT == unix.S_IFSOCK {
			_ = unix.Close(fd)
		}
	}
}
