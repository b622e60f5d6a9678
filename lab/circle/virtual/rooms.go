package virtual

import (
	"bytes"
	"encoding/json"
	"math"

	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Of histories of leases. Times are milliseconds.
const (
	leased     = 0.9
	leaseFor   = 400.0
	reportEach = 100.0
	usedOf     = 0.95 // of a lease: clocks run unlike,
	unlike     = 0.02 // by so much at the most
	rootRate   = 200.0
	burst      = 0.05 // seconds
	afterRooms = 1500.0
)

// The planted faults of leases.
const (
	LongerLease Wrong = "a lease gone by for longer than agreed"
	SavedRoom   Wrong = "the larger of two leases gone by"
	DropsDebt   Wrong = "a snapshot that drops a debt"
)

// WrongRooms are they.
var WrongRooms = []Wrong{LongerLease, SavedRoom, DropsDebt}

// RoomKinds are the names that Result.Counts has where leases are played, beside those of members.
var RoomKinds = []string{
	"fault: a node killed", "fault: a node stopped for a while", "fault: a node cut off from members", "fault: a node that members do not hear",
	"fault: a node that does not hear members", "met: a new leader", "met: an image took the entries' place",
	"met: a lease", "met: a lease that ran out at its node", "met: a grant that came too late", "met: a node lost with its lease",
	"met: a node woke after its lease", "met: a call on a lease", "met: a call refused", "met: a call at a node without a lease", "met: a debt",
	"met: a debt that outlives its node's lease",
}

var partners = []quota.Node{{Name: "a", Share: .5}, {Name: "b", Share: .3, RateLimit: quota.Amount{quota.Requests: 0.4 * rootRate}},
	{Name: "c", Share: .2}, {Name: "a1", Parent: "a", Share: .6}, {Name: "a2", Parent: "a", Share: .4}}

// rooms is what nodes let through, and what is owed.
type rooms struct {
	tree   lease.Tree
	hash   string
	rooms  []*room
	let    [][]float64 // by place and by all above it, ms
	starts int         // of nodes' lives: each begins with its own part's burst
	owed   map[string]float64
	then   float64 // of the group: it was so at some time from then on
	seen   float64 // when that was looked at last
}

// room is a node's life, as internal/node/quota/edge goes by leases.
type room struct {
	n      *node
	life   int
	rate   float64 // of its clock
	skew   float64
	book   *quota.Tree
	demand *lease.Demand
	places []int
	holds  uint64
	until  float64 // by its clock; 0 = it has none
	parts  []quota.NodeLease
}

// Rooms are the settings of a history of leases.
func Rooms(seed uint64) Settings {
	return Settings{Seed: seed, Members: 3, Length: 4000, Faults: 8, Nodes: 4, Rooms: true, Speaks: statemachine.Version}
}

// openRooms has nodes begin, and calls come.
func (w *world) openRooms() {
	r := &rooms{tree: lease.Tree{Leased: leased, Settings: quota.Settings{Root: quota.Amount{quota.Requests: rootRate}, Floor: 0.05, Nodes: partners,
		Priorities: 2, Burst: burst, LongWindow: 60, DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2}}, owed: map[string]float64{}, seen: 1e6}
	w.rooms, r.hash = r, r.tree.Hash()
	for i := range w.set.Nodes {
		n := &node{w: w, number: i, name: string(rune('a' + i))}
		n.work = func(life int) { w.openRoom(n, life) }
		w.nodes = append(w.nodes, n)
		w.after(w.luck.Float64()*50, n.start)
	}
}

func (w *world) openRoom(n *node, life int) {
	book, err := quota.New(w.rooms.tree.Settings.Fraction((1-leased)/float64(w.set.Nodes), true), 0)
	if err != nil {
		panic(err) // the tree is sound
	}
	r := &room{n: n, life: life, book: book, rate: 1 + (2*w.luck.Float64()-1)*unlike, skew: w.luck.Float64() * 1e6}
	r.demand = lease.NewDemand(r.clock(), 1/rootRate)
	w.rooms.rooms = append(w.rooms.rooms, r)
	w.rooms.starts++
	w.rooms.let = append(w.rooms.let, make([][]float64, max(0, book.Nodes()-len(w.rooms.let)))...)
	for i := range book.Nodes() {
		if name := book.Name(i); name == "a1" || name == "a2" || name == "b" || name == "c" {
			r.places = append(r.places, i)
		}
	}
	n.dies = func() {
		if r.until > r.clock() {
			w.counts["met: a node lost with its lease"]++
		}
	}
	r.renew()
	for _, at := range r.places {
		r.calls(at)
	}
}

func (r *room) clock() float64 { return r.skew + r.n.w.now*r.rate }

// calls come at a place, at a rate that changes: in all they are more than there is room for.
func (r *room) calls(at int) {
	w := r.n.w
	rate := []float64{5, 30, 80}[w.luck.IntN(3)]
	if w.now > w.set.Length+afterRooms {
		return
	}
	ends := w.now + 300 + w.luck.Float64()*1500
	var next func()
	next = func() {
		if w.now >= ends {
			r.calls(at)
			return
		}
		if rate > 0 {
			r.ask(at)
			r.n.later(-math.Log(1-w.luck.Float64())*1000/rate, next)
			return
		}
		r.n.later(ends-w.now, next)
	}
	r.n.later(w.luck.Float64()*200, next)
}

// ask decides about one call.
func (r *room) ask(at int) {
	w, now := r.n.w, r.clock()
	r.demand.Request(at, 1/rootRate)
	r.lapse(now)
	d := r.book.Admit(now, quota.Call{Leaf: at})
	if d.Verdict == quota.Rejected {
		w.counts["met: a call refused"]++
		return
	}
	r.demand.Admit(at, 1/rootRate)
	if r.until > 0 {
		w.counts["met: a call on a lease"]++
	} else {
		w.counts["met: a call at a node without a lease"]++
	}
	for i := at; i >= 0; i = r.book.Parent(i) {
		w.rooms.let[i] = append(w.rooms.let[i], w.now)
	}
}

func (r *room) lapse(now float64) {
	if r.until > 0 && now >= r.until {
		r.n.w.counts["met: a lease that ran out at its node"]++
		if now > r.until+leaseFor/2 {
			r.n.w.counts["met: a node woke after its lease"]++
		}
		r.drop(now)
	}
}

func (r *room) drop(at float64) {
	r.until, r.parts = 0, nil
	r.book.Lease(at, r.n.w.rooms.tree.Settings.Root, quota.Amount{quota.Requests: 1}, nil)
}

// renew reports, goes by what it is given, and comes again.
func (r *room) renew() {
	n, w, asked := r.n, r.n.w, r.clock()
	if w.now > w.set.Length+afterRooms {
		return
	}
	r.lapse(asked)
	report := lease.Report{Node: n.name, Life: uint64(r.life), Tree: w.rooms.hash, Length: leaseFor, HeldLease: r.holds, Demand: r.demand.Report(asked)}
	n.do(w.now+leaseFor, statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Report: &report}, asking{}, func(reply statemachine.Reply, how outcome) {
		var g lease.Grant
		switch {
		case how != agreed:
		case reply.Code != statemachine.OK || json.Unmarshal(reply.Body, &g) != nil:
			w.fault("a report got %s %s", reply.Code, reply.Text)
		case g.Number == 0:
			n.do(w.now+leaseFor, statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Tree: &w.rooms.tree}, asking{}, func(statemachine.Reply, outcome) { r.renew() })
			return
		default:
			r.take(asked, g)
		}
		n.later(reportEach*(0.75+w.luck.Float64()/2), r.renew)
	})
}

// take goes by a grant that was asked for at a time.
func (r *room) take(asked float64, g lease.Grant) {
	w, now := r.n.w, r.clock()
	length := usedOf * min(g.Length, leaseFor)
	if w.set.Wrong == LongerLease {
		length *= 8
	}
	until := asked + length
	if now >= until {
		w.counts["met: a grant that came too late"]++
		return
	}
	w.counts["met: a lease"]++
	var parts []quota.NodeLease
	for _, p := range g.Parts {
		parts = append(parts, quota.NodeLease{NodeIndex: p.Node, Load: p.Load.Fraction()})
	}
	if w.set.Wrong == SavedRoom {
		parts = append(parts, r.parts...)
		if len(parts) > 40 {
			parts = parts[:40]
		}
	}
	r.lapse(now)
	r.holds, r.until, r.parts = g.Number, until, parts
	r.book.Lease(now, w.rooms.tree.Settings.Root, quota.Amount{quota.Requests: 1}, parts)
}

// owe holds debts against those before: they fade over the memory and are paid at a rate, and go no other way.
func (r *rooms) owe(m *simulatedMember) {
	var v lease.View
	reply := m.group.Query(statemachine.Request{Component: statemachine.ComponentQuotaLeases})
	if err := json.Unmarshal(reply.Body, &v); err != nil {
		m.w.fault("what is owed cannot be read: %v", err)
		return
	}
	now, owed := m.group.State().Now(), map[string]float64{}
	for _, h := range v.Nodes {
		if h.Debt > 0 {
			owed[h.Name] = h.Debt
			m.w.counts["met: a debt"]++
			if h.Leased == 0 {
				m.w.counts["met: a debt that outlives its node's lease"]++
			}
		}
	}
	for name, was := range r.owed {
		weight := map[string]float64{"a": .5, "b": .3, "c": .2, "a1": .3, "a2": .2}[name]
		since := (now - r.then) / 1000
		if least := was*math.Exp(-since/r.tree.Settings.DebtDecay) - r.tree.Settings.RepayFraction*weight*since; owed[name] < least-1e-9 {
			m.w.fault("%s owed %g, and %g s later %g", name, was, since, owed[name])
		}
	}
	changed := len(owed) != len(r.owed)
	for name, debt := range owed {
		changed = changed || debt != r.owed[name]
	}
	if changed {
		r.owed, r.then = owed, r.seen // it was settled since then: a member carries out many entries at once
	}
	r.seen = now
}

// dropDebt has an image's room forget what is owed.
func dropDebt(data []byte) []byte {
	var image, parts, room map[string]json.RawMessage
	var accounts []map[string]json.RawMessage
	head := json.NewDecoder(bytes.NewReader(data))
	if head.Decode(&image) != nil || json.Unmarshal(image["parts"], &parts) != nil || json.Unmarshal(parts[statemachine.ComponentQuotaLeases], &room) != nil ||
		json.Unmarshal(room["accounts"], &accounts) != nil {
		return data
	}
	for _, a := range accounts {
		a["debt"] = json.RawMessage("0")
	}
	room["accounts"] = encode(accounts)
	parts[statemachine.ComponentQuotaLeases] = encode(room)
	image["parts"] = encode(parts)
	return append(encode(image), data[head.InputOffset():]...)
}

// judgeRooms holds what all nodes together let through against the rates of the tree, over every window.
func (w *world) judgeRooms() Result {
	r, asked, told := w.rooms, 0, 0
	book := r.rooms[0].book
	for i := range book.Nodes() {
		rate, most := rootRate, rootRate*burst+float64(book.Nodes()*r.starts) // a bucket of each life and place holds a call at the least
		switch {
		case book.Name(i) == "b": // what is saved of its guarantee, and of its ceiling
			rate, most = partners[1].RateLimit[quota.Requests], 2*partners[1].RateLimit[quota.Requests]*burst+2*float64(r.starts)
		case i != quota.Root:
			continue
		}
		level, last := 0.0, 0.0
		for _, at := range r.let[i] {
			level = max(0, level-rate*(1+unlike)*(at-last)/1000) + 1
			if last = at; level > most {
				w.fault("place %q: %.1f calls more than %g a second let, %.1f may be saved up", book.Name(i), level, rate, most)
				break
			}
		}
		told += len(r.let[i])
	}
	asked = told + w.counts["met: a call refused"]
	return Result{Faults: w.broken, Counts: w.counts, Asked: asked, Told: told}
}
