package client

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// waitLimit is the time after which a hanging test fails.
const waitLimit = time.Minute

// doUntilCancelled sends a command whose context has ended, and returns the error.
func doUntilCancelled(t *testing.T, c *Client) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, statemachine.ComponentCalls, statemachine.Lookup{})
		ended <- err
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(waitLimit):
		require.Fail(t, "the command continues after its context has ended")
		return nil
	}
}

// TestCommandWaitsForAFreeNumberOnlyAsLongAsItsContext guards against a command that waits for other commands in
// flight after the context of its caller has ended.
func TestCommandWaitsForAFreeNumberOnlyAsLongAsItsContext(t *testing.T) {
	c := New(Config{})
	c.session = newSession(1)
	for range statemachine.Window {
		_, err := c.session.nextNumber(t.Context())
		require.NoError(t, err)
	}
	err := doUntilCancelled(t, c)
	require.ErrorIs(t, err, ErrNoQuorum, "the command was certainly not applied")
	require.ErrorIs(t, err, errWindowFull)

	c.session.confirm(1)
	number, err := c.session.nextNumber(t.Context())
	require.NoError(t, err, "the cancelled command has used no number")
	require.EqualValues(t, statemachine.Window+1, number)
}

// TestCommandWaitsForASessionOnlyAsLongAsItsContext guards against a command that, after the context of its caller
// has ended, waits for another command that is opening the session on a replica that does not answer.
func TestCommandWaitsForASessionOnlyAsLongAsItsContext(t *testing.T) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listen.Close() }()
	requested := make(chan struct{})
	go func() {
		raw, err := listen.Accept()
		if err != nil {
			return
		}
		conn := transport.NewConn(raw)
		if _, err := conn.Accept("f", func(transport.Hello) transport.Welcome { return transport.Welcome{Name: "k0", ID: 1} }); err == nil {
			_, _, _ = conn.Read() // the request that opens a session; it is never answered
			close(requested)
		}
	}()
	c := New(Config{Fleet: "f", Replicas: []Replica{{Name: "k0", Address: listen.Addr().String()}}, AttemptTimeout: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, statemachine.ComponentCalls, statemachine.Lookup{})
		first <- err
	}()
	<-requested
	err = doUntilCancelled(t, c)
	require.ErrorIs(t, err, ErrNoQuorum)
	require.ErrorIs(t, err, errOpening)
	cancel()
	require.Error(t, <-first)
}

// TestWaitingCommandLearnsThatItsSessionWasAbandoned guards against a command that waits for a free number of an
// abandoned session.
func TestWaitingCommandLearnsThatItsSessionWasAbandoned(t *testing.T) {
	s := newSession(1)
	for range statemachine.Window {
		_, err := s.nextNumber(t.Context())
		require.NoError(t, err)
	}
	_, freed, err := s.tryNextNumber()
	require.NoError(t, err)
	s.abandon()
	<-freed
	s.confirm(1) // a late reply
	s.abandon()
	_, err = s.nextNumber(t.Context())
	require.ErrorIs(t, err, errAbandoned)
}
