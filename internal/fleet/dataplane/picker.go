package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// picker implements proxy.Picker with a balancer for each service. One lock guards all balancers, which run on the
// node's clock.
type picker struct {
	now    func() time.Duration
	node   int                   // this node's number, see nodeNumber
	report func([]routing.Event) // called with the events of this node's attempts

	mu        sync.Mutex
	balancers map[string]*routing.Balancer // by service
}

func newPicker(now func() time.Duration, node int, report func([]routing.Event)) *picker {
	return &picker{now: now, node: node, report: report, balancers: map[string]*routing.Balancer{}}
}

// reportEvents reports the events that the balancer has recorded. The caller holds the lock.
func (p *picker) reportEvents(balancer *routing.Balancer) {
	if events := balancer.DrainEvents(); len(events) > 0 {
		p.report(events)
	}
}

// observe applies the packed events of other nodes' attempts.
func (p *picker) observe(packed []byte) {
	events, err := routing.UnpackEvents(packed)
	if err != nil { // sent by a control process of another version: the node relies on its own attempts
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

// update applies a configuration and the registry of backends. A service keeps its balancer, including what that
// has measured.
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
			if err != nil { // all values above are within the valid range
				panic(err)
			}
			balancer = created
			p.balancers[service] = balancer
		}
		balancer.SetBackends(p.now(), ignoreWidespreadLateness(backends[service]))
	}
}

// kvTokensOf returns the capacity in tokens of the KV cache of each of a service's backends, 0 if the
// configuration does not state it.
func kvTokensOf(table *operator.Table, service string) float64 {
	if found := table.Services[service]; found != nil {
		return found.KvTokens
	}
	return 0
}

// ignoreWidespreadLateness clears the late flag of all backends if most of them have it: the cause is then
// probably that the control plane does not receive their heartbeats.
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

// objectives returns the longest latency target and the longest timeout of the routes to a service, or one second
// each if there is no route to it.
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

// Pick chooses a backend of a service. It returns nil if no backend may receive the request. The request's
// Deadline is passed as the remaining time; Pick converts it to a time on the node's clock.
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

// FirstToken records that the first token of an attempt's response has been received.
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

// Unreachable records that the backend of an attempt could not be reached, and reports this to the other nodes.
func (p *picker) Unreachable(service string, attempt *routing.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	balancer := p.balancers[service]
	balancer.Unreachable(p.now(), attempt)
	p.reportEvents(balancer)
}

// backendStatus is the status of a backend in statusBody. Its keys must not change, as operators' tools read them.
// Values for all nodes include those attempts of other nodes whose events have reached this one.
type backendStatus struct {
	ID          string  `json:"ID"`
	Share       float64 `json:"Share"`    // of this node's load
	Latency     string  `json:"Latency"`  // to the first token
	Slow        float64 `json:"Slow"`     // factor by which it is slower than the others
	Ejected     bool    `json:"Away"`     // by this node's balancer
	InFlight    int     `json:"InFlight"` // attempts of this node
	Prefilling  int     `json:"Reading"`  // attempts of all nodes that wait for their first token
	Decoding    int     `json:"Running"`  // long responses of all nodes
	QueueDelay  string  `json:"Wait"`     // until it has processed the prompts sent to it
	Slowdown    float64 `json:"Pace"`     // factor on the usual time to the first token
	FailureRate float64 `json:"Failing"`  // fraction of its attempts, 0 to 1
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
