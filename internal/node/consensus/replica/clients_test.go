package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// TestClientReplacesAnEvictedSession guards against a client that continues to use a session that was evicted by
// those of other clients: none of its commands would be applied any more.
func TestClientReplacesAnEvictedSession(t *testing.T) {
	config := startFleet(t, 1, 1500, nil)
	c := client.New(config)
	defer c.Close()
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	var wait sync.WaitGroup
	for i := range 16 {
		wait.Go(func() {
			for j := range statemachine.MaxSessions / 16 {
				open := protocol.Request{Kind: protocol.Do, Number: uint64(1 + i*1000 + j), Body: []byte(`{"name":"another"}`)}
				for t.Context().Err() == nil {
					if _, err := client.Call(t.Context(), config, config.Replicas[0], open); err == nil {
						break
					}
				}
			}
		})
	}
	wait.Wait()
	r, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "c"})
	require.NoError(t, err)
	assert.Equal(t, statemachine.OK, r.Code, r.Text)
}

// rawClient is a client connection on which requests arrive in the order in which they are sent.
type rawClient struct {
	t    *testing.T
	raw  *transport.Conn
	last uint64
}

func connect(t *testing.T, config client.Config, to client.Replica) *rawClient {
	raw, _, err := transport.Dial(to.Address, transport.Hello{Fleet: config.Fleet, Name: config.Name, To: to.Name}, time.Minute)
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return &rawClient{t: t, raw: raw}
}

func (c *rawClient) send(r protocol.Request) uint64 {
	c.last++
	r.ID = c.last
	require.NoError(c.t, c.raw.Write(transport.KindRequest, encode(r), time.Minute))
	return c.last
}

func (c *rawClient) longPoll(known rollout.Progress) uint64 {
	return c.send(protocol.Request{Kind: protocol.LongPoll, Component: statemachine.ComponentPolicy, Body: encode(statemachine.PolicyQuestion{Progress: true}), Known: encode(known)})
}

func (c *rawClient) receive() (answer protocol.Answer) {
	_, text, err := c.raw.Read()
	require.NoError(c.t, err)
	require.NoError(c.t, json.Unmarshal(text, &answer))
	return answer
}

// TestLongPollAnswersOnceTheAnswerChanges guards against a long poll that is not answered when the answer has
// changed, is answered without a change, or creates a log entry; against more than one long poll on a connection;
// and against a client that does not receive the answer.
func TestLongPollAnswersOnceTheAnswerChanges(t *testing.T) {
	config := startFleet(t, 1, 1500, nil)
	c := client.New(config)
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	wait := func(ctx context.Context, known rollout.Progress) (n rollout.Progress, err error) {
		reply, err := c.Wait(ctx, statemachine.ComponentPolicy, statemachine.PolicyQuestion{Progress: true}, known)
		if err == nil {
			require.NoError(t, json.Unmarshal(reply.Body, &n))
		}
		return n, err
	}
	_, err := wait(ctx, rollout.Progress{})
	require.ErrorContains(t, err, "no connection")
	propose := func(number uint64) rollout.Progress { // there is no node that has to validate it, so it is activated at once
		p := rollout.Proposal{ID: fmt.Sprint(number), Text: fmt.Sprint(number), Base: number - 1, By: "test"}
		_, err := c.Do(ctx, statemachine.ComponentPolicy, statemachine.PolicyCommand{Propose: &p})
		require.NoError(t, err)
		return rollout.Progress{Number: number, Hash: rollout.Hash(p.Text)}
	}
	first := propose(1)
	now, err := wait(ctx, rollout.Progress{})
	require.NoError(t, err)
	assert.Equal(t, first, now, "the answer differs from the beginning")

	one := connect(t, config, config.Replicas[0])
	one.send(protocol.Request{Kind: protocol.Status})
	before, last := one.receive().State.Committed, one.longPoll(first)
	for range 100 {
		earlier := last
		last = one.longPoll(first)
		answer := one.receive()
		require.Equal(t, earlier, answer.ID)
		require.Equal(t, protocol.RetryLater, answer.Fault)
	}
	one.send(protocol.Request{Kind: protocol.Status})
	assert.Less(t, one.receive().State.Committed, before+50, "long polls create no log entries")
	second := propose(2)
	answer := one.receive()
	assert.Equal(t, last, answer.ID)
	require.NotNil(t, answer.Reply)
	assert.JSONEq(t, string(encode(second)), string(answer.Reply.Body))

	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = wait(cancelled, second)
	require.Error(t, err)
	propose(3) // on the same connection
}

// TestLongPollEndsWhereThereIsNoLeader guards against a client whose long poll waits on a replica that is not, or
// no longer, the leader.
func TestLongPollEndsWhereThereIsNoLeader(t *testing.T) {
	config := startFleet(t, 3, 1500, nil)
	c := client.New(config)
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	_, err := c.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	elsewhere, lost := 0, false
	for !lost {
		for _, to := range config.Replicas {
			one := connect(t, config, to)
			one.send(protocol.Request{Kind: protocol.Status})
			state := one.receive().State
			waits := one.longPoll(rollout.Progress{})
			status := one.send(protocol.Request{Kind: protocol.Status})
			answer := one.receive()
			if answer.ID == waits { // the replica is not the leader
				require.Contains(t, []string{protocol.NotLeader, protocol.NoLeader, protocol.RetryLater}, answer.Fault)
				elsewhere++
				continue
			}
			require.Equal(t, status, answer.ID)
			if lost {
				continue
			}
			require.NoError(t, c.Change(ctx, protocol.Remove, statemachine.Member{ID: state.ID, Name: state.Name}))
			answer = one.receive()
			require.Equal(t, waits, answer.ID)
			assert.Equal(t, protocol.RetryLater, answer.Fault)
			assert.Contains(t, answer.Text, "lead")
			lost = true
		}
	}
	assert.Positive(t, elsewhere)
}
