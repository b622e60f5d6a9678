package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const heartbeatInterval = time.Second

func record(id string, sequence int64, state State) Record {
	return Record{ID: id, Backend: "llm", Address: "10.0.0.1:1", Sequence: sequence, State: state}
}

func getRecord(t *testing.T, r *Registry, id string) Record {
	t.Helper()
	found, known := r.Get(0, id)
	require.True(t, known)
	return found
}

func TestStaleHeartbeatDoesNotRevertDraining(t *testing.T) {
	r := New(heartbeatInterval)
	require.True(t, r.Heartbeat(0, record("a", 1, Ready)))
	require.True(t, r.Heartbeat(0, record("a", 3, Draining)))
	require.False(t, r.Heartbeat(0, record("a", 2, Ready)), "delayed")
	require.False(t, r.Heartbeat(0, record("a", 3, Draining)), "duplicated")
	require.False(t, r.Heartbeat(0, record("a", 4, Ready)), "a draining backend does not become ready again under the same ID")
	require.Equal(t, Draining, getRecord(t, r, "a").State)
}

func TestHeartbeatAfterDeregistrationIsIgnored(t *testing.T) {
	r := New(heartbeatInterval)
	r.Heartbeat(0, record("a", 1, Ready))
	require.True(t, r.Deregister(0, "a"))
	require.False(t, r.Deregister(0, "a"))
	require.False(t, r.Heartbeat(0, record("a", 9, Ready)))
	require.Equal(t, Removed, getRecord(t, r, "a").State)
}

func TestDeregistrationBeforeFirstHeartbeat(t *testing.T) {
	r := New(heartbeatInterval)
	require.True(t, r.Deregister(0, "a"))
	require.False(t, r.Heartbeat(0, record("a", 1, Ready)))
}

func TestBackendAtSameAddressRemovesPredecessor(t *testing.T) {
	r := New(heartbeatInterval)
	r.Heartbeat(0, record("a", 1, Ready))
	version := r.Version()
	r.Heartbeat(0, record("b", 1, Ready))
	require.Equal(t, Removed, getRecord(t, r, "a").State)
	require.Len(t, r.ChangedSince(0, version), 2)
}

// A replica may hear of a backend's newer start first, and then from another replica of the older one at the same address.
func TestPredecessorThatBecomesKnownLaterIsRemoved(t *testing.T) {
	older, newer := record("older", 9, Ready), record("newer", 1, Ready)
	now := 100 * heartbeatInterval
	older.HeardAgo, newer.HeardAgo = 3*heartbeatInterval, heartbeatInterval
	for _, order := range [][]Record{{newer, older}, {older, newer}} {
		r := New(heartbeatInterval)
		for _, merged := range order {
			r.Merge(now, []Record{merged})
		}
		require.Equal(t, Removed, getRecord(t, r, "older").State)
		require.Equal(t, Ready, getRecord(t, r, "newer").State)
		require.Len(t, r.ChangedSince(now, 0), 2, "the data processes are told of both")
	}
}

func TestBackendBecomesOverdueThenLostAndRecoversByHeartbeat(t *testing.T) {
	r := New(heartbeatInterval)
	r.Heartbeat(0, record("a", 1, Ready))
	require.False(t, r.Expire(heartbeatInterval*3/2))
	require.True(t, r.Expire(3*heartbeatInterval))
	require.True(t, getRecord(t, r, "a").Late)
	require.True(t, r.Heartbeat(3*heartbeatInterval, record("a", 2, Ready)), "a heartbeat clears the overdue state")
	require.False(t, getRecord(t, r, "a").Late)
	require.True(t, r.Expire(20*heartbeatInterval))
	require.True(t, getRecord(t, r, "a").Silent)
	require.Equal(t, Ready, getRecord(t, r, "a").State, "a lost backend is not a draining one")
	overdue, lost := r.Unresponsive()
	require.Empty(t, overdue)
	require.Equal(t, []string{"a"}, lost)
	require.True(t, r.Heartbeat(21*heartbeatInterval, record("a", 3, Ready)))
	require.False(t, getRecord(t, r, "a").Silent)
	r.Expire(200 * heartbeatInterval)
	_, known := r.Get(0, "a")
	require.False(t, known, "its record is dropped after forgetIntervals")
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	records := []Record{record("a", 1, Ready), record("a", 2, Draining), record("b", 5, Ready), record("b", 4, Ready)}
	records[2].Address, records[3].Address = "10.0.0.2:1", "10.0.0.2:1"
	for seed := range 24 {
		order := append([]Record(nil), records...)
		for i, rest := len(order)-1, seed; i > 0; i-- {
			j := rest % (i + 1)
			rest /= i + 1
			order[i], order[j] = order[j], order[i]
		}
		r := New(heartbeatInterval)
		for _, merged := range order {
			r.Merge(time.Second, []Record{merged})
		}
		require.Equal(t, Draining, getRecord(t, r, "a").State)
		require.EqualValues(t, 5, getRecord(t, r, "b").Sequence)
	}
}

func TestMergedRecordKeepsAgeOfHeartbeat(t *testing.T) {
	r := New(heartbeatInterval)
	old := record("a", 1, Ready)
	old.HeardAgo = 5 * heartbeatInterval
	r.Merge(10*heartbeatInterval, []Record{old})
	require.True(t, r.Expire(10*heartbeatInterval))
	require.True(t, getRecord(t, r, "a").Late)
}

func TestChangedSinceReturnsEachRecordOnce(t *testing.T) {
	r := New(heartbeatInterval)
	for sequence := range int64(500) {
		changing := record("a", sequence, Ready)
		changing.Slots = int(sequence)
		r.Heartbeat(0, changing)
		unchanged := record("b", sequence, Ready)
		unchanged.Address = "10.0.0.2:1"
		r.Heartbeat(0, unchanged)
	}
	require.Len(t, r.ChangedSince(0, 0), 2)
	require.Len(t, r.ChangedSince(0, r.Version()-1), 1)
	require.Empty(t, r.ChangedSince(0, r.Version()))
	require.LessOrEqual(t, len(r.changes), 2*2+minChanges+1)
}

func TestReplicaWithoutHeartbeatsDoesNotOverrideOthers(t *testing.T) {
	receiving, isolated := New(heartbeatInterval), New(heartbeatInterval)
	receiving.Heartbeat(0, record("a", 1, Ready))
	isolated.Merge(0, receiving.ChangedSince(0, 0))
	for sequence := int64(2); sequence < 300; sequence++ {
		now := time.Duration(sequence) * heartbeatInterval
		receiving.Heartbeat(now, record("a", sequence, Ready))
		receiving.Expire(now)
		isolated.Expire(now)
		receiving.Merge(now, isolated.ChangedSince(now, 0))
		got := getRecord(t, receiving, "a")
		require.Equal(t, Ready, got.State)
		require.False(t, got.Late || got.Silent, "heartbeat %d", sequence)
	}
}

// The states' values are part of the wire format, and their order decides between two records with the same
// sequence number.
func TestStateValuesAreStable(t *testing.T) {
	for state, number := range map[State]uint8{Ready: 0, Draining: 1, Removed: 2} {
		require.EqualValues(t, number, state)
	}
}
