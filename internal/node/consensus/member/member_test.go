package member

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// testSettings returns the settings of a member in these tests.
func testSettings(id uint64) Settings {
	return Settings{ID: id, Election: 3, Heartbeat: 1, ImageEvery: 1 << 20, Trail: 10, Uncommitted: 1 << 20, Logger: Quiet{}}
}

// TestClusterTimeRunsEvenlyUnderLoad guards against cluster time that falls behind under load, because the time
// that each entry takes to be committed is lost, or that runs ahead: windows and leases would last forever, or
// expire before the node that relies on them expects it. It also guards against proposing a command that a member
// of an older release cannot read.
func TestClusterTimeRunsEvenlyUnderLoad(t *testing.T) {
	image, err := Bootstrap([]statemachine.Member{{ID: 1, Name: "a"}}, 5000)
	require.NoError(t, err)
	m, err := New(testSettings(1), Saved{Image: image})
	require.NoError(t, err)
	now := 100.0
	var pending []Write
	takeWork := func() {
		w, err := m.Ready(now)
		require.NoError(t, err)
		pending = append(pending, w.Write...)
	}
	finishWrites := func() { // all pending writes have become durable
		for len(pending) > 0 {
			w := pending[0]
			pending = pending[1:]
			require.NoError(t, m.Persisted(w))
			takeWork()
		}
	}
	for range 10 {
		m.Tick()
		takeWork()
		finishWrites()
	}
	require.True(t, m.Leads())
	begin := now
	for i := range uint64(1000) {
		require.NoError(t, m.Propose(now, statemachine.Command{Number: i + 1, Body: []byte(`{"name":"c"}`)}))
		takeWork()
		now += 1.5 // the time until the write is durable; the next command is proposed directly after it
		finishWrites()
		assert.LessOrEqual(t, m.State().Now(), 5000+now-begin, "cluster time runs ahead")
	}
	assert.InDelta(t, 5000+now-begin, m.State().Now(), 3)
	leaseCommand := statemachine.Command{Component: statemachine.ComponentQuotaLeases, Body: []byte(`{}`)}
	assert.ErrorIs(t, m.Propose(now, leaseCommand), ErrVersionNotWritable, "not before all members are known to read that version")
	require.NoError(t, m.Propose(now, statemachine.Command{Component: statemachine.ComponentMembers, Body: []byte(`{"id":1,"starts":1,"speaks":2}`)}))
	takeWork()
	finishWrites()
	assert.NoError(t, m.Propose(now, leaseCommand))
}

// TestFailsWithoutAcknowledgedEntries guards against a member that continues to vote although it lacks entries
// that it had acknowledged to the leader.
func TestFailsWithoutAcknowledgedEntries(t *testing.T) {
	image, err := Bootstrap([]statemachine.Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}}, 5000)
	require.NoError(t, err)
	m, err := New(testSettings(1), Saved{Image: image})
	require.NoError(t, err)
	_, committed, _ := m.Position()
	heartbeat := func(commit uint64) error {
		m.Step(&pb.Message{Type: pb.MsgHeartbeat.Enum(), From: new(uint64(2)), To: new(uint64(1)), Term: new(uint64(5)), Commit: &commit})
		_, err := m.Ready(100)
		return err
	}
	require.NoError(t, heartbeat(committed))
	assert.ErrorIs(t, heartbeat(committed+1), ErrEntriesMissing)
}

// TestFailsAtAnImageOfALaterRelease guards against a member of an older release that continues with an empty
// state, or votes, after it has received an image of a later release from the leader, or has found one on its
// disk.
func TestFailsAtAnImageOfALaterRelease(t *testing.T) {
	settings := testSettings(2)
	image := &pb.Snapshot{Data: []byte(`{"version":99}`), Metadata: &pb.SnapshotMetadata{Index: new(uint64(9)), Term: new(uint64(4)),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}
	_, err := New(settings, Saved{Image: image})
	require.ErrorIs(t, err, statemachine.ErrVersion)
	m, err := New(settings, Saved{})
	require.NoError(t, err)
	m.Step(&pb.Message{Type: pb.MsgSnap.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(uint64(4)), Snapshot: image})
	w, err := m.Ready(1)
	require.NoError(t, err)
	require.Len(t, w.Write, 1)
	require.NotNil(t, w.Write[0].Image)
	require.ErrorIs(t, m.Persisted(w.Write[0]), statemachine.ErrVersion)
}

// newLeader returns the leader of a cluster of one member, and a function that completes all outstanding work.
func newLeader(t *testing.T) (m *Member, doWork func()) {
	t.Helper()
	image, err := Bootstrap([]statemachine.Member{{ID: 1, Name: "a"}}, 5000)
	require.NoError(t, err)
	m, err = New(testSettings(1), Saved{Image: image})
	require.NoError(t, err)
	doWork = func() {
		for {
			w, err := m.Ready(100)
			require.NoError(t, err)
			if len(w.Write) == 0 {
				return
			}
			for _, write := range w.Write {
				require.NoError(t, m.Persisted(write))
			}
		}
	}
	for range 10 {
		m.Tick()
		doWork()
	}
	require.True(t, m.Leads())
	return m, doWork
}

// acknowledge simulates a member's acknowledgement of everything that is committed.
func acknowledge(m *Member, id uint64) {
	term, committed, _ := m.Position()
	m.Step(&pb.Message{Type: pb.MsgAppResp.Enum(), From: &id, To: new(uint64(1)), Term: &term, Index: &committed})
}

// TestLearnerIsPromotedOnlyAfterAMessage guards against making a voter of a new member that never sent a message:
// the library initially assumes that it is active, in a new cluster it is hardly behind, and with one more member
// down there would be no majority.
func TestLearnerIsPromotedOnlyAfterAMessage(t *testing.T) {
	m, doWork := newLeader(t)
	role := func() statemachine.Role {
		member, _ := m.State().Members().Get(2)
		return member.Role
	}
	require.NoError(t, m.AddLearner(statemachine.Member{ID: 2, Name: "b"}))
	doWork()
	_, active := m.FollowerProgress(2)
	require.True(t, active, "the library assumes that it is active")
	m.Promote()
	doWork()
	require.Equal(t, statemachine.Learner, role(), "it may not be running at all")
	acknowledge(m, 2)
	m.Promote()
	doWork()
	require.Equal(t, statemachine.Voter, role(), "it has caught up")
}

// TestMembershipChangeDuringLeaderTransferIsBusy guards against a membership change that is rejected permanently
// because leadership is being transferred: the client must be able to retry it.
func TestMembershipChangeDuringLeaderTransferIsBusy(t *testing.T) {
	m, doWork := newLeader(t)
	require.NoError(t, m.AddLearner(statemachine.Member{ID: 2, Name: "b"}))
	doWork()
	acknowledge(m, 2)
	m.Promote()
	doWork()
	acknowledge(m, 2)
	doWork()
	require.True(t, m.TransferLeadership())
	require.True(t, m.Leads())
	require.ErrorIs(t, m.Remove(2), ErrBusy)
	require.ErrorIs(t, m.AddLearner(statemachine.Member{ID: 3, Name: "c"}), ErrBusy)
}
