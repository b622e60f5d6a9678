package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // makes the random histories reproducible
)

// apply applies a command as the next entry.
func apply(t require.TestingT, m *Machine, c Command) Reply {
	c.Version = Version
	text, err := json.Marshal(c)
	require.NoError(t, err)
	_, r, err := m.Apply(m.Index()+1, text)
	require.NoError(t, err)
	return r
}

func frozen(t require.TestingT, m *Machine) string {
	text, err := m.Freeze()()
	require.NoError(t, err)
	return string(text)
}

// TestRandomHistoriesApplyEachCommandOnce applies commands that arrive once, repeatedly, late and from evicted
// sessions. It guards against a command that is applied twice, time that goes back, unbounded state, and a machine
// that behaves differently after it was restored from its image.
func TestRandomHistoriesApplyEachCommandOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		ids, done, sets := []uint64{}, map[uint64]uint64{}, map[[2]uint64]Reply{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			at := rapid.Float64Range(0, 1e6).Draw(t, "at")
			before := m.Now()
			switch pick := rapid.IntRange(0, 5).Draw(t, "kind"); {
			case pick == 0 || len(ids) == 0:
				ids = append(ids, apply(t, m, Command{At: at, Body: encode(Opening{Name: "n"})}).Index)
			default:
				s := rapid.SampledFrom(ids).Draw(t, "session")
				n := done[s] + 1 + rapid.Uint64Range(0, 2).Draw(t, "ahead")
				if rapid.Bool().Draw(t, "confirm") {
					done[s]++
				}
				set := Set{Name: fmt.Sprint("r", i%3), Value: fmt.Sprint("v", i)}
				r := apply(t, m, Command{At: at, Session: s, Number: n, Confirmed: done[s], Component: ComponentRegister, Body: encode(set)})
				if first, again := sets[[2]uint64{s, n}]; again && r.Code != SessionLost {
					assert.Equal(t, first, r, "a retry gets the reply of the first attempt")
				} else if !again {
					sets[[2]uint64{s, n}] = r
				}
			}
			assert.GreaterOrEqual(t, m.Now(), before)
			for _, s := range m.sessions {
				assert.LessOrEqual(t, len(s.Replies), Window)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				text, other := frozen(t, m), New()
				require.NoError(t, other.Restore([]byte(text)))
				assert.Equal(t, text, frozen(t, other))
				m = other
			}
		}
	})
}

// TestBoundsHold guards against more sessions, names or members than the bounds allow, and against an evicted
// session that is treated as a new one.
func TestBoundsHold(t *testing.T) {
	m := New()
	first := apply(t, m, Command{Body: encode(Opening{Name: "first"})}).Index
	for range MaxSessions {
		apply(t, m, Command{Body: encode(Opening{Name: "more"})})
	}
	assert.Equal(t, MaxSessions, m.Sessions())
	assert.Equal(t, SessionLost, apply(t, m, Command{Session: first, Number: 1, Component: ComponentRegister, Body: encode(Set{Name: "a", Value: "b"})}).Code)
	s := apply(t, m, Command{Body: encode(Opening{Name: "s"})}).Index
	assert.Equal(t, Full, apply(t, m, Command{Session: s, Number: Window + 1, Component: ComponentRegister}).Code)
	for i := range MaxNames {
		r := apply(t, m, Command{Session: s, Number: uint64(i + 1), Confirmed: uint64(i), Component: ComponentRegister,
			Body: encode(Set{Name: fmt.Sprint(i), Value: "x"})})
		require.Equal(t, OK, r.Code, r.Text)
	}
	n := uint64(MaxNames)
	for _, c := range []struct {
		set  Set
		want Code
	}{{Set{Name: "new", Value: "x"}, Full}, {Set{Name: "1", Value: ""}, OK}, {Set{Name: "new", Value: "x"}, OK},
		{Set{Name: "", Value: "x"}, Invalid}, {Set{Name: "new", Value: "y", ExpectedNumber: new(uint64(3))}, Conflict}} {
		n++
		assert.Equal(t, c.want, apply(t, m, Command{Session: s, Number: n, Confirmed: n - 1, Component: ComponentRegister, Body: encode(c.set)}).Code)
	}
	assert.Equal(t, Invalid, apply(t, m, Command{Session: s, Number: n + 1, Component: "none"}).Code)
	big := New()
	for i := range uint64(3 * MaxMembers) {
		big.AddLearner(i+1, Member{ID: i + 1, Name: "k"})
		big.RemoveMember(i+1, i+1)
	}
	assert.LessOrEqual(t, len(big.Members().All()), MaxMembers)
}

// TestRejectsWhatALaterReleaseWrote guards against a member that skips data written by a later release and
// continues with a state that differs from that of the others.
func TestRejectsWhatALaterReleaseWrote(t *testing.T) {
	m := New()
	_, _, err := m.Apply(1, []byte(fmt.Sprintf(`{"v":%d,"n":1}`, Version+1)))
	require.ErrorIs(t, err, ErrVersion)
	require.ErrorIs(t, m.Restore([]byte(fmt.Sprintf(`{"version":%d}`, Version+1))), ErrVersion)
	require.ErrorIs(t, m.Restore([]byte(`{"version":1,"parts":{"later":{}}}`)), ErrVersion)
	require.ErrorIs(t, m.Restore([]byte(`{`)), ErrImage)
}
