package datanode

import (
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// placer holds the services' routing behind a lock.
type placer struct {
	now  func() time.Duration
	node int

	announce func(distribution.Notice)

	mu       sync.Mutex
	services map[string]*routing.Service
}

func newPlacer(now func() time.Duration, node int, announce func(distribution.Notice)) *placer {
	return &placer{now: now, node: node, announce: announce, services: map[string]*routing.Service{}}
}

// tell has other nodes told where a long prompt is being read, or has been.
func (p *placer) tell(service string, ticket *routing.Ticket, ended bool) {
	if ticket == nil {
		return
	}
	if reading, long := ticket.Announcement(ended); long {
		p.announce(distribution.Notice{Service: service, Reading: reading})
	}
}

// heard takes what other nodes told.
func (p *placer) heard(notices []distribution.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, notice := range notices {
		if service := p.services[notice.Service]; service != nil {
			service.Heard(p.now(), []routing.Reading{notice.Reading})
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
			Slots: record.Slots, Late: record.Late, Draining: record.State == registry.Draining})
	}
	for name := range table.Backends {
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
	p.tell(name, ticket, false)
	return ticket
}

// Begun takes the first token of an answer.
func (p *placer) Begun(name string, ticket *routing.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[name].Begun(p.now(), ticket)
	p.tell(name, ticket, true)
}

// End takes the end of an attempt.
func (p *placer) End(name string, ticket *routing.Ticket, result routing.Result, load routing.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services[name].End(p.now(), ticket, result, load) {
		p.tell(name, ticket, true)
	}
}

// Unreachable takes the news that the rater of an attempt could not be reached, and tells the other nodes.
func (p *placer) Unreachable(name string, ticket *routing.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[name].Unreachable(p.now(), ticket)
	p.announce(distribution.Notice{Service: name, Reading: routing.Reading{Rater: ticket.Rater.ID, Down: true}})
}

// raterStatus tells people of one rater.
type raterStatus struct {
	ID       string
	Share    float64
	Latency  string
	Slow     float64
	Away     bool
	InFlight int
}

func (p *placer) status() map[string][]raterStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string][]raterStatus, len(p.services))
	for name, service := range p.services {
		for _, view := range service.View(p.now()).Backends {
			all[name] = append(all[name], raterStatus{ID: service.Name(view.ID), Share: view.Share,
				Latency: view.Latency.Round(time.Microsecond).String(), Slow: view.Slow, Away: view.Away, InFlight: view.Out})
		}
	}
	return all
}
