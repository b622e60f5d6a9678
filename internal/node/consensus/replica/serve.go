package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

const answerLimit = 5 * time.Second // for a client to take an answer

func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // of types that can be written
	}
	return text
}

func (k *Replica) accept() {
	for {
		raw, err := k.listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond) // out of descriptors for a moment
			continue
		}
		go k.serve(transport.NewConn(raw))
	}
}

// serve hears one connection to its end.
func (k *Replica) serve(c *transport.Conn) {
	defer c.Close()
	k.mu.Lock()
	full := len(k.conns) >= MaxClients
	k.conns[c] = 0
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
	}()
	if full {
		return
	}
	hello, err := c.Accept(k.set.Fleet, k.judge)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			k.log.Warn("a peer was turned away", "peer", hello.Name, "remote", c.Remote(), "error", err)
		}
		return
	}
	if hello.ID == 0 {
		k.clients.Add(1)
		defer k.clients.Add(-1)
		err = k.hearClient(c)
	} else {
		k.alone(c, hello.ID)
		err = k.hearKeeper(c, hello.ID)
	}
	if errors.Is(err, transport.ErrFrame) {
		k.log.Warn("a peer was turned away", "peer", hello.Name, "remote", c.Remote(), "error", err)
	}
}

// alone ends an earlier connection of a keeper: it has none but the last.
func (k *Replica) alone(c *transport.Conn, id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for other, of := range k.conns {
		if of == id && other != c {
			_ = other.Close()
		}
	}
	k.conns[c] = id
}

// judge says whether whoever connects is welcome.
func (k *Replica) judge(h transport.Hello) transport.Welcome {
	answer := make(chan transport.Welcome, 1)
	if !k.tell(func() { answer <- k.look(h) }) {
		return transport.Welcome{Reason: "this keeper ends"}
	}
	select {
	case w := <-answer:
		return w
	case <-k.ended:
		return transport.Welcome{Reason: "this keeper ends"}
	}
}

func (k *Replica) look(h transport.Hello) transport.Welcome {
	w := transport.Welcome{Name: k.set.Name, ID: k.store.ID}
	if h.To != "" && h.To != k.set.Name {
		w.Reason = fmt.Sprintf("this is %q, not %q", k.set.Name, h.To)
		return w
	}
	if h.Want != 0 && h.Want != k.store.ID { // what it says is for another, and ends no connection of its own to this one
		w.Reason = fmt.Sprintf("this is number %x, not %x", k.store.ID, h.Want)
		return w
	}
	if h.ID == 0 {
		return w
	}
	m, known := k.group.State().Members().Get(h.ID)
	match, _ := k.group.Behind(h.ID)
	_, committed, applied := k.group.Position()
	switch {
	case known && m.Role == statemachine.Removed:
		w.Reason, w.Final = "it was taken out or replaced: its directory is to be emptied", true
	case !known && applied > 0 && h.Applied <= applied: // else it may have joined since: who was away must hear of it from it
		w.Reason = "it is no member (yet)"
	case known && m.Name != h.Name:
		w.Reason = fmt.Sprintf("its number is that of %q", m.Name)
	case h.Starts < max(m.Starts, k.starts[h.ID]):
		w.Reason = fmt.Sprintf("its directory is an older copy: it says start %d, and start %d was seen", h.Starts, max(m.Starts, k.starts[h.ID]))
		w.Final = true
	case h.Starts == k.starts[h.ID] && k.lives[h.ID] != 0 && h.Life != k.lives[h.ID]:
		w.Reason = fmt.Sprintf("its directory is an older copy: start %d was that of another process", h.Starts)
		w.Final = true
	case h.Starts == k.starts[h.ID] && h.Dial < k.dialled[h.ID]:
		w.Reason = "a later connection of it has come" // what this one says of itself is old
	case k.group.Leads() && min(match, committed) > h.Last:
		w.Reason = fmt.Sprintf("its directory is an older copy: it holds entry %d, and had %d", h.Last, min(match, committed))
		w.Final = true
	}
	if w.Reason == "" {
		k.names[h.ID], k.starts[h.ID], k.dialled[h.ID], k.lives[h.ID] = h.Name, h.Starts, h.Dial, h.Life
		k.speaks[h.ID] = max(1, h.StateVersion)
		if s := k.senders[h.ID]; s != nil {
			if up, _ := s.Up(); !up { // its pause may be long, and it is there
				s.Retry()
			}
		}
	}
	return w
}

// hearKeeper passes on what a member says.
func (k *Replica) hearKeeper(c *transport.Conn, id uint64) error {
	for {
		kind, text, err := c.Read()
		if err != nil {
			return err
		}
		m := &pb.Message{}
		if kind != transport.KindRaft || proto.Unmarshal(text, m) != nil || m.GetFrom() != id || m.GetTo() != k.store.ID {
			return transport.ErrFrame
		}
		if !k.tell(func() { k.group.Step(m) }) {
			return nil
		}
	}
}

// hearClient answers the requests of a client of the log.
func (k *Replica) hearClient(c *transport.Conn) error {
	out, over := make(chan protocol.Answer, 2*mostWaiting), make(chan struct{})
	defer close(over)
	defer k.tell(func() { delete(k.waits, c) })
	go func() {
		defer c.Close() // a client that takes nothing
		for {
			select {
			case a := <-out:
				text, err := json.Marshal(a)
				if err != nil || c.Write(transport.KindAnswer, text, answerLimit) != nil {
					return
				}
			case <-over:
				return
			}
		}
	}()
	for {
		kind, text, err := c.Read()
		if err != nil {
			return err
		}
		ask := &protocol.Request{}
		if kind != transport.KindRequest || len(text) > statemachine.MaxCommandBytes || json.Unmarshal(text, ask) != nil {
			return transport.ErrFrame
		}
		answer := func(a protocol.Answer) {
			a.ID = ask.ID
			select {
			case out <- a:
			default: // it asks for more than it takes
				_ = c.Close()
			}
		}
		do := func() { k.answer(ask, answer) }
		if ask.Want == protocol.Wait {
			do = func() { k.wait(c, &waiter{ask, answer, k.tick}) }
		}
		if !k.tell(do) {
			return nil
		}
	}
}

// wait has a question answered once the answer is not what the asker knows. It is a hint and no more: nobody is asked whether this
// keeper still leads, and it costs no entry. A later one on the connection takes the place of an earlier, which nobody hears any more.
func (k *Replica) wait(c *transport.Conn, w *waiter) {
	if earlier := k.waits[c]; earlier != nil {
		earlier.answer(protocol.Answer{Fault: protocol.Later, Text: "a later one has come"})
	}
	delete(k.waits, c)
	if !k.group.Leads() {
		w.answer(k.fault(member.ErrNotLeader))
		return
	}
	if reply := k.group.Query(statemachine.Request{Part: w.ask.Part, Body: w.ask.Body}); !bytes.Equal(reply.Body, w.ask.Known) {
		w.answer(protocol.Answer{Reply: &reply})
		return
	}
	k.waits[c] = w
}

// hint answers those who wait for what has come to be.
func (k *Replica) hint() {
	var asked *protocol.Request
	var reply statemachine.Reply
	for c, w := range k.waits {
		if asked == nil || asked.Part != w.ask.Part || !bytes.Equal(asked.Body, w.ask.Body) { // most ask the same
			asked, reply = w.ask, k.group.Query(statemachine.Request{Part: w.ask.Part, Body: w.ask.Body})
		}
		if !bytes.Equal(reply.Body, w.ask.Known) {
			delete(k.waits, c)
			w.answer(protocol.Answer{Reply: &reply})
		}
	}
}

// answer does what a client asks for, on the goroutine of the state machine.
func (k *Replica) answer(ask *protocol.Request, answer func(protocol.Answer)) {
	var err error
	switch ask.Want {
	case protocol.Status:
		answer(protocol.Answer{State: k.state()})
		return
	case protocol.Picture:
		reply := k.group.Query(statemachine.Request{Part: statemachine.ComponentRegister, Body: encode(statemachine.Get{})})
		answer(protocol.Answer{Reply: &reply})
		return
	case protocol.Found:
		if err := k.found(ask); err != nil {
			answer(protocol.Answer{Fault: protocol.Refused, Text: err.Error()})
			return
		}
		answer(protocol.Answer{State: k.state()})
		return
	case protocol.Do:
		c := statemachine.Command{Session: ask.Session, Number: ask.Number, Done: ask.Done, Part: ask.Part, Body: ask.Body}
		if c.Session == 0 {
			c.Part = "" // nobody speaks for the group itself
		}
		if err = k.group.Propose(k.clock.Now(), c); err == nil {
			id := key{ask.Session, ask.Number}
			k.waiting[id] = append(k.waiting[id], &waiter{ask, answer, k.tick})
			return
		}
	case protocol.Read:
		k.number++
		if err = k.group.Read(k.number); err == nil {
			k.reads[k.number] = &waiter{ask, answer, k.tick}
			return
		}
	case protocol.Copy:
		if err = member.ErrNotLeader; k.group.Leads() {
			freeze, index := k.group.State().Freeze(), k.group.State().Index()
			go func() { // it may take its time
				image, err := freeze()
				if err != nil {
					answer(protocol.Answer{Fault: protocol.Refused, Text: err.Error()})
					return
				}
				answer(protocol.Answer{Reply: &statemachine.Reply{Code: statemachine.OK, Index: index, Body: encode(image)}})
			}()
			return
		}
	case protocol.Learn, protocol.Remove:
		if len(ask.Members) != 1 {
			answer(protocol.Answer{Fault: protocol.Refused, Text: "want one member"})
			return
		}
		if ask.Want == protocol.Learn {
			err = k.learn(ask.Members[0])
		} else {
			err = k.remove(ask.Members[0])
		}
		if err == nil {
			answer(protocol.Answer{State: k.state()})
			return
		}
	default:
		answer(protocol.Answer{Fault: protocol.Refused, Text: fmt.Sprintf("nobody wants %q", ask.Want)})
		return
	}
	answer(k.fault(err))
}

// fault is the answer to what cannot be done here.
func (k *Replica) fault(err error) protocol.Answer {
	a := protocol.Answer{Fault: protocol.Refused, Text: err.Error(), Leader: k.nameOf(k.leader)}
	switch {
	case errors.Is(err, member.ErrNotLeader) && k.group.Leader() == 0:
		a.Fault = protocol.Nobody
	case errors.Is(err, member.ErrNotLeader):
		a.Fault = protocol.Elsewhere
	case errors.Is(err, member.ErrBacklog), errors.Is(err, member.ErrBusy):
		a.Fault = protocol.Later
	}
	return a
}

// learn takes a member in, unless it is one.
func (k *Replica) learn(m statemachine.Member) error {
	list := k.group.State().Members()
	have, known := list.Get(m.ID)
	switch {
	case !k.group.Leads():
		return member.ErrNotLeader
	case known && have.Role != statemachine.Removed:
		return nil
	case known:
		return fmt.Errorf("number %x was taken out: empty the directory of %q", m.ID, m.Name)
	}
	named, taken := list.Named(m.Name)
	switch {
	case m.Replaces == 0 && taken:
		return fmt.Errorf("there is a %q: replace it", m.Name)
	case m.Replaces != 0 && (!taken || named.ID != m.Replaces):
		return fmt.Errorf("number %x is not that of %q any more", m.Replaces, m.Name)
	}
	return k.group.AddLearner(m)
}

// remove takes a member out, unless it is the last. One that leads hands its lead on first and is asked again: else nobody would lead until
// the others miss it.
func (k *Replica) remove(m statemachine.Member) error {
	list := k.group.State().Members()
	have, known := list.Get(m.ID)
	voters := 0
	for _, other := range list.All() {
		if other.Role == statemachine.Voter {
			voters++
		}
	}
	switch {
	case !k.group.Leads():
		return member.ErrNotLeader
	case !known || have.Role == statemachine.Removed:
		return nil
	case have.Role == statemachine.Voter && voters == 1:
		return errors.New("it is the last that votes")
	case m.ID == k.ID() && k.group.Hand():
		return member.ErrBusy
	}
	return k.group.Remove(m.ID)
}

// found makes this keeper one of the first members. Asked again, it says that it is.
func (k *Replica) found(ask *protocol.Request) error {
	own := false
	for _, m := range ask.Members {
		own = own || m.ID == k.store.ID && m.Name == k.set.Name
	}
	term, _, applied := k.group.Position()
	switch {
	case applied > 0:
		for _, m := range ask.Members {
			if have, ok := k.group.State().Members().Get(m.ID); !ok || have.Name != m.Name {
				return errors.New("it has been founded before, with other members")
			}
		}
		return nil
	case !own:
		return errors.New("it is not among the members that it is founded with")
	case term > 0 || len(k.names) > 0:
		return nil // those that were founded before lead already, and teach it
	}
	image, err := member.Bootstrap(ask.Members, ask.Now)
	if err == nil {
		err = k.store.Begin(image)
	}
	if err == nil {
		err = k.begin()
	}
	if err == nil {
		k.log.Info("the keeper was founded", "members", len(ask.Members))
	}
	return err
}

// state is how the keeper does.
func (k *Replica) state() *protocol.State {
	l := k.group.State()
	s := &protocol.State{Fleet: k.set.Fleet, Name: k.set.Name, ID: k.store.ID, Release: k.set.Release, Starts: k.store.Starts,
		Leader: k.nameOf(k.group.Leader()), Time: l.Now(), Changing: k.group.Changing(), Synced: k.set.Synced, Sessions: l.Sessions(),
		Images: k.images, Writes: k.writes.Load(), Clients: int(k.clients.Load())}
	s.Term, s.Committed, s.Applied = k.group.Position()
	switch {
	case k.group.Leads():
		s.Role = "leader"
	case k.group.Voter():
		s.Role = "voter"
	case s.Applied > 0:
		s.Role = "learner"
	default:
		s.Role = "blank"
	}
	for _, m := range l.Members().All() {
		v := protocol.Member{Member: m}
		if sender := k.senders[m.ID]; sender != nil {
			v.Up, v.Bytes = sender.Up()
		}
		v.Match, v.Heard = k.group.Behind(m.ID)
		s.Members = append(s.Members, v)
	}
	return s
}
