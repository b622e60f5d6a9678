package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

const answerTimeout = 5 * time.Second // for a client to accept an answer

// proposalKey identifies a command by its session and its number in the session.
type proposalKey struct{ session, number uint64 }

// pendingRequest is a request of a client that has not been answered yet.
type pendingRequest struct {
	request *protocol.Request
	respond func(protocol.Answer) // never blocks; may be called on any goroutine
	since   uint64                // tick
}

func (r *Replica) pending(request *protocol.Request, respond func(protocol.Answer)) *pendingRequest {
	return &pendingRequest{request, respond, r.ticks}
}

func (r *Replica) expired(p *pendingRequest) bool { return r.ticks-p.since > requestTicks }

// query answers a query from the state of this replica.
func (r *Replica) query(request *protocol.Request) protocol.Answer {
	reply := r.member.Query(statemachine.Request{Component: request.Component, Body: request.Body})
	return protocol.Answer{Reply: &reply}
}

// serveClient serves the requests of a client. They may be answered in any order.
func (r *Replica) serveClient(c *transport.Conn) error {
	answers, done := make(chan protocol.Answer, 2*maxPending), make(chan struct{})
	defer close(done)
	defer r.submit(func() { delete(r.longPolls, c) })
	go func() {
		defer func() { _ = c.Close() }() // the client does not accept answers
		for {
			select {
			case a := <-answers:
				text, err := json.Marshal(a)
				if err != nil || c.Write(transport.KindAnswer, text, answerTimeout) != nil {
					return
				}
			case <-done:
				return
			}
		}
	}()
	for {
		kind, text, err := c.Read()
		if err != nil {
			return err
		}
		request := &protocol.Request{}
		if kind != transport.KindRequest || len(text) > statemachine.MaxCommandBytes || json.Unmarshal(text, request) != nil {
			return transport.ErrFrame
		}
		respond := func(a protocol.Answer) {
			a.ID = request.ID
			select {
			case answers <- a:
			default: // the client sends requests faster than it accepts answers
				_ = c.Close()
			}
		}
		do := func() { r.handle(request, respond) }
		if request.Kind == protocol.LongPoll {
			do = func() { r.longPoll(c, request, respond) }
		}
		if !r.submit(do) {
			return nil
		}
	}
}

// handle handles any request except a long poll.
func (r *Replica) handle(request *protocol.Request, respond func(protocol.Answer)) {
	switch request.Kind {
	case protocol.Status:
		respond(protocol.Answer{State: r.status()})
	case protocol.LocalRegister:
		respond(r.query(&protocol.Request{Component: statemachine.ComponentRegister, Body: encode(statemachine.Get{})}))
	case protocol.Bootstrap:
		if err := r.bootstrap(request); err != nil {
			respond(protocol.Answer{Fault: protocol.Rejected, Text: err.Error()})
			return
		}
		respond(protocol.Answer{State: r.status()})
	case protocol.Do:
		r.propose(request, respond)
	case protocol.Read:
		if err := r.member.Read(r.lastRead + 1); err != nil {
			respond(r.failure(err))
			return
		}
		r.lastRead++
		r.reads[r.lastRead] = r.pending(request, respond)
	case protocol.Backup:
		r.copyState(respond)
	case protocol.AddLearner, protocol.Remove:
		r.changeMembership(request, respond)
	default:
		respond(protocol.Answer{Fault: protocol.Rejected, Text: fmt.Sprintf("nobody wants %q", request.Kind)})
	}
}

// propose proposes a command. It is answered once it is applied.
func (r *Replica) propose(request *protocol.Request, respond func(protocol.Answer)) {
	c := statemachine.Command{Session: request.Session, Number: request.Number, Confirmed: request.Confirmed, Component: request.Component, Body: request.Body}
	if c.Session == 0 {
		c.Component = "" // otherwise it would count as a command of the cluster itself
	}
	if err := r.member.Propose(r.clock.Now(), c); err != nil {
		respond(r.failure(err))
		return
	}
	key := proposalKey{request.Session, request.Number}
	r.proposals[key] = append(r.proposals[key], r.pending(request, respond))
}

// copyState answers a request for a backup with an image of the state.
func (r *Replica) copyState(respond func(protocol.Answer)) {
	if !r.member.Leads() {
		respond(r.failure(member.ErrNotLeader))
		return
	}
	freeze, index := r.member.State().Freeze(), r.member.State().Index()
	go func() { // encoding a large state takes a long time
		image, err := freeze()
		if err != nil {
			respond(protocol.Answer{Fault: protocol.Rejected, Text: err.Error()})
			return
		}
		respond(protocol.Answer{Reply: &statemachine.Reply{Code: statemachine.OK, Index: index, Body: encode(image)}})
	}()
}

// longPoll answers a query once the answer differs from the one that the client knows. The answer is only a hint:
// this replica does not confirm that it is still the leader, and no log entry is created. A later long poll on the
// same connection replaces an earlier one, because the client no longer waits for that one.
func (r *Replica) longPoll(c *transport.Conn, request *protocol.Request, respond func(protocol.Answer)) {
	if earlier := r.longPolls[c]; earlier != nil {
		earlier.respond(protocol.Answer{Fault: protocol.RetryLater, Text: "a later one has come"})
	}
	delete(r.longPolls, c)
	if !r.member.Leads() {
		respond(r.failure(member.ErrNotLeader))
		return
	}
	if answer := r.query(request); !bytes.Equal(answer.Reply.Body, request.Known) {
		respond(answer)
		return
	}
	r.longPolls[c] = r.pending(request, respond)
}

// answerLongPolls answers the long polls whose answer has changed.
func (r *Replica) answerLongPolls() {
	var last *protocol.Request
	var answer protocol.Answer
	for c, p := range r.longPolls {
		if last == nil || last.Component != p.request.Component || !bytes.Equal(last.Body, p.request.Body) { // most have the same query
			last, answer = p.request, r.query(p.request)
		}
		if !bytes.Equal(answer.Reply.Body, p.request.Known) {
			delete(r.longPolls, c)
			p.respond(answer)
		}
	}
}

// answerProposal answers the clients that wait for a command that has been applied.
func (r *Replica) answerProposal(a member.Applied) {
	key := proposalKey{a.Command.Session, a.Command.Number}
	for _, p := range r.proposals[key] {
		p.respond(protocol.Answer{Reply: &a.Reply})
	}
	delete(r.proposals, key)
}

// answerRead answers a query after this replica has confirmed that it is still the leader.
func (r *Replica) answerRead(read member.Read) {
	if p := r.reads[read.Number]; p != nil {
		delete(r.reads, read.Number)
		p.respond(r.query(p.request))
	}
}

// redirectAll redirects all waiting clients to the leader. Their commands may have been committed, or may have
// been lost when this replica lost leadership. A command that is sent again with the same number is applied only
// once.
func (r *Replica) redirectAll(text string) {
	answer := protocol.Answer{Fault: protocol.RetryLater, Text: text, Leader: r.nameOf(r.leader)}
	for key, list := range r.proposals {
		delete(r.proposals, key)
		for _, p := range list {
			p.respond(answer)
		}
	}
	for number, p := range r.reads {
		delete(r.reads, number)
		p.respond(answer)
	}
	for c, p := range r.longPolls {
		delete(r.longPolls, c)
		p.respond(answer)
	}
}

// expireRequests drops requests whose clients no longer wait, and ends long polls whose answer has not changed.
func (r *Replica) expireRequests() {
	for number, p := range r.reads {
		if r.expired(p) {
			delete(r.reads, number)
		}
	}
	for c, p := range r.longPolls {
		if r.expired(p) {
			delete(r.longPolls, c)
			p.respond(protocol.Answer{Fault: protocol.RetryLater, Text: "there is nothing new"})
		}
	}
	for key, list := range r.proposals {
		list = slices.DeleteFunc(list, r.expired)
		if r.proposals[key] = list; len(list) == 0 {
			delete(r.proposals, key)
		}
	}
}

// failure returns the answer to a failed request. It names the leader, and its fault tells whether to retry.
func (r *Replica) failure(err error) protocol.Answer {
	a := protocol.Answer{Fault: protocol.Rejected, Text: err.Error(), Leader: r.nameOf(r.leader)}
	switch {
	case errors.Is(err, member.ErrNotLeader) && r.member.Leader() == 0:
		a.Fault = protocol.NoLeader
	case errors.Is(err, member.ErrNotLeader):
		a.Fault = protocol.NotLeader
	case errors.Is(err, member.ErrBacklog), errors.Is(err, member.ErrBusy):
		a.Fault = protocol.RetryLater
	}
	return a
}

// encode encodes a value of a type whose encoding cannot fail.
func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
