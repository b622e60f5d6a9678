package statemachine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// TestReadsAndWritesTheFormsOfTheFirstRelease guards against a release that cannot read what the previous release
// wrote, or that writes what the previous release cannot read while that one is still in the fleet. testdata
// contains entries of the first release and the image that it created from them.
func TestReadsAndWritesTheFormsOfTheFirstRelease(t *testing.T) {
	image, err := os.ReadFile("testdata/image-1.json")
	require.NoError(t, err)
	text, err := os.ReadFile("testdata/entries-1.jsonl")
	require.NoError(t, err)
	founders := []Member{{ID: 11, Name: "k0", Address: "h0:1"}, {ID: 12, Name: "k1", Address: "h1:1"}, {ID: 13, Name: "k2", Address: "h2:1"}}
	replay := func(m *Machine) {
		for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
			_, r, err := m.Apply(m.Index()+1, lines.Bytes())
			require.NoError(t, err)
			require.NotEqual(t, Invalid, r.Code, r.Text)
		}
	}
	m := Bootstrap(founders, 1e6)
	replay(m)
	assert.Equal(t, Conflict, apply(t, m, Command{Component: ComponentMembers, Body: encode(Raise{Raise: 2})}).Code)
	assert.Equal(t, 1, m.Members().WritableVersion())
	m = Bootstrap(founders, 1e6)
	m.members.raisedVersion = 0 // as the first release bootstraps it
	replay(m)
	assert.Equal(t, string(image), frozen(t, m))
	other := New()
	require.NoError(t, other.Restore(image))
	assert.Equal(t, string(image), frozen(t, other))
	for _, id := range []uint64{11, 12, 13} {
		assert.Equal(t, 1, other.Members().WritableVersion())
		apply(t, other, Command{Component: ComponentMembers, Body: encode(Started{ID: id, Starts: 1, ReadsVersion: 2})})
	}
	assert.Equal(t, 1, other.Members().WritableVersion(), "one of them may be downgraded")
	assert.Equal(t, string(image[:12]), frozen(t, other)[:12])
	apply(t, other, Command{Component: ComponentMembers, Body: encode(Raise{Raise: 2})})
	assert.Equal(t, 2, other.Members().WritableVersion())
	compact := frozen(t, other)
	assert.Contains(t, compact, `"version":2`)
	third := New()
	require.NoError(t, third.Restore([]byte(compact)))
	assert.Equal(t, compact, frozen(t, third))
	for cut := range len(compact) {
		if New().Restore([]byte(compact[:cut])) == nil {
			assert.Fail(t, "a truncated image was restored", "at byte %d of %d", cut, len(compact))
		}
	}
	apply(t, other, Command{Component: ComponentMembers, Body: encode(Started{ID: 12, Starts: 2})}) // as the first release proposes it
	assert.Equal(t, string(image[:12]), frozen(t, other)[:12], "the image has the form of the first release again")
}

// TestCommandsHaveTheLowestVersionThatExpressesThem guards against a command that only this release can read but
// that is marked as readable by the first, and against a command that is marked with a later version than
// necessary.
func TestCommandsHaveTheLowestVersionThatExpressesThem(t *testing.T) {
	for want, commands := range map[int][]Command{
		1: {{Component: ComponentRegister}, {Component: ComponentCalls, Body: encode(ProcessStartCommand(ProcessStart{Node: "before", Incarnation: 1}))}, {Component: ComponentPolicy}},
		2: {{Component: ComponentQuotaLeases, Body: encode(QuotaLeaseCommand{Report: &lease.Report{}})}, {Component: ComponentCalls, Body: encode(ProcessStartCommand(ProcessStart{Incarnation: 2, Predecessor: 1}))}},
	} {
		for _, c := range commands {
			assert.Equal(t, want, VersionOf(c.Component, c.Body), string(c.Body))
		}
	}
	text, err := json.Marshal(Command{Version: Version + 1})
	require.NoError(t, err)
	_, _, err = New().Apply(1, text)
	assert.ErrorIs(t, err, ErrVersion)
}
