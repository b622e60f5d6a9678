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

// session numbers commands, so that each is applied only once. At most statemachine.Window are in flight.
type session struct {
	id uint64

	mu        sync.Mutex    // guards the fields below
	freed     chan struct{} // closed and replaced when a number is confirmed; closed when the session is abandoned
	last      uint64        // last assigned number
	done      uint64        // all numbers up to and including this one are confirmed
	confirmed map[uint64]bool
	abandoned bool // the outcome of a command is unknown: its number stays in flight, so the session must not be used any more
}

func newSession(id uint64) *session {
	return &session{id: id, freed: make(chan struct{}), confirmed: map[uint64]bool{}}
}

// nextNumber returns the number of the next command. It waits while Window commands are in flight. The error is
// errWindowFull if ctx ends meanwhile, and errAbandoned once the session is abandoned.
func (s *session) nextNumber(ctx context.Context) (uint64, error) {
	for {
		number, freed, err := s.tryNextNumber()
		if freed == nil {
			return number, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return 0, errWindowFull
		}
	}
}

// tryNextNumber is nextNumber without the wait: if no number is free, it returns a channel that is closed once it is
// worth retrying.
func (s *session) tryNextNumber() (number uint64, freed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned {
		return 0, nil, errAbandoned
	}
	if s.last >= s.done+statemachine.Window {
		return 0, s.freed, nil
	}
	s.last++
	return s.last, nil, nil
}

// confirm records that the reply to a command was received.
func (s *session) confirm(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed[number] = true
	for s.confirmed[s.done+1] {
		s.done++
		delete(s.confirmed, s.done)
	}
	if !s.abandoned {
		close(s.freed)
		s.freed = make(chan struct{})
	}
}

// confirmedUpTo returns the number up to which the state machine may drop replies.
func (s *session) confirmedUpTo() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

func (s *session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.abandoned {
		s.abandoned = true
		close(s.freed)
	}
}

func (s *session) isAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// beginOpening waits until no other request is opening a session, or ctx ends. After a nil error the caller must
// receive from c.opening.
func (c *Client) beginOpening(ctx context.Context) error {
	select {
	case c.opening <- struct{}{}: // even if ctx has already ended: most requests find an open session
		return nil
	default:
	}
	select {
	case c.opening <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errOpening
	}
}

// openSession returns the session. It opens a new one if there is none or the current one was abandoned. While
// another request is opening a session, it waits for that request, until ctx ends.
func (c *Client) openSession(ctx context.Context) (*session, error) {
	if err := c.beginOpening(ctx); err != nil {
		return nil, notApplied(err)
	}
	defer func() { <-c.opening }()
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
		return protocol.Request{Kind: protocol.Do, Number: rand.Uint64()>>1 | 1, Body: body}
	})
	if err != nil { // the session may still have been opened; an unused one does no harm
		return nil, notApplied(err)
	}
	if a.Reply.Code != statemachine.OK {
		return nil, fmt.Errorf("%w: %s", ErrRefused, a.Reply.Text)
	}
	s = newSession(a.Reply.Index)
	c.mu.Lock()
	c.session = s
	c.mu.Unlock()
	return s, nil
}
