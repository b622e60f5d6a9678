package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against the state of one host being restored to another host whose name has the same hash, against a
// drain whose time starts again, and against a snapshot that is restored only in part.
func TestRestoreMatchesHostsByName(t *testing.T) {
	a, b := "s-1122789", "s-1339192"
	require.Equal(t, (&Dispatcher{}).newID(a), (&Dispatcher{}).newID(b))
	d, c, _ := newTestDispatcher(t, Host{Name: a, Address: "a:1"}, Host{Name: b, Address: "a:2"}, Host{Name: "d", Address: "a:3"})
	for range 30 { // a is dead, b serves
		ticket := open(d)
		for action := ticket.Next(); action.Kind == Send; action = ticket.Next() {
			c.Advance(5)
			ticket.Report(action.AttemptIndex, map[bool]Outcome{true: ConnectFailed, false: Served}[action.Host == a], nil)
		}
	}
	d.SetHosts(Delta, []Host{{Name: "d", Zone: "z", Kind: "k", Status: Draining}})
	m := d.Snapshot()
	text, err := json.Marshal(m)
	require.NoError(t, err)
	ejected := func(d *Dispatcher) map[string]bool {
		is := map[string]bool{}
		for _, h := range d.View().Hosts {
			is[h.Name] = h.Module.Ejected
		}
		return is
	}
	require.Equal(t, map[string]bool{a: true, b: false, "d": false}, ejected(d))

	successor, c2, _ := newTestDispatcher(t)
	c2.Advance(c.Now() - epoch + 520)
	var got Snapshot
	require.NoError(t, json.Unmarshal(text, &got))
	list := got.KnownHosts()
	successor.SetHosts(Stored, []Host{list[2], list[1], list[0]})
	require.NoError(t, successor.Restore(got))
	assert.Equal(t, ejected(d), ejected(successor))
	ticket := open(successor)
	require.Equal(t, b, ticket.Next().Host)
	successor.update(func(float64) { actions{successor}.Send(ticket.id, successor.hostIDs["d"], 0) })
	assert.Empty(t, ticket.queue, "the drain began longer ago than the grace period")
	ticket.Report(0, Served, nil)

	got.Module.SubsetFraction = 7
	before := successor.Snapshot()
	require.ErrorContains(t, successor.Restore(got), "part is 7")
	assert.Equal(t, before, successor.Snapshot())
}
