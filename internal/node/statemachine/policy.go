package statemachine

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// ComponentPolicy is the name of the component that rolls out the fleet's policy.
const ComponentPolicy = "policy"

// PolicyCommand is the body of a command. Exactly one of its fields is set.
type PolicyCommand struct {
	Report   *rollout.Report   `json:"report,omitempty"`
	Propose  *rollout.Proposal `json:"propose,omitempty"`
	DeadNode string            `json:"dead,omitempty"` // name of a node that an operator declares dead
}

// PolicyQuestion is the body of a query: for a document by its number or the ID of its proposal, for the outcome
// of a proposal, for the progress of the rollout, or, if no field is set, for the complete view.
type PolicyQuestion struct {
	Document *uint64 `json:"document,omitempty"`
	Proposed string  `json:"proposed,omitempty"`
	Outcome  string  `json:"outcome,omitempty"`
	Progress bool    `json:"news,omitempty"`
}

// rolloutComponent adapts the rollout's state machine to Component. Freeze and Load are those of the rollout.
type rolloutComponent struct{ *rollout.Machine }

// Apply applies a PolicyCommand.
func (p rolloutComponent) Apply(_ uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var c PolicyCommand
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	switch {
	case c.Report != nil:
		o, err := p.Report(now, *c.Report)
		if err != nil {
			return Reply{Code: Full, Text: err.Error()}
		}
		return Reply{Code: OK, Body: encode(o)}
	case c.Propose != nil:
		return Reply{Code: OK, Body: encode(p.Propose(now, *c.Propose))}
	case c.DeadNode != "":
		return Reply{Code: OK, Body: encode(p.RemoveNode(now, c.DeadNode))}
	}
	return Reply{Code: Invalid, Text: "want report, propose or dead"}
}

// Query answers a PolicyQuestion.
func (p rolloutComponent) Query(body json.RawMessage) Reply {
	var q PolicyQuestion
	if err := json.Unmarshal(body, &q); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	switch {
	case q.Outcome != "":
		if o, ok := p.Outcome(q.Outcome); ok {
			return Reply{Code: OK, Body: encode(o)}
		}
		return Reply{Code: Invalid, Text: "no such proposal is known: it was never taken, or it is too long ago"}
	case q.Document != nil || q.Proposed != "":
		number := uint64(0)
		if q.Document != nil {
			number = *q.Document
		}
		if d, ok := p.FindDocument(number, q.Proposed); ok {
			return Reply{Code: OK, Body: encode(d)}
		}
		return Reply{Code: Invalid, Text: "no such document is kept"}
	}
	if q.Progress {
		return Reply{Code: OK, Body: encode(p.Progress())}
	}
	return Reply{Code: OK, Body: encode(p.View())}
}
