package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against the state of one host being restored to another whose name has the same hash, against a drain whose time starts
// again, and against a snapshot that is restored in part.
func TestRecallRestoresHostsByName(t *testing.T) {
	a, b := "s-1122789", "s-1339192"
	require.Equal(t, (&Dispatcher{}).newID(a), (&Dispatcher{}).newID(b))
	p, c, _ := newTestDispatcher(t, Host{Name: a, Address: "a:1"}, Host{Name: b, Address: "a:2"}, Host{Name: "d", Address: "a:3"})
	for range 30 { // a is dead, b serves
		q := open(p)
		for v := q.Next(); v.Kind == Send; v = q.Next() {
			c.Advance(5)
			q.Report(v.AttemptIndex, map[bool]Outcome{true: ConnectFailed, false: Served}[v.Host == a], nil)
		}
	}
	p.SetHosts(Delta, []Host{{Name: "d", Zone: "z", Kind: "k", Status: Draining}})
	m := p.Snapshot()
	text, err := json.Marshal(m)
	require.NoError(t, err)
	ejected := func(p *Dispatcher) map[string]bool {
		is := map[string]bool{}
		for _, h := range p.View().Hosts {
			is[h.Name] = h.Module.Away
		}
		return is
	}
	require.Equal(t, map[string]bool{a: true, b: false, "d": false}, ejected(p))

	successor, c2, _ := newTestDispatcher(t)
	c2.Advance(c.Now() - epoch + 520)
	var got Snapshot
	require.NoError(t, json.Unmarshal(text, &got))
	list := got.KnownHosts()
	successor.SetHosts(Stored, []Host{list[2], list[1], list[0]})
	require.NoError(t, successor.Restore(got))
	assert.Equal(t, ejected(p), ejected(successor))
	q := open(successor)
	require.Equal(t, b, q.Next().Host)
	successor.update(func(float64) { actions{successor}.Send(q.id, successor.hostIDs["d"], 0) })
	assert.Empty(t, q.queue, "the drain was told longer ago than the rule allows")
	q.Report(0, Served, nil)

	got.Module.Part = 7
	before := successor.Snapshot()
	require.ErrorContains(t, successor.Restore(got), "part is 7")
	assert.Equal(t, before, successor.Snapshot())
}
