package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// placer holds the services' routing behind a lock.
type placer struct {
	now  func() time.Duration
	node int

	announce func([]routing.Event)

	mu       sync.Mutex
	services map[string]*routing.Service
}

func newPlacer(now func() time.Duration, node int, announce func([]routing.Event)) *placer {
	return &placer{now: now, node: node, announce: announce, services: map[string]*routing.Service{}}
}

// tell has other nodes told of this node's attempts.
func (p *placer) tell(service *routing.Service) {
	if events := service.TakeEvents(); len(events) > 0 {
		p.announce(events)
	}
}

// heard takes what other nodes told.
func (p *placer) heard(packed []byte) {
	events, err := routing.UnpackEvents(packed)
	if err != nil { // a control process of another version: the node goes by its own attempts
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i := range events {
		for _, service := range p.services {
			if service.Heard(now, &events[i]) {
				break
			}
		}
	}
}

// update takes configuration and raters.
func (p *placer) update(table *operator.Table, raters []registry.Record, nodes int) {
	if table == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lists := make(map[string][]routing.Rater)
	for _, record := range raters {
		lists[record.Backend] = append(lists[record.Backend], routing.Rater{ID: record.ID, Address: record.Address,
			Slots: record.Slots, Memory: memoryOf(table, record.Backend), Late: record.Late, Draining: record.State == registry.Draining})
	}
	for name := range table.Services {
		service := p.services[name]
		if service == nil {
			aim, deadline := objectives(table, name)
			made, err := routing.NewService(routing.Options{Aim: aim, Deadline: deadline, Nodes: nodes, Node: p.node, Seed: rand.Uint64()})
			if err != nil { // the options above are in range
				panic(err)
			}
			service = made
			p.services[name] = service
		}
		service.SetRaters(p.now(), believed(lists[name]))
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
func believed(raters []routing.Rater) []routing.Rater {
	late := 0
	for _, one := range raters {
		if one.Late {
			late++
		}
	}
	if 2*late <= len(raters) {
		return raters
	}
	for i := range raters {
		raters[i].Late = false
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

// Place chooses a rater.
func (p *placer) Place(name string, request *routing.Request) *routing.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.services[name]
	if service == nil {
		return nil
	}
	now := p.now()
	request.Deadline += now
	ticket := service.Place(now, request)
	p.tell(service)
	return ticket
}

// Begun takes the first token of an answer.
func (p *placer) Begun(name string, ticket *routing.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.services[name]
	service.Begun(p.now(), ticket)
	p.tell(service)
}

// End takes the end of an attempt.
func (p *placer) End(name string, ticket *routing.Ticket, result routing.Result, load routing.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.services[name]
	service.End(p.now(), ticket, result, load)
	p.tell(service)
}

// Unreachable takes the news that the rater of an attempt could not be reached, and tells the other nodes.
func (p *placer) Unreachable(name string, ticket *routing.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.services[name]
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

func (p *placer) status() map[string][]raterStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string][]raterStatus, len(p.services))
	for name, service := range p.services {
		for _, view := range service.View(p.now()).Backends {
			load := service.Load(p.now(), service.Name(view.ID))
			all[name] = append(all[name], raterStatus{ID: service.Name(view.ID), Share: view.Share, Reading: load.Reading,
				Running: load.Running, Wait: load.Wait.Round(time.Millisecond).String(), Pace: load.Pace, Failing: load.Failing,
				Latency: view.Latency.Round(time.Microsecond).String(), Slow: view.Slow, Away: view.Away, InFlight: view.Out})
		}
	}
	return all
}
