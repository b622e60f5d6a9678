package node

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/statedir"
)

// Guards against unusable state of another node being accepted: of another form, zone or clock, too old, or of a
// node that has learned nothing; and against operators' orders, quotas and idempotency keys being passed on with
// the learned state.
func TestDecodePeerKnowledge(t *testing.T) {
	s, n := startNode(t, Extras{}, 1024, []string{"h1"})
	s.Run(begin("h1"))
	o := operators{n}
	first, err := o.Knowledge()
	require.NoError(t, err)
	_, err = DecodePeerKnowledge(first, "x:1", n.conf, n.clock.Now(), 1e4)
	require.ErrorContains(t, err, "it has observed no answers")
	s.Run(`
		a send POST /pay/1 id=q deadline=900
		r expect POST /pay/1 id=q
		r send 200 body=ok
		a expect 200 body=ok`)
	require.NoError(t, o.Suspend("h1"))
	require.NoError(t, o.Drain())
	text, err := o.Knowledge()
	require.NoError(t, err)
	at := n.clock.Now()
	l, err := DecodePeerKnowledge(text, "x:1", n.conf, at, 1e4)
	require.NoError(t, err)
	assert.Positive(t, l.Dispatcher.Module.Responses)
	assert.Nil(t, l.Drained)
	assert.Empty(t, l.Bans.Cordoned)
	assert.Zero(t, l.Life)
	assert.Empty(t, l.Dispatcher.Module.TenantTokens)

	state, err := statedir.Decode(text)
	require.NoError(t, err)
	with := func(knowledge string) []byte {
		other := state
		other.Knowledge = json.RawMessage(knowledge)
		text, err := statedir.Encode(other)
		require.NoError(t, err)
		return text
	}
	conf := *n.conf
	conf.Settings.Zones = []string{"y"}
	for _, bad := range []struct {
		text        []byte
		now, useFor float64
		conf        *Config
		want        string
	}{
		{text[:len(text)-1], at, 1e4, n.conf, "it is torn"},
		{[]byte("<html>"), at, 1e4, n.conf, "it is not a state of a node"},
		{with(`[]`), at, 1e4, n.conf, "decoding knowledge"},
		{with(`{}`), at, 1e4, n.conf, `it comes from zone ""`},
		{text, at, 1e4, &conf, `it comes from zone "z"`},
		{text, at - 5001, 1e4, n.conf, "its clock is 5001 ms ahead"},
		{text, at + 5001, 1e4, n.conf, "its clock is -5001 ms ahead"},
		{text, at + 4000, 3000, n.conf, "its last observed answer is "},
	} {
		_, err := DecodePeerKnowledge(bad.text, "x:1", bad.conf, bad.now, bad.useFor)
		assert.ErrorContains(t, err, bad.want)
	}
}
