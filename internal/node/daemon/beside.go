package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/node"
)

// AcceptVariable names the descriptor of the clients' listening socket where the platform holds it for all processes of the
// node; $TMPDIR is then theirs together.
const AcceptVariable = "ROUTER_ACCEPT_FD"

const (
	sharedSocket = "linenwheel.sock" // in $TMPDIR, where processes of a node find each other
	mostPath     = 90                // bytes of a Unix socket's path, with room for what is appended while it changes hands
	sharedAnswer = 1500              // milliseconds that a process waits for another's word: it has to serve soon itself
	leaveAfter   = 5 * time.Second   // for the platform's signal to a process that has handed over
	beside       = 0.5               // part of the memory for each of two processes
)

// adopt takes the platform's listening socket, nil if it holds none, and finds where the node's processes meet.
func (d *daemon) adopt() (net.Listener, error) {
	text := d.set.Env(AcceptVariable)
	if text == "" {
		return nil, nil
	}
	fault := func(err error) error { return &config.FieldError{Field: AcceptVariable, Err: err} }
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fault(fmt.Errorf("%q is no descriptor", text))
	}
	file := os.NewFile(uintptr(fd), "accept")
	l, err := net.FileListener(file) // a duplicate; the socket itself is never shut down here, for others accept on it
	_ = file.Close()
	if err != nil {
		return nil, fault(err)
	}
	d.shared = true
	if dir := d.set.Env("TMPDIR"); dir != "" && d.set.Path == "" {
		if d.set.Path, err = meeting(dir); err != nil {
			d.log.Error("the control socket cannot be used", "error", err)
			d.set.Path = ""
		}
	}
	return l, nil
}

// meeting is the path of the socket in a directory, whose own path may be longer than a socket's can be.
func meeting(dir string) (string, error) {
	path := filepath.Join(dir, sharedSocket)
	if len(path) <= mostPath {
		return path, nil
	}
	fd, err := unix.Open(dir, unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return "", fmt.Errorf("opening %s: %w", dir, err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", fd, sharedSocket), nil // it stays open as long as the process lives
}

// holds takes how many descriptors the process before keeps to: the rest is this one's.
func (d *daemon) holds(descriptors int) {
	<-d.made
	d.node.LimitResources(d.set.Config.Sockets-descriptors, beside)
}

// whole has the node use all that the platform gives it: no other process is there.
func (d *daemon) whole() {
	<-d.made
	d.node.LimitResources(d.set.Config.Sockets, 1)
}

var errEarly = errors.New("it is not up yet")

// obey carries out what operators told the node's other process.
func (d *daemon) obey(text json.RawMessage) error {
	var o node.Order
	if err := json.Unmarshal(text, &o); err != nil {
		return err
	}
	select {
	case <-d.made:
	case <-time.After(time.Second):
		return errEarly
	}
	return d.node.ApplyOrder(o)
}

// pass has the node's other processes obey an order.
func (d *daemon) pass(o node.Order) error {
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	d.mu.Lock()
	select {
	case <-d.owner:
	default:
		d.orders = append(d.orders, o)
	}
	server := d.server
	d.mu.Unlock()
	var before, after error
	if d.take != nil {
		before = d.take.Pass(text)
	}
	if server != nil {
		after = server.Pass(text)
	}
	return errors.Join(before, after)
}

// awaitEnd has a process that another one took over from stay until the platform, which started both, tells it to end: one that
// leaves by itself just then may be taken for something else. It owes nothing and holds next to nothing any more.
func (d *daemon) awaitEnd(end <-chan os.Signal) {
	server := d.control()
	d.telling.Lock()
	told := d.told
	d.telling.Unlock()
	if !d.shared || told || server == nil || !server.Given() {
		return
	}
	select {
	case <-end:
	case <-time.After(leaveAfter):
	}
}
