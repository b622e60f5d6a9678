package node

import (
	"cmp"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Status is how a node does, for people and programs. Times are milliseconds, points in time since the Unix epoch.
type Status struct {
	Name      string         `json:"name"`
	Address   string         `json:"address"`
	Release   string         `json:"release"`
	PID       int            `json:"pid"`
	Since     float64        `json:"since"`
	Now       float64        `json:"now"`
	Phase     string         `json:"phase"`           // starting, waiting, serving, stopping, handing over
	From      string         `json:"from,omitempty"`  // the process that this one took over from
	Last      string         `json:"last,omitempty"`  // how the process before ended, where that is kept
	Stuck     string         `json:"stuck,omitempty"` // the loop that does not answer its watchdog
	Instances int            `json:"instances"`
	Open      int            `json:"open"`    // calls
	Clients   int            `json:"clients"` // connections
	AskRate   float64        `json:"ask_rate"`
	Rate      float64        `json:"rate"` // units a second
	Part      float64        `json:"part"` // of the fleet that this node keeps to
	Shedding  bool           `json:"shedding"`
	List      ListStatus     `json:"list"`
	Hosts     []HostStatus   `json:"hosts"`
	Endings   []EndingStatus `json:"endings"` // the last of them first
	Quotas    []quota.Status `json:"quotas,omitempty"`
	Policy    *PolicyStatus  `json:"policy,omitempty"` // nil = the node goes by its own file
	Room      *RoomStatus    `json:"room,omitempty"`   // nil = it holds no leases of the fleet's room
}

// PolicyStatus tells which policy of the fleet's the node goes by.
type PolicyStatus struct {
	Number uint64  `json:"number"` // 0 = the fleet has none, the node's own file holds
	Hash   string  `json:"hash,omitempty"`
	Lease  float64 `json:"lease"` // ms for which calls may begin by it without word from the fleet, -1 = whatever comes
}

// RoomStatus tells of the node's lease of the fleet's room.
type RoomStatus struct {
	Tree  string  `json:"tree"`  // hash of the tree of quotas
	Lease float64 `json:"lease"` // ms that it lasts, 0 = there is none
	Load  float64 `json:"load"`  // part of all that the fleet's root can do
}

// ListStatus tells of the list of hosts.
type ListStatus struct {
	Index int64   `json:"index"`
	Age   float64 `json:"age"` // since discovery answered, -1 = it has not
	Hosts int     `json:"hosts"`

	// Of a list of several sources, or one that is guarded or kept.
	Serving int            `json:"serving,omitempty"`
	Held    int            `json:"held,omitempty"` // hosts that the guard leaves as they were
	Sources []SourceStatus `json:"sources,omitempty"`
}

// SourceStatus tells of one source of the list.
type SourceStatus struct {
	Name     string  `json:"name"`
	Followed bool    `json:"followed,omitempty"`
	Revision string  `json:"revision"` // empty = it has given no list
	Hosts    int     `json:"hosts"`
	Away     float64 `json:"away,omitempty"`    // for how long it has not been heard
	Differs  int     `json:"differs,omitempty"` // hosts that it has otherwise than the one followed
}

// HostStatus tells of one host.
type HostStatus struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Status  string   `json:"status"`           // ready, draining, gone
	Health  string   `json:"health"`           // well, cold, away, trial due, spared
	Until   float64  `json:"until,omitempty"`  // how much longer it is away
	Warm    float64  `json:"warm"`             // part of its capacity that a cold one is sure to have, 1 = warm
	Most    float64  `json:"most,omitempty"`   // that a cold one gets, units a second
	Share   float64  `json:"share"`            // of this node's load
	Rate    float64  `json:"rate"`             // units a second
	Idle    float64  `json:"idle"`             // learned latency without load,
	Latency float64  `json:"latency"`          // and at its present load
	Slow    float64  `json:"slow"`             // how many times slower than its kind
	Open    int      `json:"open"`             // relays,
	Overdue int      `json:"overdue"`          // and those that should have been answered by now
	Conns   int      `json:"conns"`            // connections,
	Unused  int      `json:"unused"`           // and those that carry nothing
	Silent  []string `json:"silent,omitempty"` // classes that it leaves unanswered
}

// EndingStatus counts final answers of one kind and reason.
type EndingStatus struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason,omitempty"`
	Calls  uint64 `json:"calls"`
	Last   uint64 `json:"last"` // the number of the last of them among all answers
}

var statusWords = map[dispatch.Status]string{dispatch.Ready: "ready", dispatch.Draining: "draining", dispatch.Removed: "gone"}

// Status gives how the node does now. Release, PID, From, Last and Stuck are for whoever runs the process to set.
func (n *Node) Status() Status {
	v := n.pilot.View()
	index, at := n.watch.LastAnswer()
	s := Status{Name: n.conf.Name, Address: n.loop.Addr(), Since: n.since, Now: v.Now, Phase: n.phaseNow(),
		Instances: n.fleet, Open: n.core.Unanswered(), Clients: n.north.Connections(), AskRate: v.ArrivalRate, Rate: v.Rate,
		Part: v.SubsetFraction, Shedding: v.Shedding, List: ListStatus{Index: index, Age: -1, Hosts: len(v.Hosts)}, Hosts: []HostStatus{}}
	if at > 0 {
		s.List.Age = v.Now - at
	}
	if n.lists != nil {
		n.lists.status(&s.List, v.Now)
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
	if n.guide != nil {
		number, hash, until := n.guide.InForce()
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

// phaseNow tells how far the node's life has come.
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
	case closed(n.yielded):
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
