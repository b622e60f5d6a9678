package decide

import (
	"errors"
	"fmt"
	"time"
)

// Effect says whether requests of a class may run more than once.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // idempotent: may be repeated any number of times
	Keyed                // has an idempotency key: a group of backends drops duplicates for a limited time
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

// WeightMeaning says what a listed weight stands for.
type WeightMeaning uint8

// The meanings of weights.
const (
	WeightNone WeightMeaning = iota // nothing
	WeightSize                      // the size of the backend, exactly or roughly
	WeightLive                      // a past value of the size, divided by 1 + the requests in flight per core
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // with Keyed: the backends that drop duplicates
	KeyTTL    time.Duration // with Keyed: time from the first attempt that may have run in which duplicates are dropped
	Target    time.Duration // latency target: a response within it has the full value
	Deadline  time.Duration // time after its arrival when the client gives up
	Value     float64       // value of a response within the target, relative to other classes
	LateValue float64       // fraction of the value that a response after the target has
	Streaming bool          // responses are streamed
}

// Tenant describes one of the tenants that share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all nodes; 0 = unlimited
	Share float64
}

// Prices are costs of decisions, as fractions of a request's value.
type Prices struct {
	CrossZone float64 // an attempt in another zone
}

// Rules are the parameters of the rules that every node must follow.
type Rules struct {
	ResponseSlack    time.Duration // time after the deadline in which a final response still counts
	FetchWithin      time.Duration // time in which a node must have requested the endpoint list
	DrainGrace       time.Duration // time after which nothing may be sent to a draining backend
	SlowStartFloor   float64       // minimum fraction of its capacity that a backend starts with
	SlowStartTime    time.Duration // time after its start at which a backend is warm at the latest
	OverloadMultiple float64       // a backend in slow start fails if it is sent more than this multiple of its capacity
	OverloadTime     time.Duration // for this long
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts int  // per request, including the first one
	Cancel      bool // attempts may be cancelled
	Hedging     bool // a request may have two attempts in flight
}

// Settings describe a deployment as one node sees it. Names are for the log and for snapshots; everything else
// refers to classes, tenants, zones and kinds by their index in these slices.
type Settings struct {
	Nodes          int // number of nodes that send requests to these backends
	Node           int // index of this node among them
	Zone           int // index of the zone of this node
	Classes        []Class
	Tenants        []Tenant // may be empty
	Zones          []string
	Kinds          []string
	Weights        WeightMeaning
	OverQuotaValue float64 // value of a request above its tenant's quota, as a fraction of its class's value
	WatchEndpoints bool    // the endpoint list arrives only after a subscription with Actions.Watch
	Limits         Limits
	Prices         Prices
	Rules          Rules
}

// FetchSpread returns the interval over which the nodes spread their first calls for the list, as one service
// handles all.
func (s *Settings) FetchSpread() time.Duration {
	return min(s.Rules.FetchWithin/2, time.Duration(s.Nodes)*100*time.Millisecond)
}

// ErrSettings is wrapped by the errors that New returns for invalid settings.
var ErrSettings = errors.New("settings")

// checkSettings returns an error that names the first invalid field.
func checkSettings(settings *Settings, actions Actions) error {
	switch {
	case actions == nil:
		return errors.New("actions are nil")
	case settings.Nodes < 1:
		return fmt.Errorf("field Nodes is %d, must be at least 1", settings.Nodes)
	case len(settings.Classes) == 0:
		return errors.New("field Classes is empty")
	case settings.Zone < 0 || settings.Zone >= len(settings.Zones):
		return fmt.Errorf("field Zone is %d, must be an index of the %d Zones", settings.Zone, len(settings.Zones))
	case len(settings.Kinds) == 0:
		return errors.New("field Kinds is empty")
	case settings.Limits.MaxAttempts < 1:
		return fmt.Errorf("field Limits.MaxAttempts is %d, must be at least 1", settings.Limits.MaxAttempts)
	}
	for i, c := range settings.Classes {
		if c.Target <= 0 || c.Deadline < c.Target || !(c.Value >= 0) {
			return fmt.Errorf("field Classes[%d] must have 0 < Target <= Deadline and a Value of 0 or more", i)
		}
	}
	return nil
}
