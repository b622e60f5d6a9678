package decide

import (
	"errors"
	"fmt"
	"time"
)

// Effect tells whether requests of a class may run more than once.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // idempotent: may be repeated at will
	Keyed                // has an idempotency key: duplicates are dropped within a group of backends, for a time
	Unsafe               // not idempotent: must never run twice
)

// Group is the set of backends that share the idempotency keys of Keyed requests.
type Group uint8

// The groups.
const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// WeightMeaning tells what a listed weight stands for.
type WeightMeaning uint8

// The meanings of weights.
const (
	WeightNone WeightMeaning = iota // nothing
	WeightSize                      // the size of the backend, exactly or roughly
	WeightLive                      // the size, divided by 1 + the requests in flight per core, a while ago
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // with Keyed: where duplicates are dropped
	KeyTTL    time.Duration // with Keyed: for how long, from the first attempt that may have run
	Target    time.Duration // latency target: a response within it earns the full value
	Deadline  time.Duration // after its arrival, when the client gives up
	Value     float64       // value of a response in time, relative to other classes
	LateValue float64       // fraction of the value that a response past the target earns
	Streaming bool          // responses are streamed
}

// Tenant describes one of the parties that share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all nodes; 0 = without a limit
	Share float64
}

// Prices are costs of decisions, as fractions of the value of a request.
type Prices struct {
	CrossZone float64 // an attempt that crosses zones
}

// Rules are the parameters of the rules that every node keeps.
type Rules struct {
	ResponseSlack    time.Duration // after the deadline in which a final response still counts
	FetchWithin      time.Duration // in which a node must have asked for the endpoint list
	DrainGrace       time.Duration // after which nothing may be sent to a draining backend
	SlowStartFloor   float64       // fraction of its capacity that a backend starts with, at least
	SlowStartTime    time.Duration // after its start at which a backend is warm, at the latest
	OverloadMultiple float64       // a backend in slow start fails when sent more than this multiple of its capacity
	OverloadTime     time.Duration // for this long
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts int  // of one request, the first included
	Cancel      bool // attempts may be cancelled
	Hedging     bool // hedging: a request may have two attempts in flight
}

// Settings describe a deployment as one node sees it. Names are for the log and for Memory; everything else refers to
// classes, tenants, zones and kinds by their index in these slices.
type Settings struct {
	Nodes          int // number of nodes that send to these backends
	Node           int // index of this node among them
	Zone           int // index of the zone of this node
	Classes        []Class
	Tenants        []Tenant // may be empty
	Zones          []string
	Kinds          []string
	Weights        WeightMeaning
	OverQuotaValue float64 // value of a request beyond its tenant's quota, as a fraction of its class's value
	WatchEndpoints bool    // the endpoint list comes only when asked for with Actions.Watch
	Limits         Limits
	Prices         Prices
	Rules          Rules
}

// FetchSpread is the interval over which the first calls of all nodes for the endpoint list are spread, since one service
// serves them all.
func (s *Settings) FetchSpread() time.Duration {
	return min(s.Rules.FetchWithin/2, time.Duration(s.Nodes)*100*time.Millisecond)
}

// ErrSettings is what an error of New wraps where the settings cannot work.
var ErrSettings = errors.New("settings")

// checkSettings returns an error that names the first field that cannot work.
func checkSettings(settings *Settings, actions Actions) error {
	switch {
	case actions == nil:
		return errors.New("no actions")
	case settings.Nodes < 1:
		return fmt.Errorf("field Nodes is %d, at least 1 wanted", settings.Nodes)
	case len(settings.Classes) == 0:
		return errors.New("field Classes is empty")
	case settings.Zone < 0 || settings.Zone >= len(settings.Zones):
		return fmt.Errorf("field Zone is %d of %d Zones", settings.Zone, len(settings.Zones))
	case len(settings.Kinds) == 0:
		return errors.New("field Kinds is empty")
	case settings.Limits.MaxAttempts < 1:
		return fmt.Errorf("field Limits.MaxAttempts is %d, at least 1 wanted", settings.Limits.MaxAttempts)
	}
	for i, c := range settings.Classes {
		if c.Target <= 0 || c.Deadline < c.Target || !(c.Value >= 0) {
			return fmt.Errorf("field Classes[%d] needs 0 < Aim <= Deadline and Worth of 0 or more", i)
		}
	}
	return nil
}
