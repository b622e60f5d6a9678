package distribution

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

const revoke = 5 * time.Second

func reply(seq uint64, document string, ago time.Duration) *PollReply {
	r := &PollReply{Confirmed: true, ConfirmedAgo: ago, ConfigSeq: seq, Members: []ControlMember{{Address: "a", InChain: true}}, Epoch: 1}
	if document != "" {
		r.Update = encoded([]byte(document))
	}
	return r
}

func encoded(document []byte, patches ...operator.Order) Update {
	update, err := NewUpdate(document, patches)
	if err != nil {
		panic(err)
	}
	return update
}

func take(t *testing.T, c *ClientState, sent time.Duration, r *PollReply) Change {
	t.Helper()
	change, err := c.Apply(sent, r)
	require.NoError(t, err)
	return change
}

func TestTheLeaseRunsFromWhenThePollWasSentAndTheViewConfirmed(t *testing.T) {
	c := NewClientState(true, revoke)
	require.Zero(t, c.LeaseEnd())
	take(t, c, 10*time.Second, reply(1, `{"Revision":1}`, 300*time.Millisecond))
	lease := time.Duration(leaseFraction * float64(revoke))
	require.Equal(t, 10*time.Second-300*time.Millisecond+lease, c.LeaseEnd())
	take(t, c, 10*time.Second, reply(1, "", 2*time.Second))
	require.Equal(t, 10*time.Second-300*time.Millisecond+lease, c.LeaseEnd(), "an older confirmation does not shorten it")
	unconfirmed := reply(1, "", 0)
	unconfirmed.Confirmed = false
	take(t, c, 12*time.Second, unconfirmed)
	require.Equal(t, 10*time.Second-300*time.Millisecond+lease, c.LeaseEnd(), "nor does one that confirms nothing lengthen it")
}

func TestWithoutClosedTheLeaseNeverEnds(t *testing.T) {
	c := NewClientState(false, revoke)
	require.Greater(t, c.LeaseEnd(), 1000*time.Hour)
}

func TestAnOlderVersionIsNotTaken(t *testing.T) {
	c := NewClientState(true, revoke)
	take(t, c, time.Second, reply(5, `{"Revision":9}`, 0))
	change := take(t, c, time.Second, reply(4, `{"Revision":7}`, 0))
	require.False(t, change.Config)
	require.EqualValues(t, 9, c.Table().Revision)
}

func TestPatchesLeadToTheNewVersionAndOneThatDoesNotFitAsksForTheWhole(t *testing.T) {
	c := NewClientState(true, revoke)
	take(t, c, time.Second, reply(1, `{"Revision":1,"Backends":[{"Name":"b"}]}`, 0))
	patched := reply(2, "", 0)
	patched.Update = encoded(nil, operator.Order{Method: http.MethodPatch, Base: 1, Body: []byte(`{"Revision":3,"Upsert":{"Backends":[{"Name":"c"}]}}`)})
	require.True(t, take(t, c, time.Second, patched).Config)
	require.Contains(t, c.Table().Services, "b")
	require.Contains(t, c.Table().Services, "c")
	broken := reply(3, "", 0)
	broken.Update = encoded(nil, operator.Order{Method: http.MethodPatch, Base: 3, Body: []byte(`{`)})
	_, err := c.Apply(time.Second, broken)
	require.Error(t, err)
	require.EqualValues(t, 3, c.Table().Revision, "the version in force stays")
	require.Zero(t, c.Request("n", 1, 0).ConfigSeq, "the whole document is asked for")
	older := reply(1, `{"Revision":1}`, 0)
	take(t, c, time.Second, older)
	require.EqualValues(t, 3, c.Table().Revision, "also then an older version is not taken")
	take(t, c, time.Second, reply(3, `{"Revision":4}`, 0))
	require.EqualValues(t, 4, c.Table().Revision)
	require.EqualValues(t, 3, c.Request("n", 1, 0).ConfigSeq)
}

func rater(id string, sequence int64, state registry.State) registry.Record {
	return registry.Record{ID: id, Backend: "b", Address: id + ":1", Sequence: sequence, State: state}
}

func TestARaterThatDrainsDoesNotComeBackFromACopyThatIsBehind(t *testing.T) {
	c := NewClientState(true, revoke)
	first := reply(1, `{"Revision":1}`, 0)
	first.Records, first.Whole, first.RegistryOwner = []registry.Record{rater("a", 4, registry.Draining)}, true, 1
	take(t, c, time.Second, first)
	behind := reply(1, "", 0)
	behind.Records, behind.Whole, behind.RegistryOwner = []registry.Record{rater("a", 3, registry.Ready)}, true, 2
	require.False(t, take(t, c, time.Second, behind).Backends)
	require.Equal(t, registry.Draining, c.Backends()[0].State)
}

func TestAControlPlaneThatRestartedEmptyIsNotAnEmptyFleet(t *testing.T) {
	c := NewClientState(true, revoke)
	first := reply(1, `{"Revision":1}`, 0)
	first.Records, first.Whole = []registry.Record{rater("a", 4, registry.Ready), rater("b", 4, registry.Ready)}, true
	take(t, c, time.Second, first)
	empty := reply(1, "", 0)
	empty.Whole, empty.RegistryOwner, empty.RegistryAge = true, 2, time.Second
	take(t, c, 2*time.Second, empty)
	require.Len(t, c.Backends(), 2)
	old := reply(1, "", 0)
	old.Whole, old.RegistryOwner, old.RegistryAge = true, 3, unlistedTTL
	old.Records = []registry.Record{rater("a", 5, registry.Ready)}
	require.True(t, take(t, c, 3*time.Second, old).Backends)
	require.Len(t, c.Backends(), 1, "a copy that has been there for long knows who is gone")
}

func TestSilentRatersAreLeftOutUnlessMostAreSilent(t *testing.T) {
	c := NewClientState(true, revoke)
	first := reply(1, `{"Revision":1}`, 0)
	first.Whole, first.RegistryOwner = true, 1
	for _, id := range []string{"a", "b", "c", "d"} {
		first.Records = append(first.Records, rater(id, 1, registry.Ready))
	}
	take(t, c, time.Second, first)
	quiet := func(ids ...string) *PollReply {
		r := reply(1, "", 0)
		r.RegistryOwner = 1
		for _, id := range ids {
			one := rater(id, 1, registry.Ready)
			one.Silent = true
			r.Records = append(r.Records, one)
		}
		return r
	}
	require.True(t, take(t, c, time.Second, quiet("a", "b")).Backends)
	require.Len(t, c.Backends(), 2)
	take(t, c, time.Second, quiet("c"))
	require.Len(t, c.Backends(), 4, "it is the control plane that does not hear")
	back := reply(1, "", 0)
	back.Records = []registry.Record{rater("a", 2, registry.Ready)}
	back.RegistryOwner = 1
	require.True(t, take(t, c, time.Second, back).Backends, "one that is heard again is back")
}

func TestPatchesWithoutTheirBaseAskForTheWhole(t *testing.T) {
	c := NewClientState(true, revoke)
	patched := reply(2, "", 0)
	patched.Update = encoded(nil, operator.Order{Method: http.MethodPatch, Base: 1, Body: []byte(`{"Revision":3}`)})
	_, err := c.Apply(time.Second, patched)
	require.ErrorIs(t, err, errMissingBase)
	require.Nil(t, c.Table())
	take(t, c, time.Second, reply(2, `{"Revision":3}`, 0))
	require.EqualValues(t, 3, c.Table().Revision)
}

func TestAnUpdateThatCannotBeReadAsksForTheWhole(t *testing.T) {
	c := NewClientState(true, revoke)
	take(t, c, time.Second, reply(1, `{"Revision":1}`, 0))
	spoiled := reply(2, `{"Revision":2}`, 0)
	spoiled.Update = spoiled.Update[:len(spoiled.Update)/2]
	_, err := c.Apply(time.Second, spoiled)
	require.Error(t, err)
	require.EqualValues(t, 1, c.Table().Revision)
	require.Zero(t, c.Request("n", 1, 0).ConfigSeq)
}
