package client

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// session numbers commands so that each is applied once, at most statemachine.Window in flight.
type session struct {
	id uint64

	mu        sync.Mutex // guards what follows
	freed     *sync.Cond // a number was confirmed, or the session abandoned
	last      uint64     // number given out last
	done      uint64     // all numbers up to this one are confirmed
	confirmed map[uint64]bool
	abandoned bool // the fate of a command is unknown: its number stays in flight, so that no more can be given out
}

// nextNumber returns the number of the next command, and waits while Window are in flight. It fails once the session is abandoned.
func (s *session) nextNumber() (number uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.abandoned && s.last >= s.done+statemachine.Window {
		s.freed.Wait()
	}
	if s.abandoned {
		return 0, false
	}
	s.last++
	return s.last, true
}

// confirm records that the reply to a command has come.
func (s *session) confirm(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed[number] = true
	for s.confirmed[s.done+1] {
		s.done++
		delete(s.confirmed, s.done)
	}
	s.freed.Broadcast()
}

// confirmedUpTo returns the number up to which the state machine may forget replies.
func (s *session) confirmedUpTo() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

func (s *session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	s.freed.Broadcast()
}

func (s *session) isAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// openSession returns the session, a new one where there is none or it was abandoned.
func (c *Client) openSession(ctx context.Context) (*session, error) {
	c.opening.Lock()
	defer c.opening.Unlock()
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s != nil && !s.isAbandoned() {
		return s, nil
	}
	body, err := json.Marshal(statemachine.Opening{Name: c.config.Name})
	if err != nil {
		return nil, err
	}
	a, _, err := c.call(ctx, func() protocol.Request {
		return protocol.Request{Want: protocol.Do, Number: rand.Uint64()>>1 | 1, Body: body}
	})
	if err != nil { // should it be opened all the same: a session that nobody uses does no harm
		return nil, notApplied(err)
	}
	if a.Reply.Code != statemachine.OK {
		return nil, fmt.Errorf("%w: %s", ErrRefused, a.Reply.Text)
	}
	s = &session{id: a.Reply.Index, confirmed: map[uint64]bool{}}
	s.freed = sync.NewCond(&s.mu)
	c.mu.Lock()
	c.session = s
	c.mu.Unlock()
	return s, nil
}
