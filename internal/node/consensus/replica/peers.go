package replica

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Limits of the connections to members.
const (
	minDialTimeout = 100 * time.Millisecond // the first attempt uses the election timeout, but at least this
	maxDialTimeout = 2 * time.Second
	minSendTimeout = 2 * time.Second // for a member to accept a part of the data
	minDialPause   = 50 * time.Millisecond
	maxDialPause   = time.Second
	acceptPause    = 50 * time.Millisecond // after a failed accept, for example without free file descriptors
)

// peer is what a member has reported about itself in the last accepted Hello.
type peer struct {
	name        string
	starts      uint64 // number of starts
	incarnation uint64 // random number of its process; 0 = it has not connected
	connection  uint64 // number of its connection since that start
	version     int    // newest statemachine.Version that it reads; 0 = unknown
}

// peer returns the record of a member, creating it if necessary.
func (r *Replica) peer(id uint64) *peer {
	p := r.peers[id]
	if p == nil {
		p = &peer{}
		r.peers[id] = p
	}
	return p
}

// accept serves connections until the listener is closed.
func (r *Replica) accept() {
	for {
		raw, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go r.serve(transport.NewConn(raw))
	}
}

// serve serves one connection of a member or a client until it ends.
func (r *Replica) serve(c *transport.Conn) {
	defer func() { _ = c.Close() }()
	r.mu.Lock()
	full := len(r.conns) >= MaxClients
	r.conns[c] = 0
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	if full {
		return
	}
	hello, err := c.Accept(r.settings.Fleet, r.welcome)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			r.log.Warn("connection rejected", "peer", hello.Name, "remote", c.Remote(), "error", err)
		}
		return
	}
	if hello.ID == 0 {
		r.clients.Add(1)
		defer r.clients.Add(-1)
		err = r.serveClient(c)
	} else {
		r.closeEarlier(c, hello.ID)
		err = r.servePeer(c, hello.ID)
	}
	if errors.Is(err, transport.ErrFrame) {
		r.log.Warn("connection rejected", "peer", hello.Name, "remote", c.Remote(), "error", err)
	}
}

// closeEarlier closes earlier connections of a member: only the latest one is valid.
func (r *Replica) closeEarlier(c *transport.Conn, id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, otherID := range r.conns {
		if otherID == id && other != c {
			_ = other.Close()
		}
	}
	r.conns[c] = id
}

// servePeer passes the messages of a member to the state machine.
func (r *Replica) servePeer(c *transport.Conn, id uint64) error {
	for {
		kind, text, err := c.Read()
		if err != nil {
			return err
		}
		message := &pb.Message{}
		if kind != transport.KindRaft || proto.Unmarshal(text, message) != nil || message.GetFrom() != id || message.GetTo() != r.store.ID {
			return transport.ErrFrame
		}
		if !r.submit(func() { r.member.Step(message) }) {
			return nil
		}
	}
}

// welcome answers the Hello of a connection. It must not be called on the owner's goroutine.
func (r *Replica) welcome(h transport.Hello) transport.Welcome {
	answer := make(chan transport.Welcome, 1)
	if r.submit(func() { answer <- r.admit(&h) }) {
		select {
		case w := <-answer:
			return w
		case <-r.ended:
		}
	}
	return transport.Welcome{Reason: "this keeper ends"}
}

// admit accepts or rejects a connection, and records what an accepted member reports about itself.
func (r *Replica) admit(h *transport.Hello) transport.Welcome {
	w := transport.Welcome{Name: r.settings.Name, ID: r.store.ID}
	switch {
	case h.To != "" && h.To != r.settings.Name:
		w.Reason = fmt.Sprintf("this is %q, not %q", r.settings.Name, h.To)
	case h.WantID != 0 && h.WantID != r.store.ID: // it must not invalidate the member's own connection to this replica
		w.Reason = fmt.Sprintf("this is number %x, not %x", r.store.ID, h.WantID)
	case h.ID != 0:
		if w.Reason, w.Final = r.rejectionOf(h); w.Reason == "" {
			*r.peer(h.ID) = peer{name: h.Name, starts: h.Starts, incarnation: h.Incarnation, connection: h.Connection, version: max(1, h.StateVersion)}
			r.retryNow(h.ID)
		}
	}
	return w
}

// rejectionOf returns the reason why a member is rejected; "" = it is accepted. final reports a permanent
// rejection: the member was removed, or its directory is an older copy, with which its vote could undo committed
// entries.
func (r *Replica) rejectionOf(h *transport.Hello) (reason string, final bool) {
	m, known := r.member.State().Members().Get(h.ID)
	match, _ := r.member.FollowerProgress(h.ID)
	_, committed, applied := r.member.Position()
	acknowledged := min(match, committed)
	var last peer
	if p := r.peers[h.ID]; p != nil {
		last = *p
	}
	starts := max(m.Starts, last.starts)
	switch {
	case known && m.Role == statemachine.Removed:
		return "it was taken out or replaced: its directory is to be emptied", true
	case !known && applied > 0 && h.Applied <= applied: // one that has applied more may have been added meanwhile
		return "it is no member (yet)", false
	case known && m.Name != h.Name:
		return fmt.Sprintf("its number is that of %q", m.Name), false
	case h.Starts < starts:
		return fmt.Sprintf("its directory is an older copy: it says start %d, and start %d was seen", h.Starts, starts), true
	case h.Starts == last.starts && last.incarnation != 0 && h.Incarnation != last.incarnation:
		return fmt.Sprintf("its directory is an older copy: start %d was that of another process", h.Starts), true
	case h.Starts == last.starts && h.Connection < last.connection: // this Hello is outdated
		return "a later connection of it has come", false
	case r.member.Leads() && acknowledged > h.Last:
		return fmt.Sprintf("its directory is an older copy: it holds entry %d, and had %d", h.Last, acknowledged), true
	}
	return "", false
}

// retryNow ends the pause of the sender to a member that has just connected to this replica.
func (r *Replica) retryNow(id uint64) {
	if s := r.senders[id]; s != nil {
		if up, _ := s.Up(); !up {
			s.Retry()
		}
	}
}

// addressOf returns the address of a member: the one in this replica's settings, otherwise the committed one.
func (r *Replica) addressOf(id uint64) string {
	if address := r.settings.Addresses[r.nameOf(id)]; address != "" {
		return address
	}
	m, _ := r.member.State().Members().Get(id)
	return m.Address
}

// send queues messages to other members. A message that cannot be sent is reported as lost, and the consensus
// library sends it again.
func (r *Replica) send(messages []*pb.Message) {
	for _, message := range messages {
		id := message.GetTo()
		sender := r.sender(id)
		if sender == nil {
			r.member.Unreachable(id)
			continue
		}
		text, err := proto.Marshal(message)
		if err != nil {
			r.log.Warn("cannot encode a message to a peer", "error", err)
			continue
		}
		var sent func(bool)
		if message.GetType() == pb.MsgSnap {
			// On a separate goroutine, because the owner itself calls this function if the sender drops the message
			// at once.
			sent = func(ok bool) { go r.submit(func() { r.member.ImageSent(id, ok) }) }
		}
		sender.Send(transport.KindRaft, text, sent)
	}
}

// sender returns the sender to a member, creating it if necessary; nil = the member's address is not known.
func (r *Replica) sender(id uint64) *transport.Sender {
	if s := r.senders[id]; s != nil {
		return s
	}
	address, name := r.addressOf(id), r.nameOf(id)
	if address == "" {
		return nil
	}
	first := max(milliseconds(r.settings.Election), minDialTimeout)
	limits := transport.Limits{Bytes: senderBytes, Write: max(minSendTimeout, first), FirstPause: minDialPause, LastPause: maxDialPause}
	timeout := first
	s := transport.NewSender(limits,
		func() (*transport.Conn, error) {
			c, err := r.dial(address, name, id, timeout)
			if err == nil {
				timeout = first
			} else { // otherwise two members that are both slow to answer would never connect
				timeout = min(2*timeout, max(first, maxDialTimeout))
			}
			return c, err
		},
		func() {
			select {
			case r.inbox <- func() { r.member.Unreachable(id) }:
			default: // the missing answers of the member have the same effect
			}
		},
		func(err error) {
			if err != nil {
				r.log.Warn("cannot connect to a peer replica", "peer", name, "address", address, "error", err)
			} else {
				r.log.Info("connected to a peer replica again", "peer", name, "address", address)
			}
		})
	r.senders[id] = s
	return s
}

// dial connects to a member, on the goroutine of its sender. A permanent rejection stops this replica.
func (r *Replica) dial(address, name string, id uint64, timeout time.Duration) (*transport.Conn, error) {
	c, w, err := transport.Dial(address, transport.Hello{Fleet: r.settings.Fleet, Release: r.settings.Release, Name: r.settings.Name, To: name, WantID: id,
		ID: r.store.ID, Starts: r.store.Starts, Incarnation: r.incarnation, Connection: r.dials.Add(1), Last: r.lastDurable.Load(), Applied: r.lastApplied.Load(),
		StateVersion: statemachine.Version}, timeout)
	switch {
	case errors.Is(err, transport.ErrRefused) && w.Final:
		select {
		case r.rejections <- err:
		default: // another rejection is already queued
		}
	case err == nil && w.ID != id:
		_ = c.Close()
		return nil, fmt.Errorf("%s is another replica %q than expected: ID %x, not %x", address, name, w.ID, id)
	}
	return c, err
}
