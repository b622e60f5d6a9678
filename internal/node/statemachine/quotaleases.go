package statemachine

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// ComponentQuotaLeases is the name of the part that divides the fleet's room among its nodes.
const ComponentQuotaLeases = "room"

// QuotaLeaseCommand is one of the part's commands.
type QuotaLeaseCommand struct {
	Report *lease.Report `json:"report,omitempty"`
	Tree   *lease.Tree   `json:"tree,omitempty"`
}

// quotaLeases is the part.
type quotaLeases struct{ *lease.Machine }

func (r quotaLeases) Apply(_ uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var c QuotaLeaseCommand
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	switch {
	case c.Report != nil:
		g, err := r.Report(now, *c.Report)
		if err != nil {
			return Reply{Code: Faulty, Text: err.Error()}
		}
		return Reply{Code: OK, Body: encode(g)}
	case c.Tree != nil:
		if err := r.Bring(now, *c.Tree); err != nil {
			return Reply{Code: Conflict, Text: err.Error()}
		}
		return Reply{Code: OK}
	}
	return Reply{Code: Faulty, Text: "want report or tree"}
}

// Query gives what is leased, owed and due.
func (r quotaLeases) Query(json.RawMessage) Reply { return Reply{Code: OK, Body: encode(r.View())} }
