package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// picker holds a balancer for each service, behind one lock and on the node's clock. It is the proxy's Picker.
type picker struct {
	now    func() time.Duration
	node   int                   // number of this node, see nodeNumber
	report func([]routing.Event) // takes the events of this node's attempts

	mu        sync.Mutex
	balancers map[string]*routing.Balancer // by service
}

func newPicker(now func() time.Duration, node int, report func([]routing.Event)) *picker {
	return &picker{now: now, node: node, report: report, balancers: map[string]*routing.Balancer{}}
}

// reportEvents hands on the events that the balancer has recorded. The caller holds the lock.
func (p *picker) reportEvents(balancer *routing.Balancer) {
	if events := balancer.DrainEvents(); len(events) > 0 {
		p.report(events)
	}
}

// observe applies the packed events of other nodes' attempts.
func (p *picker) observe(packed []byte) {
	events, err := routing.UnpackEvents(packed)
	if err != nil { // from a control process of another version: the node goes by its own attempts
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i := range events {
		for _, balancer := range p.balancers {
			if balancer.Observe(now, &events[i]) {
				break
			}
		}
	}
}

// update applies a configuration and the registry of backends. A service keeps its balancer, and what that has learned.
func (p *picker) update(table *operator.Table, records []registry.Record, nodes int) {
	if table == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	backends := make(map[string][]routing.Backend)
	for _, record := range records {
		backends[record.Backend] = append(backends[record.Backend], routing.Backend{ID: record.ID, Address: record.Address,
			Slots: record.Slots, KVTokens: kvTokensOf(table, record.Backend), HeartbeatLate: record.Late, Draining: record.State == registry.Draining})
	}
	for service := range table.Services {
		balancer := p.balancers[service]
		if balancer == nil {
			target, deadline := objectives(table, service)
			created, err := routing.NewBalancer(routing.Config{Target: target, Deadline: deadline, Nodes: nodes, Node: p.node, Seed: rand.Uint64()})
			if err != nil { // the values above are in range
				panic(err)
			}
			balancer = created
			p.balancers[service] = balancer
		}
		balancer.SetBackends(p.now(), ignoreWidespreadLateness(backends[service]))
	}
}

// kvTokensOf returns how many tokens the KV cache of a service's backends holds, 0 where the configuration does not say.
func kvTokensOf(table *operator.Table, name string) float64 {
	if service := table.Services[name]; service != nil {
		return service.KvTokens
	}
	return 0
}

// ignoreWidespreadLateness clears the late flag of all backends where most of them have it: then it is the control plane that
// does not receive their heartbeats.
func ignoreWidespreadLateness(backends []routing.Backend) []routing.Backend {
	late := 0
	for _, backend := range backends {
		if backend.HeartbeatLate {
			late++
		}
	}
	if 2*late <= len(backends) {
		return backends
	}
	for i := range backends {
		backends[i].HeartbeatLate = false
	}
	return backends
}

// objectives returns the longest latency target and the longest timeout of the routes to a service, a second each where no route
// leads there.
func objectives(table *operator.Table, service string) (target, deadline time.Duration) {
	for _, route := range table.Routes() {
		if route.Allows(service) {
			target, deadline = max(target, route.Target), max(deadline, route.Timeout)
		}
	}
	if target == 0 {
		target, deadline = time.Second, time.Second
	}
	return target, max(target, deadline)
}

// Pick chooses a backend of a service. It returns nil where none may get the request. The request's Deadline is the time that is
// left; Pick turns it into a time of the node's clock.
func (p *picker) Pick(service string, request *routing.Request) *routing.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	balancer := p.balancers[service]
	if balancer == nil {
		return nil
	}
	now := p.now()
	request.Deadline += now
	attempt := balancer.Pick(now, request)
	p.reportEvents(balancer)
	return attempt
}

// FirstToken records that the first token of an attempt's response has come.
func (p *picker) FirstToken(service string, attempt *routing.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	balancer := p.balancers[service]
	balancer.FirstToken(p.now(), attempt)
	p.reportEvents(balancer)
}

// Done records the end of an attempt.
func (p *picker) Done(service string, attempt *routing.Attempt, result routing.Result, load routing.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	balancer := p.balancers[service]
	balancer.Done(p.now(), attempt, result, load)
	p.reportEvents(balancer)
}

// Unreachable records that the backend of an attempt could not be reached, and reports it to the other nodes.
func (p *picker) Unreachable(service string, attempt *routing.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	balancer := p.balancers[service]
	balancer.Unreachable(p.now(), attempt)
	p.reportEvents(balancer)
}

// backendStatus is one backend in the status body. Its keys are those that operators have always had. What is said of all nodes
// is that as far as their events have reached this one.
type backendStatus struct {
	ID          string  `json:"ID"`
	Share       float64 `json:"Share"`    // of this node's load
	Latency     string  `json:"Latency"`  // to the first token
	Slow        float64 `json:"Slow"`     // times slower than the others
	Ejected     bool    `json:"Away"`     // by this node
	InFlight    int     `json:"InFlight"` // attempts of this node
	Prefilling  int     `json:"Reading"`  // attempts of all nodes whose first token has not come
	Decoding    int     `json:"Running"`  // long responses of all nodes
	QueueDelay  string  `json:"Wait"`     // until it is done with the prompts that it has
	Slowdown    float64 `json:"Pace"`     // times the usual time to the first token
	FailureRate float64 `json:"Failing"`  // of its attempts, 0 to 1
}

// status returns the backends of each service.
func (p *picker) status() map[string][]backendStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string][]backendStatus, len(p.balancers))
	for service, balancer := range p.balancers {
		for _, view := range balancer.View(p.now()).Backends {
			id := balancer.BackendID(view.ID)
			load := balancer.Load(p.now(), id)
			all[service] = append(all[service], backendStatus{ID: id, Share: view.Share, Prefilling: load.Prefilling,
				Decoding: load.Decoding, QueueDelay: load.QueueDelay.Round(time.Millisecond).String(), Slowdown: load.Slowdown, FailureRate: load.FailureRate,
				Latency: view.Latency.Round(time.Microsecond).String(), Slow: view.Slowdown, Ejected: view.Ejected, InFlight: view.InFlight})
		}
	}
	return all
}
