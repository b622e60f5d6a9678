package transport

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a message of whose fate nobody hears since its sender was closed: a leader that waits to hear of an image sends its
// member nothing else.
func TestFateIsTold(t *testing.T) {
	dialled, fates := make(chan struct{}), make(chan bool, 3)
	hold := make(chan struct{})
	s := NewSender(Limits{Bytes: 1 << 20, Write: time.Second, FirstPause: time.Hour, LastPause: time.Hour},
		func() (*Conn, error) { close(dialled); <-hold; return nil, errors.New("nobody is there") }, func() {}, func(error) {})
	told := func(ok bool) { fates <- ok }
	<-dialled
	s.Send(KindRaft, []byte("while it connects"), told)
	close(hold)
	assert.False(t, <-fates)
	s.Send(KindRaft, []byte("in the pause"), told)
	s.Close()
	assert.False(t, <-fates)
	s.Send(KindRaft, []byte("after the end"), told)
	assert.False(t, <-fates)
}

// Guards against a sender that waits out a long pause although its peer has been heard of.
func TestAgain(t *testing.T) {
	dialled := make(chan struct{})
	s := NewSender(Limits{Bytes: 1 << 20, Write: time.Second, FirstPause: time.Hour, LastPause: time.Hour},
		func() (*Conn, error) { dialled <- struct{}{}; return nil, errors.New("nobody is there") }, func() {}, func(error) {})
	defer s.Close()
	for range 3 {
		<-dialled
		s.Retry()
	}
}
