package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"go.etcd.io/raft/v3"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Propose proposes a command, if this member leads. Once it is committed, each member returns it in Work.Applied. now is in ms
// on any clock that runs evenly.
//
// The command's cluster time is that which this member saw last before it led, and what has passed since on its own clock: a
// clock that is set wrong changes nothing, and cluster time never runs ahead of a clock that runs evenly.
func (m *Member) Propose(now float64, c statemachine.Command) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	maxVersion := m.state.Members().WritableVersion()
	if c.Component == statemachine.ComponentMembers { // such a command raises what may be written
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

// syncClusterTime lets proposals count from the cluster time of the last entry applied. A leader goes on from where it began
// unless cluster time is ahead: else the time that each entry takes to be committed would be lost.
func (m *Member) syncClusterTime(now float64) {
	applied := m.state.Now()
	if m.localTime == 0 || applied != m.clusterTime && !m.Leads() || applied > m.clusterTime+now-m.localTime {
		m.clusterTime, m.localTime = applied, now
	}
}

// Read asks the others whether this member still leads. The Read in Work.Reads with this number then allows to answer; one
// that is lost never comes.
func (m *Member) Read(number uint64) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	m.node.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
	return nil
}

// Query answers a query from the state here. The answer is linearizable if a Read has allowed it.
func (m *Member) Query(request statemachine.Request) statemachine.Reply {
	return m.state.Query(request)
}
