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

// Guards against a keeper that is told for good to stay away because an earlier connection of its own came late, and against an
// older copy, a stranger, a wrong name or another fleet that is let in.
func TestWhoIsWelcome(t *testing.T) {
	set := fleet(t, 3, 1500, nil) // nobody else comes to lead meanwhile, even on a starved machine
	c := client.New(set)
	defer c.Close()
	for range 20 {
		_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
		require.NoError(t, err)
	}
	var lead, other *protocol.State
	for lead == nil || other == nil { // none may lead at the moment
		lead, other = nil, nil
		for _, k := range set.Replicas {
			a, err := client.Call(t.Context(), set, k, protocol.Request{Want: protocol.Status})
			require.NoError(t, err)
			if a.State.Role == "leader" {
				lead = a.State
			} else {
				other = a.State
			}
		}
	}
	address := ""
	for _, k := range set.Replicas {
		if k.Name == lead.Name {
			address = k.Address
		}
	}
	as := func(change func(*transport.Hello)) (transport.Welcome, error) {
		h := transport.Hello{Fleet: "f", Name: other.Name, ID: other.ID, Starts: other.Starts + 1, Life: 9, Dial: 1 << 40, Last: 1 << 40, Applied: 1 << 40}
		change(&h)
		conn, w, err := transport.Dial(address, h, set.AttemptTimeout)
		if err == nil {
			require.NoError(t, conn.Close())
		}
		return w, err
	}
	for _, x := range []struct {
		what   string
		change func(*transport.Hello)
		ok     bool
		final  bool
	}{
		{"itself", func(*transport.Hello) {}, true, false},
		{"an earlier connection that comes late", func(h *transport.Hello) { h.Dial, h.Last = 1, 0 }, false, false},
		{"an older copy by its entries", func(h *transport.Hello) { h.Dial++; h.Last = 3 }, false, true},
		{"an older copy that has come to the same start", func(h *transport.Hello) { h.Life = 8 }, false, true},
		{"an older copy by its starts", func(h *transport.Hello) { h.Starts = 0 }, false, true},
		{"another fleet", func(h *transport.Hello) { h.Fleet = "g" }, false, true},
		{"a stranger", func(h *transport.Hello) { h.ID, h.Applied = 77, 0 }, false, false},
		{"a member under another name", func(h *transport.Hello) { h.Name = "x" }, false, false},
		{"one that wants another number under this address", func(h *transport.Hello) { h.Want, h.Last = 5, 0 }, false, false},
		{"one that wants another", func(h *transport.Hello) { h.To = "x" }, false, false},
	} {
		w, err := as(x.change)
		assert.Equal(t, x.ok, err == nil, "%s: %v", x.what, err)
		assert.Equal(t, x.final, w.Final, x.what)
	}
	gone := statemachine.Member{ID: other.ID, Name: other.Name, Address: "nowhere:1"}
	require.NoError(t, c.Change(t.Context(), protocol.Remove, gone))
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "c"}) // agreed after it, so that the leader has applied it
	require.NoError(t, err)
	w, err := as(func(h *transport.Hello) { h.Dial++ })
	require.ErrorContains(t, err, "it was taken out or replaced")
	assert.True(t, w.Final)
	assert.ErrorContains(t, c.Change(t.Context(), protocol.Learn, gone), "was taken out")
}

// Guards against a client whose session was pushed out by those of others, and that goes on with it: nothing that it asks would be
// applied any more.
func TestSessionPushedOut(t *testing.T) {
	set := fleet(t, 1, 1500, nil)
	c := client.New(set)
	defer c.Close()
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	var wait sync.WaitGroup
	for i := range 16 {
		wait.Go(func() {
			for j := range statemachine.MaxSessions / 16 {
				open := protocol.Request{Want: protocol.Do, Number: uint64(1 + i*1000 + j), Body: []byte(`{"name":"another"}`)}
				for t.Context().Err() == nil {
					if _, err := client.Call(t.Context(), set, set.Replicas[0], open); err == nil {
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

// asker is a connection of a client whose requests come in the order in which they are asked.
type asker struct {
	t    *testing.T
	raw  *transport.Conn
	last uint64
}

func connect(t *testing.T, set client.Config, to client.Replica) *asker {
	raw, _, err := transport.Dial(to.Address, transport.Hello{Fleet: set.Fleet, Name: set.Name, To: to.Name}, time.Minute)
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return &asker{t: t, raw: raw}
}

func (a *asker) ask(r protocol.Request) uint64 {
	a.last++
	r.ID = a.last
	require.NoError(a.t, a.raw.Write(transport.KindRequest, encode(r), time.Minute))
	return a.last
}

func (a *asker) wait(known rollout.Progress) uint64 {
	return a.ask(protocol.Request{Want: protocol.Wait, Part: statemachine.ComponentPolicy, Body: encode(statemachine.PolicyQuestion{News: true}), Known: encode(known)})
}

func (a *asker) hear() (said protocol.Answer) {
	_, text, err := a.raw.Read()
	require.NoError(a.t, err)
	require.NoError(a.t, json.Unmarshal(text, &said))
	return said
}

// Guards against a hint that does not come once the answer is another; a wait that costs an entry, or is answered though there is nothing
// new; more than one of them on a connection; and a client that is not told what it waits for.
func TestWait(t *testing.T) {
	set := fleet(t, 1, 1500, nil)
	c := client.New(set)
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	wait := func(ctx context.Context, known rollout.Progress) (n rollout.Progress, err error) {
		reply, err := c.Wait(ctx, statemachine.ComponentPolicy, statemachine.PolicyQuestion{News: true}, known)
		if err == nil {
			require.NoError(t, json.Unmarshal(reply.Body, &n))
		}
		return n, err
	}
	_, err := wait(ctx, rollout.Progress{})
	require.ErrorContains(t, err, "no connection")
	propose := func(number uint64) rollout.Progress { // nobody has to look at it: it holds at once
		p := rollout.Proposal{ID: fmt.Sprint(number), Text: fmt.Sprint(number), Base: number - 1, By: "test"}
		_, err := c.Do(ctx, statemachine.ComponentPolicy, statemachine.PolicyCommand{Propose: &p})
		require.NoError(t, err)
		return rollout.Progress{Number: number, Hash: rollout.Hash(p.Text)}
	}
	first := propose(1)
	now, err := wait(ctx, rollout.Progress{})
	require.NoError(t, err)
	assert.Equal(t, first, now, "it is another at once")

	one := connect(t, set, set.Replicas[0])
	one.ask(protocol.Request{Want: protocol.Status})
	before, last := one.hear().State.Committed, one.wait(first)
	for range 100 {
		earlier := last
		last = one.wait(first)
		said := one.hear()
		require.Equal(t, earlier, said.ID)
		require.Equal(t, protocol.Later, said.Fault)
	}
	one.ask(protocol.Request{Want: protocol.Status})
	assert.Less(t, one.hear().State.Committed, before+50, "they cost no entries")
	second := propose(2)
	said := one.hear()
	assert.Equal(t, last, said.ID)
	require.NotNil(t, said.Reply)
	assert.JSONEq(t, string(encode(second)), string(said.Reply.Body))

	gone, over := context.WithCancel(ctx)
	over()
	_, err = wait(gone, second)
	require.Error(t, err)
	propose(3) // on the same connection
}

// Guards against who waits in vain at a keeper that does not lead, or not any more.
func TestWaitWhereNobodyLeads(t *testing.T) {
	set := fleet(t, 3, 1500, nil)
	c := client.New(set)
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	_, err := c.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	elsewhere, lost := 0, false
	for !lost {
		for _, k := range set.Replicas {
			one := connect(t, set, k)
			one.ask(protocol.Request{Want: protocol.Status})
			state := one.hear().State
			waits := one.wait(rollout.Progress{})
			status := one.ask(protocol.Request{Want: protocol.Status})
			said := one.hear()
			if said.ID == waits { // it does not lead
				require.Contains(t, []string{protocol.Elsewhere, protocol.Nobody, protocol.Later}, said.Fault)
				elsewhere++
				continue
			}
			require.Equal(t, status, said.ID)
			if lost {
				continue
			}
			require.NoError(t, c.Change(ctx, protocol.Remove, statemachine.Member{ID: state.ID, Name: state.Name}))
			said = one.hear()
			require.Equal(t, waits, said.ID)
			assert.Equal(t, protocol.Later, said.Fault)
			assert.Contains(t, said.Text, "lead")
			lost = true
		}
	}
	assert.Positive(t, elsewhere)
}
