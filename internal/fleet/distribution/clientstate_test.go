package distribution

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

const revokeAfter = 5 * time.Second

func reply(seq uint64, document string, ago time.Duration) *PollReply {
	r := &PollReply{Confirmed: true, ConfirmedAgo: ago, ConfigSeq: seq, Members: []ControlMember{{Address: "a", InChain: true}}, Epoch: 1}
	if document != "" {
		r.Update = mustEncode([]byte(document))
	}
	return r
}

func mustEncode(document []byte, patches ...operator.Order) Update {
	update, err := NewUpdate(document, patches)
	if err != nil {
		panic(err)
	}
	return update
}

func mustApply(t *testing.T, c *ClientState, sent time.Duration, r *PollReply) Change {
	t.Helper()
	change, err := c.Apply(sent, r)
	require.NoError(t, err)
	return change
}

func TestLeaseRunsFromPollSentAndViewConfirmed(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	require.Zero(t, c.LeaseEnd())
	mustApply(t, c, 10*time.Second, reply(1, `{"Revision":1}`, 300*time.Millisecond))
	lease := time.Duration(leaseFraction * float64(revokeAfter))
	require.Equal(t, 10*time.Second-300*time.Millisecond+lease, c.LeaseEnd())
	mustApply(t, c, 10*time.Second, reply(1, "", 2*time.Second))
	require.Equal(t, 10*time.Second-300*time.Millisecond+lease, c.LeaseEnd(), "an older confirmation does not shorten the lease")
	unconfirmed := reply(1, "", 0)
	unconfirmed.Confirmed = false
	mustApply(t, c, 12*time.Second, unconfirmed)
	require.Equal(t, 10*time.Second-300*time.Millisecond+lease, c.LeaseEnd(), "an unconfirmed reply does not extend the lease")
}

func TestLeaseNeverEndsUnlessFailClosed(t *testing.T) {
	c := NewClientState(false, revokeAfter)
	require.Greater(t, c.LeaseEnd(), 1000*time.Hour)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	mustApply(t, c, time.Second, reply(5, `{"Revision":9}`, 0))
	change := mustApply(t, c, time.Second, reply(4, `{"Revision":7}`, 0))
	require.False(t, change.Config)
	require.EqualValues(t, 9, c.Table().Revision)
}

func TestPatchesAreAppliedAndBadPatchRequestsFullDocument(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	mustApply(t, c, time.Second, reply(1, `{"Revision":1,"Backends":[{"Name":"b"}]}`, 0))
	patched := reply(2, "", 0)
	patched.Update = mustEncode(nil, operator.Order{Method: http.MethodPatch, Base: 1, Body: []byte(`{"Revision":3,"Upsert":{"Backends":[{"Name":"c"}]}}`)})
	require.True(t, mustApply(t, c, time.Second, patched).Config)
	require.Contains(t, c.Table().Services, "b")
	require.Contains(t, c.Table().Services, "c")
	broken := reply(3, "", 0)
	broken.Update = mustEncode(nil, operator.Order{Method: http.MethodPatch, Base: 3, Body: []byte(`{`)})
	_, err := c.Apply(time.Second, broken)
	require.Error(t, err)
	require.EqualValues(t, 3, c.Table().Revision, "the configuration is kept")
	require.Zero(t, c.Request("n", 1, 0).ConfigSeq, "the full document is requested")
	stale := reply(1, `{"Revision":1}`, 0)
	mustApply(t, c, time.Second, stale)
	require.EqualValues(t, 3, c.Table().Revision, "an older configuration is ignored even when the full document is requested")
	mustApply(t, c, time.Second, reply(3, `{"Revision":4}`, 0))
	require.EqualValues(t, 4, c.Table().Revision)
	require.EqualValues(t, 3, c.Request("n", 1, 0).ConfigSeq)
}

// Guards against a node that accepts any key once the last tenant is removed, whichever way the change reaches it.
func TestEmptyListOfTenantsReachesANodeAsPatchAndAsDocument(t *testing.T) {
	remove := operator.Order{Method: http.MethodPatch, Base: 1, Body: []byte(`{"Revision":2,"Remove":{"Tenants":["t"]}}`)}
	for document, required := range map[string]bool{`{"Revision":1,"Tenants":[{"Name":"t"}]}`: true, `{"Revision":1,"Tenants":[]}`: true, `{"Revision":1}`: false} {
		c := NewClientState(true, revokeAfter)
		mustApply(t, c, time.Second, reply(1, document, 0))
		require.Equal(t, required, c.Table().RequiresKeys, document)
		patched := reply(2, "", 0)
		patched.Update = mustEncode(nil, remove)
		mustApply(t, c, time.Second, patched)
		require.Equal(t, required, c.Table().RequiresKeys, "%s, patched", document)
	}
}

func backendRecord(id string, sequence int64, state registry.State) registry.Record {
	return registry.Record{ID: id, Backend: "b", Address: id + ":1", Sequence: sequence, State: state}
}

func TestStaleRegistryDoesNotRevertDraining(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	first := reply(1, `{"Revision":1}`, 0)
	first.Records, first.Whole, first.RegistryOwner = []registry.Record{backendRecord("a", 4, registry.Draining)}, true, 1
	mustApply(t, c, time.Second, first)
	stale := reply(1, "", 0)
	stale.Records, stale.Whole, stale.RegistryOwner = []registry.Record{backendRecord("a", 3, registry.Ready)}, true, 2
	require.False(t, mustApply(t, c, time.Second, stale).Backends)
	require.Equal(t, registry.Draining, c.Backends()[0].State)
}

// Guards against a node that goes on sending requests to a backend whose removal was acknowledged by a control process that knew
// less of it than the node: only its ID, or an older heartbeat.
func TestRecordOfALeavingBackendIsAppliedWhateverItsSequence(t *testing.T) {
	onlyID := registry.Record{ID: "a", State: registry.Removed}
	for _, known := range []registry.Record{backendRecord("a", 9, registry.Ready), backendRecord("a", 9, registry.Draining)} {
		for _, leaving := range []registry.Record{onlyID, backendRecord("a", 4, registry.Removed), backendRecord("a", 9, registry.Removed), backendRecord("a", 10, registry.Removed)} {
			c := NewClientState(true, revokeAfter)
			first := reply(1, `{"Revision":1}`, 0)
			first.Records, first.Whole, first.RegistryOwner = []registry.Record{known}, true, 1
			mustApply(t, c, time.Second, first)
			require.Len(t, c.Backends(), 1)
			restarted := reply(1, "", 0)
			restarted.Records, restarted.Whole, restarted.RegistryOwner = []registry.Record{leaving}, true, 2
			change := mustApply(t, c, 2*time.Second, restarted)
			require.True(t, change.Backends, "%v then %v", known, leaving)
			require.Len(t, change.Leaving, 1)
			require.Empty(t, c.Backends(), "%v then %v", known, leaving)
			mustApply(t, c, 3*time.Second, first)
			require.Empty(t, c.Backends(), "a replica that has not heard of it does not bring it back")
		}
	}
}

// Guards against a draining backend that goes on getting requests, as above.
func TestDrainingOfAnOlderHeartbeatIsApplied(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	first := reply(1, `{"Revision":1}`, 0)
	first.Records, first.RegistryOwner = []registry.Record{backendRecord("a", 9, registry.Ready)}, 1
	mustApply(t, c, time.Second, first)
	older := reply(1, "", 0)
	older.Records, older.RegistryOwner = []registry.Record{backendRecord("a", 8, registry.Draining)}, 2
	require.True(t, mustApply(t, c, 2*time.Second, older).Backends)
	require.Equal(t, registry.Draining, c.Backends()[0].State)
	require.EqualValues(t, 9, c.Backends()[0].Sequence)
}

func TestEmptyRegistryOfRestartedControlPlaneRemovesNoBackend(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	first := reply(1, `{"Revision":1}`, 0)
	first.Records, first.Whole = []registry.Record{backendRecord("a", 4, registry.Ready), backendRecord("b", 4, registry.Ready)}, true
	mustApply(t, c, time.Second, first)
	empty := reply(1, "", 0)
	empty.Whole, empty.RegistryOwner, empty.RegistryAge = true, 2, time.Second
	mustApply(t, c, 2*time.Second, empty)
	require.Len(t, c.Backends(), 2)
	old := reply(1, "", 0)
	old.Whole, old.RegistryOwner, old.RegistryAge = true, 3, unlistedTTL
	old.Records = []registry.Record{backendRecord("a", 5, registry.Ready)}
	require.True(t, mustApply(t, c, 3*time.Second, old).Backends)
	require.Len(t, c.Backends(), 1, "a registry that is unlistedTTL old lists every live backend")
}

func TestLostBackendsAreExcludedUnlessMajorityIsLost(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	first := reply(1, `{"Revision":1}`, 0)
	first.Whole, first.RegistryOwner = true, 1
	for _, id := range []string{"a", "b", "c", "d"} {
		first.Records = append(first.Records, backendRecord(id, 1, registry.Ready))
	}
	mustApply(t, c, time.Second, first)
	lostReply := func(ids ...string) *PollReply {
		r := reply(1, "", 0)
		r.RegistryOwner = 1
		for _, id := range ids {
			lost := backendRecord(id, 1, registry.Ready)
			lost.Silent = true
			r.Records = append(r.Records, lost)
		}
		return r
	}
	require.True(t, mustApply(t, c, time.Second, lostReply("a", "b")).Backends)
	require.Len(t, c.Backends(), 2)
	mustApply(t, c, time.Second, lostReply("c"))
	require.Len(t, c.Backends(), 4, "with a majority lost, a fault of the control plane is assumed")
	back := reply(1, "", 0)
	back.Records = []registry.Record{backendRecord("a", 2, registry.Ready)}
	back.RegistryOwner = 1
	require.True(t, mustApply(t, c, time.Second, back).Backends, "a heartbeat restores a lost backend")
}

func TestPatchesWithoutBaseRequestFullDocument(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	patched := reply(2, "", 0)
	patched.Update = mustEncode(nil, operator.Order{Method: http.MethodPatch, Base: 1, Body: []byte(`{"Revision":3}`)})
	_, err := c.Apply(time.Second, patched)
	require.ErrorIs(t, err, errMissingBase)
	require.Nil(t, c.Table())
	mustApply(t, c, time.Second, reply(2, `{"Revision":3}`, 0))
	require.EqualValues(t, 3, c.Table().Revision)
}

func TestUndecodableUpdateRequestsFullDocument(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	mustApply(t, c, time.Second, reply(1, `{"Revision":1}`, 0))
	truncated := reply(2, `{"Revision":2}`, 0)
	truncated.Update = truncated.Update[:len(truncated.Update)/2]
	_, err := c.Apply(time.Second, truncated)
	require.Error(t, err)
	require.EqualValues(t, 1, c.Table().Revision)
	require.Zero(t, c.Request("n", 1, 0).ConfigSeq)
}

// Guards against a node that goes on with the configuration of a control plane that no longer exists, and takes it for confirmed:
// the control plane was started anew on empty disks beside running data processes.
func TestControlPlaneStartedAnewIsFollowed(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	old := reply(50, `{"Revision":900}`, 0)
	old.Epoch = 7
	mustApply(t, c, 10*time.Second, old)
	mustApply(t, c, 11*time.Second, reply(50, "", 0))
	lease := c.LeaseEnd()
	anew := &Source{State: operator.NewState(), ConfirmedAt: time.Second}
	answer := func(sent time.Duration) {
		request := c.Request("n", 1, 0)
		r := &PollReply{Epoch: 1, Members: []ControlMember{{Address: "b", InChain: true}}}
		require.NoError(t, anew.Answer(time.Second+100*time.Millisecond, &request, r, anew.Encode))
		mustApply(t, c, sent, r)
	}
	answer(12 * time.Second)
	require.True(t, c.Foreign())
	answer(13 * time.Second)
	require.False(t, c.Confirmed())
	require.Equal(t, lease, c.LeaseEnd(), "the lease ends, as nothing confirms this configuration")
	require.EqualValues(t, 900, c.Table().Revision)
	state, err := operator.NewState().Apply(operator.Order{Method: http.MethodPut, Body: []byte(`{"Revision":3}`)})
	require.NoError(t, err)
	anew.Seq, anew.State = 1, state
	answer(14 * time.Second)
	require.EqualValues(t, 3, c.Table().Revision)
	require.False(t, c.Foreign())
	require.True(t, c.Confirmed())
	require.Greater(t, c.LeaseEnd(), lease)
	epoch, members := c.Members()
	require.EqualValues(t, 1, epoch)
	require.Equal(t, "b", members[0].Address)
}

// A member that has not heard of the newest order yet confirms its own configuration for a time before that order.
func TestControlProcessThatIsBehindIsNotTakenForAnother(t *testing.T) {
	c := NewClientState(true, revokeAfter)
	mustApply(t, c, 10*time.Second, reply(50, `{"Revision":900}`, 0))
	mustApply(t, c, 11*time.Second, reply(49, "", 100*time.Millisecond))
	require.False(t, c.Foreign())
	require.True(t, c.Confirmed())
	mustApply(t, c, 12*time.Second, reply(49, "", 1001*time.Millisecond))
	require.False(t, c.Foreign())
	require.EqualValues(t, 900, c.Table().Revision)
	unconfirmed := reply(0, "", 0)
	unconfirmed.Confirmed = false
	mustApply(t, c, 13*time.Second, unconfirmed)
	require.False(t, c.Foreign(), "an unconfirmed reply proves nothing")
}
