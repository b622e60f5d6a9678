package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/statedir"
)

// clocksApart is by how many milliseconds the clocks of two nodes may differ.
const clocksApart = 5000

// Lesson is what another node of the fleet knows of the raters: knowledge, and no promise. It holds no order of operators, no
// quota and no name of a call.
type Lesson struct {
	From string // the door that gave it
	Knowledge
}

// lesson gives what this node knows to one that starts anew, in the form of a state on a disk.
func (n *Node) lesson() ([]byte, error) {
	k := Knowledge{Node: n.conf.Name, At: n.clock.Now(), Pilot: n.pilot.Snapshot().WarmStart()}
	text, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	return statedir.Encode(statedir.State{Node: n.conf.Name, PID: os.Getpid(), Started: n.since, Saved: k.At, Open: n.core.Unanswered(), Knowledge: text})
}

// ReadLesson reads what another node's door gave at a time, and says why it is of no use to a node with this configuration:
// it is of another form, of another zone, of a clock that differs, or rests on no answer in the last useFor milliseconds.
func ReadLesson(text []byte, from string, conf *Config, now, useFor float64) (l Lesson, err error) {
	s, err := statedir.Decode(text)
	if err != nil {
		return l, err
	}
	l.From = from
	if err := json.Unmarshal(s.Knowledge, &l.Knowledge); err != nil {
		return l, fmt.Errorf("reading it: %w", err)
	}
	m := &l.Pilot.Module
	switch zone := conf.Settings.Zones[conf.Settings.Zone]; {
	case s.Saved > now+clocksApart || s.Saved < now-clocksApart:
		return l, fmt.Errorf("its clock is %.0f ms ahead of this node's", s.Saved-now)
	case m.Zone != zone:
		return l, fmt.Errorf("it is of zone %q", m.Zone)
	case dispatch.LastObserved(m) == 0:
		return l, errors.New("it has heard no answer")
	case l.age(now) > useFor:
		return l, fmt.Errorf("it has heard nothing for %.0f ms", l.age(now))
	}
	return l, nil
}

// age is how many milliseconds ago a rater answered last.
func (l *Lesson) age(now float64) float64 {
	return now - dispatch.LastObserved(&l.Pilot.Module).Seconds()*1000
}

// learn takes the lessons, of each host and kind what rests on most. It is called once, when the list is there and before the
// first client.
func (n *Node) learn() {
	lessons := n.lessons
	n.lessons = nil // they are not small
	for i := range lessons {
		l := &lessons[i]
		if err := n.pilot.ApplyWarmStart(l.Pilot); err != nil {
			n.log.Warn("what another node knows is not used", "from", l.From, "error", err)
			continue
		}
		n.log.Info("the node begins with what another node knows", "from", l.From, "of", l.Node, "age_ms", l.age(n.clock.Now()))
	}
}
