package member

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Guards against a group's time that falls behind under load, because what each entry takes to be agreed is lost, or that runs ahead:
// windows and leases would last for ever, or end before the node that counts on them; and against a command that a member of an older
// release could not read.
func TestTimeUnderLoad(t *testing.T) {
	image, err := Bootstrap([]statemachine.Member{{ID: 1, Name: "a"}}, 5000)
	require.NoError(t, err)
	g, err := New(Settings{ID: 1, Election: 3, Heartbeat: 1, ImageEvery: 1 << 20, Trail: 10, Uncommitted: 1 << 20, Logger: Quiet{}},
		Saved{Image: image})
	require.NoError(t, err)
	now := 100.0
	var wait []Write
	take := func() {
		w, err := g.TakeWork(now)
		require.NoError(t, err)
		wait = append(wait, w.Write...)
	}
	lasts := func() { // what the disk was given lasts
		for len(wait) > 0 {
			w := wait[0]
			wait = wait[1:]
			require.NoError(t, g.WriteDone(w))
			take()
		}
	}
	for range 10 {
		g.Tick()
		take()
		lasts()
	}
	require.True(t, g.Leads())
	begin := now
	for i := range uint64(1000) {
		require.NoError(t, g.Propose(now, statemachine.Command{Number: i + 1, Body: []byte(`{"name":"c"}`)}))
		take()
		now += 1.5 // until the disk has it, with the next one proposed right after
		lasts()
		assert.LessOrEqual(t, g.State().Now(), 5000+now-begin, "it runs ahead")
	}
	assert.InDelta(t, 5000+now-begin, g.State().Now(), 3)
	room := statemachine.Command{Part: statemachine.ComponentQuotaLeases, Body: []byte(`{}`)}
	assert.ErrorIs(t, g.Propose(now, room), ErrYoung, "not before all members are known to know it")
	require.NoError(t, g.Propose(now, statemachine.Command{Part: statemachine.ComponentMembers, Body: []byte(`{"id":1,"starts":1,"speaks":2}`)}))
	take()
	lasts()
	assert.NoError(t, g.Propose(now, room))
}

// Guards against a member that goes on voting though the leader knows it to hold entries that it does not have.
func TestLacksWhatItAcknowledged(t *testing.T) {
	image, err := Bootstrap([]statemachine.Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}}, 5000)
	require.NoError(t, err)
	g, err := New(Settings{ID: 1, Election: 3, Heartbeat: 1, ImageEvery: 1 << 20, Trail: 10, Uncommitted: 1 << 20, Logger: Quiet{}},
		Saved{Image: image})
	require.NoError(t, err)
	_, held, _ := g.Position()
	beat := func(commit uint64) error {
		g.Step(&pb.Message{Type: pb.MsgHeartbeat.Enum(), From: new(uint64(2)), To: new(uint64(1)), Term: new(uint64(5)), Commit: &commit})
		_, err := g.TakeWork(100)
		return err
	}
	require.NoError(t, beat(held))
	assert.ErrorIs(t, beat(held+1), ErrLost)
}

// Guards against a member of an older release that goes on with nothing, or votes, once an image of a later release has reached it from
// the leader, or lies on its disk.
func TestImageOfLaterRelease(t *testing.T) {
	set := Settings{ID: 2, Election: 3, Heartbeat: 1, ImageEvery: 1 << 20, Trail: 10, Uncommitted: 1 << 20, Logger: Quiet{}}
	image := &pb.Snapshot{Data: []byte(`{"version":99}`), Metadata: &pb.SnapshotMetadata{Index: new(uint64(9)), Term: new(uint64(4)),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}
	_, err := New(set, Saved{Image: image})
	require.ErrorIs(t, err, statemachine.ErrVersion)
	g, err := New(set, Saved{})
	require.NoError(t, err)
	g.Step(&pb.Message{Type: pb.MsgSnap.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(uint64(4)), Snapshot: image})
	w, err := g.TakeWork(1)
	require.NoError(t, err)
	require.Len(t, w.Write, 1)
	require.NotNil(t, w.Write[0].Image)
	require.ErrorIs(t, g.WriteDone(w.Write[0]), statemachine.ErrVersion)
}

// lone is a group of one member that leads, and what carries out all that it wants.
func lone(t *testing.T) (g *Member, settle func()) {
	image, err := Bootstrap([]statemachine.Member{{ID: 1, Name: "a"}}, 5000)
	require.NoError(t, err)
	g, err = New(Settings{ID: 1, Election: 3, Heartbeat: 1, ImageEvery: 1 << 20, Trail: 10, Uncommitted: 1 << 20, Logger: Quiet{}},
		Saved{Image: image})
	require.NoError(t, err)
	settle = func() {
		for {
			w, err := g.TakeWork(100)
			require.NoError(t, err)
			if len(w.Write) == 0 {
				return
			}
			for _, write := range w.Write {
				require.NoError(t, g.WriteDone(write))
			}
		}
	}
	for range 10 {
		g.Tick()
		settle()
	}
	require.True(t, g.Leads())
	return g, settle
}

// acknowledge has a member say that it has all that is agreed.
func acknowledge(g *Member, id uint64) {
	term, committed, _ := g.Position()
	g.Step(&pb.Message{Type: pb.MsgAppResp.Enum(), From: &id, To: new(uint64(1)), Term: &term, Index: &committed})
}

// Guards against a vote for a newcomer that never said a word: the library takes it for active at first, in a young group it is behind by
// little, and with a keeper down beside it no majority would be left.
func TestNoVoteBeforeAWord(t *testing.T) {
	g, settle := lone(t)
	role := func() statemachine.Role {
		m, _ := g.State().Members().Get(2)
		return m.Role
	}
	require.NoError(t, g.AddLearner(statemachine.Member{ID: 2, Name: "b"}))
	settle()
	_, heard := g.Behind(2)
	require.True(t, heard, "it is taken for active")
	g.Promote()
	settle()
	require.Equal(t, statemachine.Learner, role(), "it may not run at all")
	acknowledge(g, 2)
	g.Promote()
	settle()
	require.Equal(t, statemachine.Voter, role(), "it has what is agreed")
}

// Guards against an order about members that is refused for good because it comes while the lead is handed on: it is to be given again.
func TestOrderWhileTheLeadIsHandedOn(t *testing.T) {
	g, settle := lone(t)
	require.NoError(t, g.AddLearner(statemachine.Member{ID: 2, Name: "b"}))
	settle()
	acknowledge(g, 2)
	g.Promote()
	settle()
	acknowledge(g, 2)
	settle()
	require.True(t, g.Hand())
	require.True(t, g.Leads())
	require.ErrorIs(t, g.Remove(2), ErrBusy)
	require.ErrorIs(t, g.AddLearner(statemachine.Member{ID: 3, Name: "c"}), ErrBusy)
}
