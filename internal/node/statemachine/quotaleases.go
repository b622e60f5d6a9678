package statemachine

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// ComponentQuotaLeases is the name of the component that divides the fleet's quota among its nodes.
const ComponentQuotaLeases = "room"

// QuotaLeaseCommand is the body of a command. Exactly one of its fields is set.
type QuotaLeaseCommand struct {
	Report *lease.Report `json:"report,omitempty"`
	Tree   *lease.Tree   `json:"tree,omitempty"`
}

// quotaLeaseComponent adapts the state machine of the quota leases to Component. Freeze, Load and Empty are those
// of the leases.
type quotaLeaseComponent struct{ *lease.Machine }

// Apply applies a QuotaLeaseCommand.
func (q quotaLeaseComponent) Apply(_ uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var c QuotaLeaseCommand
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	switch {
	case c.Report != nil:
		g, err := q.Report(now, *c.Report)
		if err != nil {
			return Reply{Code: Invalid, Text: err.Error()}
		}
		return Reply{Code: OK, Body: encode(g)}
	case c.Tree != nil:
		if err := q.SetTree(now, *c.Tree); err != nil {
			return Reply{Code: Conflict, Text: err.Error()}
		}
		return Reply{Code: OK}
	}
	return Reply{Code: Invalid, Text: "want report or tree"}
}

// Query returns the view of the quota leases.
func (q quotaLeaseComponent) Query(json.RawMessage) Reply {
	return Reply{Code: OK, Body: encode(q.View())}
}
