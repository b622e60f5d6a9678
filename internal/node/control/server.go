package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/hotrestart"
)

// Times for a peer.
const (
	helloLimit = 2 * time.Second // to say what it wants
	writeLimit = 5 * time.Second // to take a frame
)

// Node is what a server speaks for. Its methods are called from any goroutine.
type Node interface {
	// Knowledge is what a process that takes over is to know, as JSON.
	Knowledge() (json.RawMessage, error)
	// Sockets calls f with the listening sockets' names and descriptors, none after accepting has been stopped.
	Sockets(f func(names []string, descriptors []int) error) error
	// Status is how the node does, as JSON.
	Status() (json.RawMessage, error)
	// Release lets go of what only one process may hold, and Regain takes it back.
	Release()
	Regain()
	// Yield has the node stop accepting, answer all it owes and end: the process with this number accepts from here on.
	Yield(pid int)
	// Lend leaves another process that has come its part of what the platform gives; Retake is its end.
	Lend()
	Retake()
	// Held is how many descriptors the node keeps to now.
	Held() int
	// Obey carries out an order that operators gave the other process.
	Obey(order json.RawMessage) error
	// Mark is how the node makes names of calls that it hands over; empty = it hands none over. Only a process of the same mark
	// takes over.
	Mark() string
	// GiveNames tells that another process accepts, which takes what send says of names; Names is what that one says, and NamesCut
	// tells that it cannot be spoken with any more.
	GiveNames(send func(names json.RawMessage) error)
	Names(names json.RawMessage)
	NamesCut()
	// Refuses is why the node cannot be taken over, empty if it can.
	Refuses() string
}

// Settings describe a server.
type Settings struct {
	Path    string
	Release string            // of the program, for people
	Limits  hotrestart.Limits // milliseconds
}

// Server answers on a node's socket.
type Server struct {
	set   Settings
	node  Node
	clock clock.Clock
	log   *slog.Logger

	mu     sync.Mutex // of the machine and of what follows from it
	giver  *hotrestart.Predecessor
	peers  map[int]*peer
	number int
	alarm  func()
	listen *net.UnixListener
	file   os.FileInfo // that the listener was bound to
	heir   int         // the process that was told all is its own
	to     *peer       // that one
	closed bool
	orders exchange
}

type peer struct {
	wire
	version int
	pid     int
	knows   bool // it was given the state
}

const reasonMark = "it recognises repeats, and the new process has other settings of them or cannot take what is known of them"

// Serve listens at the path, in place of a socket there that nobody listens at, and answers until Close.
func Serve(set Settings, n Node, c clock.Clock, log *slog.Logger) (*Server, error) {
	conn, nobody, err := dial(set.Path)
	if err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("another process answers at %s", set.Path)
	}
	if !nobody {
		return nil, err
	}
	if old, err := os.Lstat(set.Path); err == nil && old.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("%s is there and is no socket", set.Path)
	}
	return Inherit(set, n, c, log)
}

// Inherit is Serve for a process that has taken over from the one that listens at the path.
func Inherit(set Settings, n Node, c clock.Clock, log *slog.Logger) (*Server, error) {
	s := &Server{set: set, node: n, clock: c, log: log, giver: hotrestart.NewPredecessor(set.Limits), peers: map[int]*peer{},
		alarm: func() {}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.bind(); err != nil {
		return nil, err
	}
	return s, nil
}

// bind listens under the lock. The path changes hands in one step, so that there is always one who answers there.
func (s *Server) bind() error {
	own := fmt.Sprintf("%s.%d", s.set.Path, os.Getpid())
	_ = os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Net: "unix", Name: own})
	if err != nil {
		return fmt.Errorf("listening at %s: %w", s.set.Path, err)
	}
	l.SetUnlinkOnClose(false)
	err = os.Chmod(own, 0o600)
	var file os.FileInfo
	if err == nil {
		file, err = os.Lstat(own)
	}
	if err == nil {
		err = os.Rename(own, s.set.Path)
	}
	if err != nil {
		_ = l.Close()
		_ = os.Remove(own)
		return fmt.Errorf("listening at %s: %w", s.set.Path, err)
	}
	s.listen, s.file = l, file
	go s.accept(l)
	return nil
}

// mine tells whether the path leads here, under the lock.
func (s *Server) mine() bool {
	there, err := os.Lstat(s.set.Path)
	return s.listen != nil && err == nil && os.SameFile(there, s.file)
}

// unbind stops listening, under the lock.
func (s *Server) unbind() {
	if s.listen == nil {
		return
	}
	if !s.giver.HandedOver() && s.mine() { // else the path is another process's, or is about to be
		_ = os.Remove(s.set.Path)
	}
	_ = s.listen.Close()
	s.listen = nil
}

// Close stops answering and breaks off what is going on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.unbind()
	s.alarm()
	for _, p := range s.peers {
		_ = p.conn.Close()
	}
}

// Stopping tells that the node was told to stop.
func (s *Server) Stopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carryOut(s.giver.Stop(s.clock.Now()))
}

// Given tells whether another process has taken over.
func (s *Server) Given() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.giver.HandedOver()
}

// Ended tells the process that has taken over that nothing is owed here any more, or how much is given up.
func (s *Server) Ended(unanswered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.giver.HandedOver() {
		return
	}
	for _, p := range s.peers {
		_ = p.write(message{Type: hotrestart.Ended.String(), Unanswered: unanswered}, writeLimit)
	}
}

func (s *Server) accept(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond) // out of descriptors for a moment
			continue
		}
		s.mu.Lock()
		full := len(s.peers) >= maxPeers || s.closed
		if !full {
			s.number++
			s.peers[s.number] = &peer{wire: wireOn(c)}
			go s.serve(s.number, s.peers[s.number])
		}
		s.mu.Unlock()
		if full {
			_ = c.Close()
		}
	}
}

// serve answers one peer.
func (s *Server) serve(number int, p *peer) {
	err := s.talk(number, p)
	s.mu.Lock()
	delete(s.peers, number)
	if p.knows {
		s.orders.end()
	}
	s.carryOut(s.giver.ConnectionLost(number))
	heirLost := s.giver.HandedOver() && p == s.to && s.node.Mark() != "" && !s.closed
	s.mu.Unlock()
	if heirLost {
		s.node.NamesCut()
	}
	_ = p.conn.Close()
	if err != nil {
		s.log.Warn("a process at the control socket was turned away", "error", err)
	}
}

// talk reads what a peer says until it ends; an error is why it was turned away.
func (s *Server) talk(number int, p *peer) error {
	who, err := credentials(p.conn)
	if err != nil {
		return err
	}
	hello, files, err := p.read(helloLimit)
	closeAll(files)
	if err != nil {
		return fmt.Errorf("process %d said nothing that is understood: %w", who.Pid, err)
	}
	refuse := func(reason string) error {
		_ = p.write(message{Type: hotrestart.Refused.String(), Reason: reason}, writeLimit)
		return fmt.Errorf("process %d: %s", who.Pid, reason)
	}
	mine := int(who.Uid) == os.Geteuid()
	p.version = agree(hello.Min, hello.Max)
	switch {
	case hello.Type != hotrestart.Hello.String():
		return refuse("hello was wanted first")
	case !mine && !(hello.Want == wantStatus && who.Uid == 0):
		return refuse(fmt.Sprintf("it runs as user %d", who.Uid))
	case p.version == 0:
		return refuse(fmt.Sprintf("it speaks versions %d to %d, and versions %d to %d are spoken here", hello.Min,
			hello.Max, lowest, highest))
	case hello.Want == wantStatus:
		text, err := s.node.Status()
		if err != nil {
			return refuse(err.Error())
		}
		return p.write(message{Type: wantStatus, Version: p.version, Status: text}, writeLimit)
	case hello.Want != wantTakeover:
		return refuse(fmt.Sprintf("it wants %q", hello.Want))
	}
	if reason := s.node.Refuses(); reason != "" {
		return refuse(reason)
	}
	if mark := s.node.Mark(); mark != "" && mark != hello.Mark {
		return refuse(reasonMark)
	}
	s.log.Info("another process asks to take over", "pid", who.Pid, "release", hello.Release)
	p.pid = int(who.Pid)
	s.told(number, hotrestart.Hello)
	for {
		m, files, err := p.read(0)
		closeAll(files)
		if err != nil {
			if errors.Is(err, errFrame) {
				return fmt.Errorf("process %d: %w", who.Pid, err)
			}
			return nil
		}
		if m.Type == typeNames {
			s.node.Names(m.Names)
		}
		if m.Type == typeOrder || m.Type == typeObeyed {
			s.orders.told(p.wire, m, s.node.Obey)
		}
		if kind, ok := hotrestart.Parse(m.Type); ok && kind != hotrestart.Hello {
			s.told(number, kind)
		}
	}
}

func (s *Server) told(number int, m hotrestart.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carryOut(s.giver.Receive(s.clock.Now(), number, m))
}

// carryOut does what the machine asks for, under the lock, and keeps its alarm.
func (s *Server) carryOut(list []hotrestart.Action) {
	for _, a := range list {
		p := s.peers[a.Peer]
		switch a.Do {
		case hotrestart.Send:
			if p == nil {
				break
			}
			if err := s.send(p, a); err != nil {
				s.log.Warn("a takeover broke off", "error", err)
				_ = p.conn.Close() // its end is told by its reader
			}
		case hotrestart.CloseConnection:
			if p != nil {
				_ = p.conn.CloseWrite() // what was sent still arrives
				_ = p.conn.CloseRead()
			}
		case hotrestart.ShareResources:
			s.node.Lend()
		case hotrestart.ReclaimResources:
			s.node.Retake()
		case hotrestart.Release:
			s.node.Release() // the path is taken by the other one, and answered here until then
		case hotrestart.Reacquire:
			s.node.Regain()
			if s.mine() || s.closed {
				break
			}
			s.unbind()
			if err := s.bind(); err != nil {
				s.log.Error("the control socket is lost", "error", err)
			}
		case hotrestart.StopAccept:
			s.log.Info("another process has taken over")
			if s.node.Mark() != "" {
				s.node.GiveNames(s.to.names)
			}
			s.node.Yield(s.heir)
		}
	}
	s.alarm()
	if next := s.giver.Next(); next <= maxTime {
		s.alarm = s.clock.At(next, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.carryOut(s.giver.Tick(s.clock.Now()))
		})
	} else {
		s.alarm = func() {}
	}
}

const maxTime = 1e15 // milliseconds; beyond it is never

// heldEvery is the time in milliseconds between two looks at how many descriptors are held.
const heldEvery = 100

// tellHeld keeps a peer told of the descriptors that are held, for as long as it is there.
func (s *Server) tellHeld(p *peer, last int) {
	s.clock.At(s.clock.Now()+heldEvery, func() {
		held := s.node.Held()
		if held != last && p.write(message{Type: typeHolds, Held: held}, orderLimit) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, there := range s.peers {
			if there == p && !s.closed {
				s.tellHeld(p, held)
			}
		}
	})
}

// Pass has the process that takes over obey an order, and tells why it did not.
func (s *Server) Pass(order json.RawMessage) error {
	s.mu.Lock()
	var to *peer
	for _, p := range s.peers {
		if p.knows && p.version >= 2 {
			to = p
		}
	}
	s.mu.Unlock()
	if to == nil {
		return nil
	}
	return s.orders.pass(to.wire, order)
}

// send writes what the machine has to say.
func (s *Server) send(p *peer, a hotrestart.Action) error {
	m := message{Type: a.Message.String(), Version: p.version, Reason: a.Reason, Release: s.set.Release, PID: os.Getpid()}
	if a.Message != hotrestart.State && a.Message != hotrestart.Granted {
		return p.write(m, writeLimit)
	}
	var err error
	if m.Knowledge, err = s.node.Knowledge(); err != nil {
		s.log.Error("what is known cannot be given away", "error", err) // the sockets still can
	}
	if a.Message == hotrestart.Granted {
		s.heir, s.to = p.pid, p
		return p.write(m, writeLimit)
	}
	p.knows, m.Held, m.Mark = true, s.node.Held(), s.node.Mark()
	s.orders.begin()
	if p.version >= 2 {
		s.tellHeld(p, m.Held)
	}
	return s.node.Sockets(func(names []string, descriptors []int) error {
		m.Sockets = names
		return p.write(m, writeLimit, descriptors...)
	})
}
