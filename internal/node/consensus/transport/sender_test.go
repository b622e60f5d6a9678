package transport

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSenderReportsEveryDroppedMessage guards against a message whose outcome is never reported because the sender
// was closed: a leader that waits for the outcome of an image sends nothing else to that member.
func TestSenderReportsEveryDroppedMessage(t *testing.T) {
	dialled, outcomes := make(chan struct{}), make(chan bool, 3)
	hold := make(chan struct{})
	s := NewSender(Limits{Bytes: 1 << 20, Write: time.Second, FirstPause: time.Hour, LastPause: time.Hour},
		func() (*Conn, error) { close(dialled); <-hold; return nil, errors.New("connection refused") }, func() {}, func(error) {})
	sent := func(ok bool) { outcomes <- ok }
	<-dialled
	s.Send(KindRaft, []byte("while it connects"), sent)
	close(hold)
	assert.False(t, <-outcomes)
	s.Send(KindRaft, []byte("in the pause"), sent)
	s.Close()
	assert.False(t, <-outcomes)
	s.Send(KindRaft, []byte("after Close"), sent)
	assert.False(t, <-outcomes)
}

// TestRetryEndsThePause guards against a sender that waits for the end of a long pause although its peer is known
// to be reachable.
func TestRetryEndsThePause(*testing.T) {
	dialled := make(chan struct{})
	s := NewSender(Limits{Bytes: 1 << 20, Write: time.Second, FirstPause: time.Hour, LastPause: time.Hour},
		func() (*Conn, error) { dialled <- struct{}{}; return nil, errors.New("connection refused") }, func() {}, func(error) {})
	defer s.Close()
	for range 3 {
		<-dialled
		s.Retry()
	}
}
