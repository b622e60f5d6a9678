package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/statedir"
)

// maxClockSkew is by how many milliseconds the clocks of two nodes may differ.
const maxClockSkew = 5000

// PeerKnowledge is what another node of the fleet has learned about the backends. It is a hint without guarantees:
// it contains no operators' orders, no quota and no idempotency keys.
type PeerKnowledge struct {
	From string // the admin address that it came from
	Knowledge
}

// encodeKnowledge returns what this node has learned, for a newly started node, in the form of a state file.
func (n *Node) encodeKnowledge() ([]byte, error) {
	k := Knowledge{Node: n.conf.Name, At: n.clock.Now(), Dispatcher: n.dispatcher.Snapshot().WarmStart()}
	text, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	return statedir.Encode(statedir.State{Node: n.conf.Name, PID: os.Getpid(), Started: n.startedAt, Saved: k.At, Open: n.core.Unanswered(), Knowledge: text})
}

// DecodePeerKnowledge reads the response of another node's admin endpoint. It returns an error if the data is of
// no use to a node with this configuration: it has another form or comes from another zone, its clock differs too
// much, or no backend answered in the last useFor milliseconds.
func DecodePeerKnowledge(text []byte, from string, conf *Config, now, useFor float64) (l PeerKnowledge, err error) {
	s, err := statedir.Decode(text)
	if err != nil {
		return l, err
	}
	l.From = from
	if err := json.Unmarshal(s.Knowledge, &l.Knowledge); err != nil {
		return l, fmt.Errorf("decoding knowledge: %w", err)
	}
	m := &l.Dispatcher.Module
	switch zone := conf.Settings.Zones[conf.Settings.Zone]; {
	case s.Saved > now+maxClockSkew || s.Saved < now-maxClockSkew:
		return l, fmt.Errorf("its clock is %.0f ms ahead of this node's clock", s.Saved-now)
	case m.Zone != zone:
		return l, fmt.Errorf("it comes from zone %q", m.Zone)
	case dispatch.LastObserved(m) == 0:
		return l, errors.New("it has observed no answers")
	case l.age(now) > useFor:
		return l, fmt.Errorf("its last observed answer is %.0f ms old", l.age(now))
	}
	return l, nil
}

// age returns how many milliseconds ago the last answer of a backend was observed.
func (l *PeerKnowledge) age(now float64) float64 {
	return now - dispatch.LastObserved(&l.Dispatcher.Module).Seconds()*1000
}

// applyPeerKnowledge applies the state from other nodes; for each host and kind, the state based on the most
// answers is used. It is called once, when the list is known and before the first client.
func (n *Node) applyPeerKnowledge() {
	fromPeers := n.fromPeers
	n.fromPeers = nil // they take much memory
	for i := range fromPeers {
		l := &fromPeers[i]
		if err := n.dispatcher.ApplyWarmStart(l.Dispatcher); err != nil {
			n.log.Warn("state from another node not used", "from", l.From, "error", err)
			continue
		}
		n.log.Info("warm start with state from another node", "from", l.From, "of", l.Node, "age_ms", l.age(n.clock.Now()))
	}
}
