package node

import (
	"cmp"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Status is the state of a node, for people and programs. Times are milliseconds, points in time since the Unix
// epoch.
type Status struct {
	Name      string         `json:"name"`
	Address   string         `json:"address"`
	Release   string         `json:"release"`
	PID       int            `json:"pid"`
	Since     float64        `json:"since"`
	Now       float64        `json:"now"`
	Phase     string         `json:"phase"`           // starting, waiting, serving, stopping, handing over
	From      string         `json:"from,omitempty"`  // the process that this one took over from
	Last      string         `json:"last,omitempty"`  // how the previous process ended, where that is recorded
	Stuck     string         `json:"stuck,omitempty"` // the loop that does not respond to its watchdog
	Instances int            `json:"instances"`
	Open      int            `json:"open"`    // open calls
	Clients   int            `json:"clients"` // client connections
	AskRate   float64        `json:"ask_rate"`
	Rate      float64        `json:"rate"` // units per second
	Part      float64        `json:"part"` // fraction of the fleet's hosts that this node uses
	Shedding  bool           `json:"shedding"`
	List      ListStatus     `json:"list"`
	Hosts     []HostStatus   `json:"hosts"`
	Endings   []EndingStatus `json:"endings"` // most recent first
	Quotas    []quota.Status `json:"quotas,omitempty"`
	Policy    *PolicyStatus  `json:"policy,omitempty"` // nil = the node uses only its own options file
	Room      *RoomStatus    `json:"room,omitempty"`   // nil = the node holds no leases of the fleet's capacity
}

// PolicyStatus describes the fleet's policy that the node applies.
type PolicyStatus struct {
	Number uint64  `json:"number"` // 0 = the fleet has none and the node's own options file applies
	Hash   string  `json:"hash,omitempty"`
	Lease  float64 `json:"lease"` // ms for which calls may begin under it without contact to the fleet, -1 = no limit
}

// RoomStatus describes the node's lease of the fleet's capacity.
type RoomStatus struct {
	Tree  string  `json:"tree"`  // hash of the quota tree
	Lease float64 `json:"lease"` // milliseconds until it expires, 0 = there is none
	Load  float64 `json:"load"`  // fraction of the capacity of the fleet's root quota
}

// ListStatus describes the list of hosts.
type ListStatus struct {
	Index int64   `json:"index"`
	Age   float64 `json:"age"` // time since discovery last answered, -1 = it has not
	Hosts int     `json:"hosts"`

	// Set only for a list of several sources, or one that is guarded or saved.
	Serving int            `json:"serving,omitempty"`
	Held    int            `json:"held,omitempty"` // hosts whose change the guard holds back
	Sources []SourceStatus `json:"sources,omitempty"`
}

// SourceStatus describes one source of the list.
type SourceStatus struct {
	Name     string  `json:"name"`
	Followed bool    `json:"followed,omitempty"`
	Revision string  `json:"revision"` // empty = it has supplied no list
	Hosts    int     `json:"hosts"`
	Away     float64 `json:"away,omitempty"`    // time for which it has not responded
	Differs  int     `json:"differs,omitempty"` // hosts that differ from the followed source
}

// HostStatus describes one host.
type HostStatus struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Status  string   `json:"status"`           // ready, draining, gone
	Health  string   `json:"health"`           // well, cold, away, trial due, spared
	Until   float64  `json:"until,omitempty"`  // remaining time for which it is ejected
	Warm    float64  `json:"warm"`             // fraction of its capacity that a cold host is certain to have, 1 = warm
	Most    float64  `json:"most,omitempty"`   // maximum rate for a cold host, units per second
	Share   float64  `json:"share"`            // fraction of this node's load
	Rate    float64  `json:"rate"`             // units per second
	Idle    float64  `json:"idle"`             // learned latency without load
	Latency float64  `json:"latency"`          // learned latency at its present load
	Slow    float64  `json:"slow"`             // factor by which it is slower than others of its type
	Open    int      `json:"open"`             // open attempts
	Overdue int      `json:"overdue"`          // open attempts that should have been answered by now
	Conns   int      `json:"conns"`            // open connections
	Unused  int      `json:"unused"`           // idle connections
	Silent  []string `json:"silent,omitempty"` // classes that it does not answer
}

// EndingStatus counts the final answers of one kind and reason.
type EndingStatus struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason,omitempty"`
	Calls  uint64 `json:"calls"`
	Last   uint64 `json:"last"` // the sequence number, among all answers, of the most recent one
}

var statusWords = map[dispatch.Status]string{dispatch.Ready: "ready", dispatch.Draining: "draining", dispatch.Removed: "gone"}

// Status returns the current state of the node. Release, PID, From, Last and Stuck are left for the caller that
// runs the process to set.
func (n *Node) Status() Status {
	v := n.dispatcher.View()
	index, at := n.watcher.LastAnswer()
	s := Status{Name: n.conf.Name, Address: n.loop.Addr(), Since: n.startedAt, Now: v.Now, Phase: n.phaseNow(),
		Instances: n.fleetSize, Open: n.core.Unanswered(), Clients: n.httpServer.Connections(), AskRate: v.ArrivalRate, Rate: v.Rate,
		Part: v.SubsetFraction, Shedding: v.Shedding, List: ListStatus{Index: index, Age: -1, Hosts: len(v.Hosts)}, Hosts: []HostStatus{}}
	if at > 0 {
		s.List.Age = v.Now - at
	}
	if n.endpointList != nil {
		n.endpointList.status(&s.List, v.Now)
	}
	uses := n.pool.Uses()
	for _, h := range v.Hosts {
		s.Hosts = append(s.Hosts, n.hostStatus(h, v.Now))
		u := uses[h.Name]
		s.Hosts[len(s.Hosts)-1].Conns, s.Hosts[len(s.Hosts)-1].Unused = u.Open, u.Idle
	}
	for _, e := range n.core.AnswerCounts() {
		s.Endings = append(s.Endings, EndingStatus{e.Kind.String(), e.Reason, e.Calls, e.Last})
	}
	slices.SortFunc(s.Endings, func(a, b EndingStatus) int { return cmp.Compare(b.Last, a.Last) })
	s.Quotas = n.Quotas()
	if n.policyGate != nil {
		number, hash, until := n.policyGate.InForce()
		if s.Policy = (&PolicyStatus{number, hash, max(0, until-n.clock.Now())}); math.IsInf(until, 1) {
			s.Policy.Lease = -1
		}
	}
	if n.quota != nil {
		if tree, until, load, ok := n.quota.LeaseStatus(); ok {
			s.Room = &RoomStatus{tree, max(0, until-n.clock.Now()), load}
		}
	}
	return s
}

func (n *Node) hostStatus(h dispatch.HostView, now float64) HostStatus {
	m := h.Module
	s := HostStatus{Name: h.Name, Address: h.Address, Status: statusWords[h.Status], Health: "well", Warm: m.CapacityFraction,
		Share: m.Share, Rate: m.Rate, Idle: float64(m.IdleLatency) / 1e6, Latency: float64(m.Latency) / 1e6, Slow: m.Slowdown,
		Open: m.InFlight, Overdue: m.Overdue}
	if !math.IsInf(m.SlowStartLimit, 1) {
		s.Most = m.SlowStartLimit
	}
	until := float64(m.EjectedUntil)/1e6 - now
	switch {
	case m.Ejected && until > 0:
		s.Health, s.Until = "away", until
	case m.Ejected:
		s.Health = "trial due"
	case m.CapacityFraction < 1:
		s.Health = "cold"
	case !m.InSubset:
		s.Health = "spared"
	}
	for _, class := range m.EjectedClasses {
		s.Silent = append(s.Silent, n.conf.Settings.Classes[class].Name)
	}
	return s
}

const phaseServing = "serving"

// phaseNow returns the phase of the node's life.
func (n *Node) phaseNow() string {
	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	switch {
	case closed(n.handedOver):
		return "handing over"
	case closed(n.stopping):
		return "stopping"
	case !closed(n.ready):
		return "starting"
	case !n.loop.Accepting():
		return "waiting"
	}
	return phaseServing
}
