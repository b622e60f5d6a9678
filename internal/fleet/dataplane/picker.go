package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// picker holds the services' routing behind a lock.
type picker struct {
	now  func() time.Duration
	node int

	announce func([]routing.Event)

	mu        sync.Mutex
	balancers map[string]*routing.Balancer
}

func newPicker(now func() time.Duration, node int, announce func([]routing.Event)) *picker {
	return &picker{now: now, node: node, announce: announce, balancers: map[string]*routing.Balancer{}}
}

// tell has other nodes told of this node's attempts.
func (p *picker) tell(service *routing.Balancer) {
	if events := service.DrainEvents(); len(events) > 0 {
		p.announce(events)
	}
}

// heard takes what other nodes told.
func (p *picker) heard(packed []byte) {
	events, err := routing.UnpackEvents(packed)
	if err != nil { // a control process of another version: the node goes by its own attempts
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i := range events {
		for _, service := range p.balancers {
			if service.Observe(now, &events[i]) {
				break
			}
		}
	}
}

// update takes configuration and raters.
func (p *picker) update(table *operator.Table, raters []registry.Record, nodes int) {
	if table == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lists := make(map[string][]routing.Backend)
	for _, record := range raters {
		lists[record.Backend] = append(lists[record.Backend], routing.Backend{ID: record.ID, Address: record.Address,
			Slots: record.Slots, KVTokens: memoryOf(table, record.Backend), HeartbeatLate: record.Late, Draining: record.State == registry.Draining})
	}
	for name := range table.Services {
		service := p.balancers[name]
		if service == nil {
			aim, deadline := objectives(table, name)
			made, err := routing.NewBalancer(routing.Config{Target: aim, Deadline: deadline, Nodes: nodes, Node: p.node, Seed: rand.Uint64()})
			if err != nil { // the options above are in range
				panic(err)
			}
			service = made
			p.balancers[name] = service
		}
		service.SetBackends(p.now(), believed(lists[name]))
	}
}

// memoryOf is how many tokens a rater of a service can hold, 0 where the configuration does not say so.
func memoryOf(table *operator.Table, service string) float64 {
	if backend := table.Services[service]; backend != nil {
		return backend.KvTokens
	}
	return 0
}

// believed drops the notice that raters are late where it is about most of them: then it is control that does not hear.
func believed(raters []routing.Backend) []routing.Backend {
	late := 0
	for _, one := range raters {
		if one.HeartbeatLate {
			late++
		}
	}
	if 2*late <= len(raters) {
		return raters
	}
	for i := range raters {
		raters[i].HeartbeatLate = false
	}
	return raters
}

// objectives are the longest latency objective and timeout of the routes to a service.
func objectives(table *operator.Table, service string) (aim, deadline time.Duration) {
	for _, route := range table.Routes() {
		if route.Allows(service) {
			aim, deadline = max(aim, route.Target), max(deadline, route.Timeout)
		}
	}
	if aim == 0 {
		aim, deadline = time.Second, time.Second
	}
	return aim, max(aim, deadline)
}

// Pick chooses a rater.
func (p *picker) Pick(name string, request *routing.Request) *routing.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.balancers[name]
	if service == nil {
		return nil
	}
	now := p.now()
	request.Deadline += now
	ticket := service.Pick(now, request)
	p.tell(service)
	return ticket
}

// FirstToken takes the first token of an answer.
func (p *picker) FirstToken(name string, ticket *routing.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.balancers[name]
	service.FirstToken(p.now(), ticket)
	p.tell(service)
}

// Done takes the end of an attempt.
func (p *picker) Done(name string, ticket *routing.Attempt, result routing.Result, load routing.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.balancers[name]
	service.Done(p.now(), ticket, result, load)
	p.tell(service)
}

// Unreachable takes the news that the rater of an attempt could not be reached, and tells the other nodes.
func (p *picker) Unreachable(name string, ticket *routing.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.balancers[name]
	service.Unreachable(p.now(), ticket)
	p.tell(service)
}

// raterStatus tells people of one rater.
type raterStatus struct {
	ID       string
	Share    float64
	Latency  string
	Slow     float64
	Away     bool
	InFlight int
	Reading  int    // prompts of all nodes that it has not read yet, as far as this node was told
	Running  int    // long answers of all nodes, likewise
	Wait     string // until it is done with the prompts that it has to read
	Pace     float64
	Failing  float64
}

func (p *picker) status() map[string][]raterStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string][]raterStatus, len(p.balancers))
	for name, service := range p.balancers {
		for _, view := range service.View(p.now()).Backends {
			load := service.Load(p.now(), service.BackendName(view.ID))
			all[name] = append(all[name], raterStatus{ID: service.BackendName(view.ID), Share: view.Share, Reading: load.Reading,
				Running: load.Running, Wait: load.Wait.Round(time.Millisecond).String(), Pace: load.Pace, Failing: load.Failing,
				Latency: view.Latency.Round(time.Microsecond).String(), Slow: view.Slow, Away: view.Away, InFlight: view.Out})
		}
	}
	return all
}
