package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"go.etcd.io/raft/v3"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Propose proposes a command if this member is the leader. Once the command is committed, each member returns it in
// Work.Applied. now is in ms on any monotonic clock.
//
// The command's cluster time is the last cluster time that this member saw before it became leader, plus the time
// that has passed since then on its own clock. A clock that is set wrong therefore has no effect, and cluster time
// never runs ahead of a monotonic clock.
func (m *Member) Propose(now float64, c statemachine.Command) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	maxVersion := m.state.Members().WritableVersion()
	if c.Component == statemachine.ComponentMembers { // such a command may raise the writable version
		maxVersion = m.state.Members().CommonVersion()
	}
	c.Version, c.At = statemachine.VersionOf(c.Component, c.Body), m.clusterTime+now-m.localTime
	if c.Version > maxVersion {
		return ErrVersionNotWritable
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err = m.node.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return ErrBacklog
	}
	return err
}

// syncClusterTime makes proposals count from the cluster time of the last applied entry. A leader keeps its
// starting point unless the applied cluster time is ahead: otherwise the time that each entry takes to be
// committed would be lost.
func (m *Member) syncClusterTime(now float64) {
	applied := m.state.Now()
	if m.localTime == 0 || applied != m.clusterTime && !m.Leads() || applied > m.clusterTime+now-m.localTime {
		m.clusterTime, m.localTime = applied, now
	}
}

// Read asks the other members whether this member is still the leader. Once they confirm, Work.Reads contains a
// Read with this number. A request that is lost is never confirmed.
func (m *Member) Read(number uint64) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	m.node.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
	return nil
}

// Query answers a query from the state of this member. The answer is linearizable if a Read has confirmed the
// query.
func (m *Member) Query(request statemachine.Request) statemachine.Reply {
	return m.state.Query(request)
}
