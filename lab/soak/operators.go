package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/behaviour"
	"linenwheel.dev/linenwheel/lab/soak/record"
	"linenwheel.dev/linenwheel/lab/soak/schedule"
)

// Terms of an operator's calls.
const (
	operatorCall  = time.Second
	operatorPause = 50 * time.Millisecond
	clearWithin   = 8 * time.Second // after which an order without a clear answer is given up
)

// operators change the configuration. Their methods are called by one goroutine, but for known.
type operators struct {
	addresses []string // of control processes
	records   *record.Writer
	initial   configuration
	current   configuration // as far as they know
	revision  int64         // the highest that was used
	newRoutes int
	latest    *sentOrder // the last one that was acknowledged, nil if another one was sent since

	mu    sync.Mutex
	known knowledge
}

// knowledge is what clients know of the configuration.
type knowledge struct {
	routes  []route
	tenants []tenant
	revoked []string // keys that were taken away at some time
	removed []string // prefixes of routes that were removed at some time
}

// sentOrder is an order of an operator.
type sentOrder struct {
	method    string
	base      int64
	revision  int64
	body      string
	behaviour behaviour.Name
	invalid   bool
}

func newOperators(addresses []string, records *record.Writer, first configuration) *operators {
	return &operators{addresses: addresses, records: records, initial: first.clone()}
}

// Known returns what clients know.
func (o *operators) Known() knowledge {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known
}

// publish tells the clients what the configuration is now.
func (o *operators) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.current.clone()
	revoked, removed := slices.Clone(o.known.revoked), slices.Clone(o.known.removed)
	for _, one := range o.known.tenants {
		for _, key := range one.APIKeys {
			if !holds(next.Tenants, key) && !slices.Contains(revoked, key) {
				revoked = append(revoked, key)
			}
		}
	}
	for _, one := range o.known.routes {
		if !slices.ContainsFunc(next.Routes, func(r route) bool { return r.Name == one.Name }) {
			removed = append(removed, one.PathPrefix)
		}
	}
	o.known = knowledge{routes: next.Routes, tenants: next.Tenants, revoked: revoked, removed: removed}
}

// holds reports whether one of the tenants holds a key.
func holds(tenants []tenant, key string) bool {
	return slices.ContainsFunc(tenants, func(t tenant) bool { return slices.Contains(t.APIKeys, key) })
}

// first has the first configuration taken.
func (o *operators) first() error {
	body := o.initial.clone()
	body.Revision = 1
	o.revision = 1
	order := &sentOrder{method: http.MethodPut, base: 0, revision: 1, body: encode(body), behaviour: behaviour.WholeDocument}
	for deadline := time.Now().Add(startWithin); time.Now().Before(deadline); {
		if status := o.send(order); status == http.StatusOK {
			o.current = body
			o.publish()
			return nil
		}
	}
	return fmt.Errorf("the first configuration was not taken within %v", startWithin)
}

// step plays one step of the plan.
func (o *operators) step(step schedule.Order) {
	random := rand.New(rand.NewPCG(step.Seed, 2))
	switch step.Behaviour {
	case behaviour.ReadsBack:
		o.read(random.IntN(len(o.addresses)), false)
	case behaviour.SendsAgain:
		if o.latest != nil {
			again := *o.latest
			again.behaviour = step.Behaviour
			o.send(&again)
		}
	case behaviour.SendsInvalid, behaviour.RemovesService:
		o.send(o.invalid(random, step.Behaviour))
	case behaviour.StaleBase:
		if o.current.Revision > 1 {
			next, patch := o.change(random, behaviour.AltersRoute)
			o.send(o.order(next, patch, o.current.Revision-1, step.Behaviour))
		}
	case behaviour.TwoAtOnce:
		o.twoAtOnce(random)
	default:
		next, patch := o.change(random, step.Behaviour)
		o.submit(next, o.order(next, patch, o.current.Revision, step.Behaviour))
	}
}

// change returns the configuration after a change, and the PATCH that makes it; nil for a whole document.
func (o *operators) change(random *rand.Rand, kind behaviour.Name) (*configuration, *patch) {
	next := o.current.clone()
	o.revision += 1 + random.Int64N(3)
	next.Revision = o.revision
	p := &patch{Revision: next.Revision}
	switch kind {
	case behaviour.AddsRoute:
		o.newRoutes++
		added := drawRoute(random, fmt.Sprintf("n%d", o.newRoutes))
		next.Routes, p.Upsert.Routes = append(next.Routes, added), []route{added}
	case behaviour.AltersRoute, behaviour.SplitsRoute, behaviour.Storm:
		i := random.IntN(len(next.Routes))
		next.Routes[i].TimeoutMs = 4000 + random.IntN(1000)
		next.Routes[i].Backend, next.Routes[i].TrafficSplit = services[random.IntN(2)], nil
		if kind == behaviour.SplitsRoute {
			next.Routes[i].Backend = ""
			next.Routes[i].TrafficSplit = []split{{services[0], random.IntN(10)}, {services[1], 1 + random.IntN(9)}}
		}
		p.Upsert.Routes = next.Routes[i : i+1]
	case behaviour.RemovesRoute:
		if i := slices.IndexFunc(next.Routes, func(r route) bool { return r.Name[0] == 'n' }); i >= 0 {
			p.Remove.Routes = []string{next.Routes[i].Name}
			next.Routes = slices.Delete(next.Routes, i, i+1)
		}
	case behaviour.ChangesLimits:
		next.Limits.MaxHeaderBytes = maxHeader + random.IntN(maxHeader)
		p.Limits = &next.Limits
	case behaviour.WholeDocument:
		return &next, nil
	default:
		o.changeTenants(random, kind, &next, p)
	}
	return &next, p
}

// changeTenants is change for the changes of tenants.
func (o *operators) changeTenants(random *rand.Rand, kind behaviour.Name, next *configuration, p *patch) {
	if kind == behaviour.PutsBack {
		next.Tenants = o.initial.clone().Tenants
		for _, one := range o.current.Tenants {
			if !slices.ContainsFunc(next.Tenants, func(t tenant) bool { return t.Name == one.Name }) {
				p.Remove.Tenants = append(p.Remove.Tenants, one.Name)
			}
		}
		p.Upsert.Tenants = next.Tenants
		return
	}
	if kind == behaviour.RemovesLast {
		for _, one := range next.Tenants {
			p.Remove.Tenants = append(p.Remove.Tenants, one.Name)
		}
		next.Tenants = []tenant{}
		return
	}
	if len(next.Tenants) == 0 {
		return
	}
	i := random.IntN(len(next.Tenants))
	changed := next.Tenants[i]
	changed.APIKeys = slices.Clone(changed.APIKeys)
	switch kind {
	case behaviour.RemovesTenant:
		p.Remove.Tenants = []string{changed.Name}
		next.Tenants = slices.Delete(next.Tenants, i, i+1)
		return
	case behaviour.AddsKey:
		changed.APIKeys = append(changed.APIKeys, fmt.Sprintf("key-of-revision-%d", next.Revision))
	case behaviour.RemovesKey:
		changed.APIKeys = changed.APIKeys[min(1, len(changed.APIKeys)):]
	case behaviour.LowersLimit:
		changed.RatePerS = limitedPerS + random.IntN(limitedPerS)
	}
	next.Tenants[i] = changed
	p.Upsert.Tenants = []tenant{changed}
}

// patch is the body of a PATCH.
type patch struct {
	Revision int64
	Upsert   struct {
		Routes   []route   `json:",omitempty"`
		Backends []service `json:",omitempty"`
		Tenants  []tenant  `json:",omitempty"`
	}
	Remove struct {
		Routes   []string `json:",omitempty"`
		Backends []string `json:",omitempty"`
		Tenants  []string `json:",omitempty"`
	}
	Limits *limits `json:",omitempty"`
}

// order returns the order that makes a change on a base.
func (o *operators) order(next *configuration, p *patch, base int64, kind behaviour.Name) *sentOrder {
	order := &sentOrder{method: http.MethodPatch, base: base, revision: next.Revision, behaviour: kind}
	if p == nil {
		order.method, order.body = http.MethodPut, encode(next)
		return order
	}
	order.body = encode(p)
	return order
}

// submit sends an order and, if it was taken, has its configuration be the current one. Without a clear answer, or where another
// version is current, the current one is read.
func (o *operators) submit(next *configuration, order *sentOrder) {
	if o.send(order) == http.StatusOK {
		o.current, o.latest = *next, order
		o.publish()
		return
	}
	o.resync()
}

// resync reads the current configuration.
func (o *operators) resync() {
	for deadline := time.Now().Add(clearWithin); time.Now().Before(deadline); time.Sleep(operatorPause) {
		for i := range o.addresses {
			if body, status := o.read(i, false); status == http.StatusOK {
				var read configuration
				if json.Unmarshal([]byte(body), &read) == nil && read.Revision > 0 {
					o.current = read
					o.publish()
				}
				return
			}
		}
	}
}

// twoAtOnce sends two changes on the same base at the same time.
func (o *operators) twoAtOnce(random *rand.Rand) {
	a, patchA := o.change(random, behaviour.AltersRoute)
	b, patchB := o.change(random, behaviour.AddsRoute)
	base := o.current.Revision
	var both sync.WaitGroup
	both.Go(func() { o.sendTo(o.order(a, patchA, base, behaviour.TwoAtOnce), 0) })
	both.Go(func() { o.sendTo(o.order(b, patchB, base, behaviour.TwoAtOnce), 1) })
	both.Wait()
	o.latest = nil
	o.resync()
}

// invalid returns an order that the pages call invalid, on the current version.
func (o *operators) invalid(random *rand.Rand, kind behaviour.Name) *sentOrder {
	o.revision++
	known := o.current.Routes[0]
	wrong := drawRoute(random, "wrong")
	wrong.Backend, wrong.TrafficSplit = services[0], nil
	p := patch{Revision: o.revision}
	order := &sentOrder{method: http.MethodPatch, base: o.current.Revision, revision: o.revision, behaviour: kind, invalid: true}
	if kind == behaviour.RemovesService {
		p.Remove.Backends = services[:2]
		order.body = encode(p)
		return order
	}
	switch random.IntN(9) {
	case 0:
		wrong.Backend = "nobody"
	case 1:
		wrong.PathPrefix = known.PathPrefix
	case 2:
		wrong.PathPrefix, wrong.Hostname = known.PathPrefix, "SOAK.example"
	case 3:
		wrong.Backend, wrong.TrafficSplit = "nobody", []split{{services[0], 1}}
	case 4:
		wrong.Backend, wrong.TrafficSplit = "", []split{{services[0], 0}}
	case 5:
		wrong.TimeoutMs = 0
	case 6:
		p.Revision, order.revision = o.current.Revision, o.current.Revision
	case 7:
		p.Upsert.Tenants = []tenant{{Name: "x", APIKeys: []string{"shared"}}, {Name: "y", APIKeys: []string{"shared"}}}
	case 8:
		p.Upsert.Routes = []route{wrong}
		order.body = encode(p)[:40]
		return order
	}
	p.Upsert.Routes = []route{wrong}
	order.body = encode(p)
	return order
}

// send sends an order to one control process after the other until the answer is clear, and records it. It returns 0 if none was.
func (o *operators) send(order *sentOrder) int {
	if order.behaviour != behaviour.SendsAgain {
		o.latest = nil
	}
	return o.sendTo(order, int(order.revision))
}

// sendTo is send, beginning with one of the control processes.
func (o *operators) sendTo(order *sentOrder, first int) int {
	sentAt := time.Now()
	status := 0
	for deadline := sentAt.Add(clearWithin); status == 0 && time.Now().Before(deadline); {
		status = o.call(order, o.addresses[first%len(o.addresses)])
		if first++; status == 0 {
			time.Sleep(operatorPause)
		}
	}
	o.records.Write(record.Entry{At: sentAt.UnixNano(), Order: &record.Order{Method: order.method, Base: order.base, Revision: order.revision, Body: order.body,
		Behaviour: string(order.behaviour), Invalid: order.invalid, Status: status, AckedAt: time.Now().UnixNano()}})
	return status
}

// call sends an order once. It returns 0 if the answer is not clear.
func (o *operators) call(order *sentOrder, address string) int {
	request, err := http.NewRequest(order.method, "http://"+address+"/-/config", bytes.NewReader([]byte(order.body)))
	if err != nil {
		return 0
	}
	request.Header.Set("If-Match", fmt.Sprint(order.base))
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusRequestTimeout ||
		response.StatusCode == http.StatusTooManyRequests {
		return 0
	}
	return response.StatusCode
}

// operatorClient opens a connection for each call.
var operatorClient = &http.Client{Timeout: operatorCall, Transport: &http.Transport{DisableKeepAlives: true}}

// read reads the configuration from one control process, and records it.
func (o *operators) read(number int, final bool) (body string, status int) {
	address := o.addresses[number%len(o.addresses)]
	sentAt := time.Now()
	if response, err := operatorClient.Get("http://" + address + "/-/config"); err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			body, status = string(text), response.StatusCode
		}
	}
	o.records.Write(record.Entry{At: sentAt.UnixNano(), Read: &record.Read{Status: status, Body: body, Machine: address, Final: final, EndedAt: time.Now().UnixNano()}})
	return body, status
}

// readFinal reads the configuration from each control process at the end, until one has answered or the time is over.
func (o *operators) readFinal(within time.Duration) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(operatorPause) {
		answered := false
		for i := range o.addresses {
			_, status := o.read(i, true)
			answered = answered || status == http.StatusOK
		}
		if answered {
			return
		}
	}
}
