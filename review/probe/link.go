package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of a harmed link.
const (
	lostShare   = 0.3                    // "three packets in ten"
	resendAfter = 200 * time.Millisecond // least time after which TCP sends a lost last packet again; it doubles
	resendData  = 50 * time.Millisecond  // the same for a packet that others follow
)

// link is the way from a rater to the machines. To some machines it may lose packets, which arrive later, as TCP sends them again.
type link struct {
	net.Listener
	play *play

	mu      sync.Mutex
	harmed  map[*machine]bool
	crashed bool
	open    map[*linkConn]bool
}

// linkConn is one connection over a link. What is sent on it arrives in order.
type linkConn struct {
	*net.TCPConn
	link *link
	from atomic.Pointer[machine] // nil = not known

	mu     sync.Mutex
	closed bool
}

func newLink(p *play, listener net.Listener) *link {
	return &link{Listener: listener, play: p, open: map[*linkConn]bool{}}
}

// Accept returns the next connection.
func (l *link) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: accepted.(*net.TCPConn), link: l}
	l.mu.Lock()
	l.open[c] = true
	harmed := l.harmed != nil
	l.mu.Unlock()
	if harmed {
		l.findMachines([]*linkConn{c})
	}
	return c, nil
}

// harm has the link lose packets to some machines.
func (l *link) harm(machines map[*machine]bool) {
	var names []string
	for m := range machines {
		names = append(names, m.name)
	}
	l.play.records.line("link of %s loses packets to %s", l.Addr(), strings.Join(names, " "))
	l.mu.Lock()
	l.harmed = machines
	l.mu.Unlock()
	l.findMachines(l.connections())
}

// findMachines finds out which machines made the connections.
func (l *link) findMachines(connections []*linkConn) {
	machines := l.play.machinesByPort(l.Addr().(*net.TCPAddr))
	for _, c := range connections {
		c.from.Store(machines[c.RemoteAddr().(*net.TCPAddr).Port])
	}
}

// connections returns the open connections.
func (l *link) connections() []*linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// loses draws whether a packet is lost.
func (l *link) loses(to *machine) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return to != nil && l.harmed[to] && rand.Float64() < lostShare
}

// crash ends all connections, as the kernel does when a process is killed. The ends are sent at once; one that is lost arrives later.
func (l *link) crash() {
	_ = l.Close()
	l.mu.Lock()
	l.crashed = true
	l.mu.Unlock()
	for _, c := range l.connections() {
		go c.end()
	}
}

// Write sends a packet.
func (c *linkConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link.mu.Lock()
	crashed := c.link.crashed
	c.link.mu.Unlock()
	if c.closed || crashed {
		return 0, net.ErrClosed
	}
	if c.link.loses(c.from.Load()) {
		time.Sleep(resendData)
	}
	return c.TCPConn.Write(data)
}

// Close ends the connection in order.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	crashed := c.link.crashed
	c.link.mu.Unlock()
	if crashed {
		return nil // its end is on the way
	}
	c.end()
	return nil
}

// end sends the end of the connection.
func (c *linkConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for wait := resendAfter; c.link.loses(c.from.Load()); wait *= 2 {
		time.Sleep(wait)
	}
	_ = c.TCPConn.Close()
	c.link.mu.Lock()
	delete(c.link.open, c)
	c.link.mu.Unlock()
}

// machinesByPort returns the machines whose data processes are connected to an address, by the ports of their ends.
func (p *play) machinesByPort(to *net.TCPAddr) map[int]*machine {
	ports := portsByInode(to)
	found := map[int]*machine{}
	for _, m := range p.machines {
		m.mu.Lock()
		running := m.processes[roleData]
		m.mu.Unlock()
		if running == nil {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", running.command.Process.Pid)
		entries, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			target, err := os.Readlink(folder + "/" + entry.Name())
			if err != nil {
				continue
			}
			if port, connected := ports[target]; connected {
				found[port] = m
			}
		}
	}
	return found
}

// portsByInode returns the ports of the sockets that are connected to an address, by the names that /proc gives the sockets.
func portsByInode(to *net.TCPAddr) map[string]int {
	ports := map[string]int{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ports
	}
	defer func() { _ = file.Close() }()
	ip := to.IP.To4()
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], to.Port)
	const localField, remoteField, inodeField = 1, 2, 9
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[remoteField] != remote {
			continue
		}
		_, local, _ := strings.Cut(fields[localField], ":")
		if port, err := strconv.ParseInt(local, 16, 32); err == nil {
			ports["socket:["+fields[inodeField]+"]"] = int(port)
		}
	}
	return ports
}
