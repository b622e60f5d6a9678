package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// TestAdmitsOnlyTheMembersOfTheFleet guards against a member that is rejected permanently because an earlier
// connection of its own arrives late, and against accepting an older copy of a directory, a non-member, a wrong
// name or another fleet.
func TestAdmitsOnlyTheMembersOfTheFleet(t *testing.T) {
	config := startFleet(t, 3, 1500, nil) // long enough that no other member becomes leader meanwhile, even on an overloaded machine
	c := client.New(config)
	defer c.Close()
	for range 20 {
		_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
		require.NoError(t, err)
	}
	var lead, other *protocol.State
	for lead == nil || other == nil { // there may be no leader at the moment
		lead, other = nil, nil
		for _, to := range config.Replicas {
			a, err := client.Call(t.Context(), config, to, protocol.Request{Kind: protocol.Status})
			require.NoError(t, err)
			if a.State.Role == "leader" {
				lead = a.State
			} else {
				other = a.State
			}
		}
	}
	address := ""
	for _, to := range config.Replicas {
		if to.Name == lead.Name {
			address = to.Address
		}
	}
	as := func(change func(*transport.Hello)) (transport.Welcome, error) {
		h := transport.Hello{Fleet: "f", Name: other.Name, ID: other.ID, Starts: other.Starts + 1, Incarnation: 9, Connection: 1 << 40, Last: 1 << 40, Applied: 1 << 40}
		change(&h)
		conn, w, err := transport.Dial(address, h, config.AttemptTimeout)
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
		{"an earlier connection that arrives late", func(h *transport.Hello) { h.Connection, h.Last = 1, 0 }, false, false},
		{"an older copy by its entries", func(h *transport.Hello) { h.Connection++; h.Last = 3 }, false, true},
		{"an older copy with the same number of starts", func(h *transport.Hello) { h.Incarnation = 8 }, false, true},
		{"an older copy by its number of starts", func(h *transport.Hello) { h.Starts = 0 }, false, true},
		{"another fleet", func(h *transport.Hello) { h.Fleet = "g" }, false, true},
		{"a non-member", func(h *transport.Hello) { h.ID, h.Applied = 77, 0 }, false, false},
		{"a member under another name", func(h *transport.Hello) { h.Name = "x" }, false, false},
		{"a member that expects another ID at this address", func(h *transport.Hello) { h.WantID, h.Last = 5, 0 }, false, false},
		{"a member that expects another name", func(h *transport.Hello) { h.To = "x" }, false, false},
	} {
		w, err := as(x.change)
		assert.Equal(t, x.ok, err == nil, "%s: %v", x.what, err)
		assert.Equal(t, x.final, w.Final, x.what)
	}
	removed := statemachine.Member{ID: other.ID, Name: other.Name, Address: "nowhere:1"}
	require.NoError(t, c.Change(t.Context(), protocol.Remove, removed))
	// This command is committed after the removal, so that the leader has then applied the removal.
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "c"})
	require.NoError(t, err)
	w, err := as(func(h *transport.Hello) { h.Connection++ })
	require.ErrorContains(t, err, "it was taken out or replaced")
	assert.True(t, w.Final)
	assert.ErrorContains(t, c.Change(t.Context(), protocol.AddLearner, removed), "was taken out")
}
